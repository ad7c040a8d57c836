use super::*;
use expect_test::expect;

#[test]
fn each_order_is_encoded_as_one_record() {
    let mut reply = Reply::new(9);
    reply.start_instance(3);
    reply.set_rung(SessId(1), 2);
    reply.send_setup(SessId(1), NodeId(4), Some(0.25));
    reply.withdraw(SessId(1), 0);
    reply.reply_busy(SessId(1), Some(1.0));
    reply.reply_failed(SessId(1));
    reply.shift(SessId(1));
    reply.subscribe(true);
    reply.fetch_list();
    reply.probe(NodeId(4));
    reply.close_idle_connections(NodeId(4));
    reply.send_message(None, b"hi");
    reply.log("node 4 barred");
    reply.report_fault("lost");
    reply.wake_after(0.1);
    let bytes = reply.finish();
    let hex = |part: &[u8]| part.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let mut lines = vec![hex(&bytes[..HEADER_SIZE])];
    let tail = HEADER_SIZE + 15 * RECORD_SIZE;
    lines.extend(bytes[HEADER_SIZE..tail].chunks(RECORD_SIZE).map(hex));
    lines.push(String::from_utf8_lossy(&bytes[tail..]).into_owned());
    expect![[r#"
        09000000870100000f000000
        0e0103000000000000000000000000000000000000000000
        0c0101000000000000000200000000000000000000000000
        00010100000000000000040000000000000000406f400000
        030101000000000000000000000000000000000000000000
        010101000000000000000000000000408f40000000000000
        020101000000000000000000000000000000000000000000
        0d0101000000000000000000000000000000000000000000
        0a0101000000000000000000000000000000000000000000
        0b0100000000000000000000000000000000000000000000
        050104000000000000000000000000000000000000000000
        060104000000000000000000000000000000000000000000
        0701ffff0000000002000000000000000000000000000000
        0801020000000d0000000000000000000000000000000000
        09010f000000040000000000000000000000000000000000
        040100000000000059400100000000000000000000000000
        hinode 4 barredlost"#]]
    .assert_eq(&lines.join("\n"));
}
