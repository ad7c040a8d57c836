//! Parsing and encoding of viewer lines, node messages, change log events and the startup configuration, with
//! valid, invalid and random input.

mod common;

use expect_test::expect;
use kelpdoor::round::SetupOutcome;
use kelpdoor_platform::{StartupConfig, changes, media, viewer};
use kelpdoor_rtsp::{Version, parse_as};
use kelpdoor_terms::ReportFields;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn viewer_lines_parse_or_report_the_error() {
    let good = common::start(5, "paid", "home:4;copies:3;top:4;viewer:00000000b4d65521;again:1", "v=0\r\n");
    let at = common::start(5, "paid", "home:4;copies:3;top:4;at:s-1", "").replace("3000", "4294967");
    let lines = [
        good.clone(),
        at,
        good.replace("\"3000\"", "1500.5"),
        common::finish(5, 16),
        r#"{"verb":"ECHO","tag":"0000000000000005","opts":{},"rc":0}"#.into(),
        r#"{"verb":"NOTICE","tag":"0000000000000005","opts":{}}"#.into(),
        good.replace("3000", "many"),
        good.replace("3000", "-1"),
        good.replace("3000", "1e300"),
        good.replace("3000", "NaN"),
        good.replace("0000000000000005", "5"),
        good.replace("0000000000000005", "000000000000000G"),
        good.replace("home:4", "home:-4"),
        good.replace("top:4", "top:256"),
        good.replace("copies:3;", ""),
        good.replace("7f3a9c21e0b4d655", "a b\\r\\nX: y"),
        good.replace("\"blob\"", "\"blab\""),
        good.replace("START", "RESTART"),
        good.replace("v=0", &"v".repeat(viewer::MAX_DESCRIPTION)),
        good[..60].to_owned(),
        "[]".into(),
        "\u{0}".into(),
    ];
    let show = |line: &String| match viewer::parse(line.as_bytes()) {
        Ok(viewer::ViewerMessage::Start(id, a)) => format!(
            "start {} {} {} {} {}+{} {} {:?} {:?}",
            id.0, a.class, a.time_left, a.key, a.first_cell, a.cells, a.best_rung, a.at, a.blob
        ),
        Ok(message) => format!("{message:?}"),
        Err(bad) => format!("{} {:?}: {}", bad.cause, bad.sess.map(|s| s.0), bad.why),
    };
    expect![[r#"
        start 5 paid 3 7f3a9c21e0b4d655 4+3 4 None "v=0\r\n"
        start 5 paid 4294.967 7f3a9c21e0b4d655 4+3 4 Some("s-1") ""
        start 5 paid 1.5005 7f3a9c21e0b4d655 4+3 4 None "v=0\r\n"
        Finish(SessId(5))
        Echo(SessId(5))
        Ignored
        100 Some(5): left is not a number
        100 Some(5): left is -1e0, must be above 0 and at most 600000
        100 Some(5): left is 1e300, must be above 0 and at most 600000
        100 Some(5): left is not a number
        111 None: "5" is not a session id
        111 None: "000000000000000G" is not a session id
        100 Some(5): extras: home is out of range
        100 Some(5): extras: top is out of range
        100 Some(5): extras: missing copies
        100 Some(5): key is not a valid title
        100 Some(5): missing description
        100 Some(5): "RESTART" is not a viewer message
        100 Some(5): description of 15362 bytes, at most 15360 allowed
        111 None: EOF while parsing a string at line 1 column 60
        111 None: invalid length 0, expected struct RawMessage with 5 elements at line 1 column 2
        111 None: expected value at line 1 column 1"#]]
    .assert_eq(&lines.iter().map(show).collect::<Vec<_>>().join("\n"));
}

#[test]
fn replies_to_viewers_are_encoded_as_json_lines() {
    use viewer::Reply;
    let id = viewer::parse_session_id("9b1f03aa5c7e2d41");
    let encoded = [
        viewer::encode(id, Reply::Started("a\r\n\"b\"")),
        viewer::encode(id, Reply::Finish { cause: 42, wait: Some(0.9996) }),
        viewer::encode(id, Reply::Finish { cause: 41, wait: None }),
        viewer::encode(None, Reply::Finish { cause: 111, wait: None }),
        viewer::encode(id, Reply::Echoed),
        viewer::encode(id, Reply::Move),
    ];
    expect![[r#"
        {"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{},"blob":"a\r\n\"b\""}
        {"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{"wait":1000},"rc":42}
        {"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":41}
        {"verb":"FINISH","tag":"0000000000000000","opts":{},"rc":111}
        {"verb":"ECHOED","tag":"9b1f03aa5c7e2d41","opts":{},"rc":1}
        {"verb":"MOVE","tag":"9b1f03aa5c7e2d41","opts":{}}
    "#]]
    .assert_eq(&String::from_utf8_lossy(&encoded.concat()));
}

#[test]
fn node_messages_are_interpreted_by_method_status_and_headers() {
    let fields = ReportFields(vec!["inflight".into(), "x0".into()]);
    let rows = [
        "RTSP/1.0 100 Trying|CSeq: 1|S",
        "RTSP/1.0 200 OK|CSeq: 1|S",
        "RTSP/1.0 302 Found|CSeq: 1|S",
        "RTSP/1.0 453 Full|CSeq: 1|S|X-Gauges: inflight:12;x0:0.4;queue:3",
        "RTSP/1.0 454 Moot|CSeq: 1|S",
        "RTSP/1.0 500 Error|CSeq: 1|S|X-Gauges: inflight:nan;x0:-1",
        "RTSP/1.0 504 Reset|CSeq: 1|S",
        "RTSP/1.0 200 OK|CSeq: 2|S",
        "RTSP/1.0 200 OK|CSeq: 1|Session: short",
        "TEARDOWN rtsp://media/x RTSP/1.0|CSeq: 7|S|Reason: cause=16|X-Gauges: x0:0.5",
        "TEARDOWN rtsp://media/x RTSP/1.0|S",
        "ANNOUNCE rtsp://media/x RTSP/1.0|S|X-Outcome: fill|X-Reading: 0.7",
        "ANNOUNCE rtsp://media/x RTSP/1.0|S|X-Outcome: grade|X-Reading: 2",
        "ANNOUNCE rtsp://media/x RTSP/1.0|S|X-Outcome: local|X-Reading: 1.25",
        "ANNOUNCE rtsp://media/x RTSP/1.0|S|X-Outcome: upstream|X-Reading: 0.9",
        "ANNOUNCE rtsp://media/x RTSP/1.0|S|X-Outcome: local|X-Reading: inf",
        "OPTIONS rtsp://media/ping RTSP/1.0|CSeq: 3",
    ];
    let show = |row: &&str| {
        let text = row.replace("|S", "|Session: 0000000000000005").replace('|', "\r\n") + "\r\n\r\n";
        let (message, _) = parse_as(Version::V1, text.as_bytes()).expect("RTSP").expect("whole");
        format!("{:?}", media::interpret(message, &fields))
    };
    expect![[r#"
        Ignored
        SetupAccepted { sess: SessId(5), blob: Some(""), load: LoadReport { streams: None, link: None, uplink: None } }
        SetupRefused { sess: SessId(5), outcome: Failed, load: LoadReport { streams: None, link: None, uplink: None } }
        SetupRefused { sess: SessId(5), outcome: BusyReplied, load: LoadReport { streams: Some(12.0), link: Some(0.4), uplink: None } }
        SetupRefused { sess: SessId(5), outcome: NeverSent, load: LoadReport { streams: None, link: None, uplink: None } }
        SetupRefused { sess: SessId(5), outcome: Failed, load: LoadReport { streams: None, link: None, uplink: None } }
        SetupRefused { sess: SessId(5), outcome: Withdrawn, load: LoadReport { streams: None, link: None, uplink: None } }
        Ignored
        Ignored
        SessionEnded { sess: SessId(5), cause: 16, cseq: 7, load: LoadReport { streams: None, link: Some(0.5), uplink: None } }
        SessionEnded { sess: SessId(5), cause: 41, cseq: 0, load: LoadReport { streams: None, link: None, uplink: None } }
        Notification { sess: SessId(5), notification: Delivered(0.7) }
        Notification { sess: SessId(5), notification: Rung(2) }
        Notification { sess: SessId(5), notification: Link(1.25) }
        Notification { sess: SessId(5), notification: Uplink(0.9) }
        Ignored
        Ignored"#]].assert_eq(&rows.iter().map(show).collect::<Vec<_>>().join("\n"));
    // A cut session is a sign of the node's death only if the process may have restarted.
    assert_eq!(
        [16, 31, 41].map(|cause| media::teardown_outcome(cause, true)),
        [SetupOutcome::Served, SetupOutcome::Withdrawn, SetupOutcome::ConnectionLost]
    );
    assert_eq!(
        [16, 31, 41].map(|cause| media::teardown_outcome(cause, false)),
        [SetupOutcome::Served, SetupOutcome::Withdrawn, SetupOutcome::Withdrawn]
    );
}

#[test]
fn invalid_startup_configuration_names_the_variable_or_key() {
    let dir = std::env::temp_dir().join(format!("kelpdoor-start-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("config.json");
    let good = serde_json::json!({"name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "changelog": "127.0.0.1:8500",
        "known": {"seq": 0, "results": []}, "settings": common::settings()});
    let read = |of: &serde_json::Value| {
        std::fs::write(&file, of.to_string()).expect("written");
        StartupConfig::read(|name| (name == "PROXY_CONFIG").then(|| file.display().to_string())).map_or_else(
            |e| e.0.replace(&file.display().to_string(), "FILE"),
            |s| format!("{} {:x}", s.name, s.seed),
        )
    };
    let mut results = vec![read(&good)];
    for (key, value) in [
        ("listen", serde_json::json!("nowhere")),
        ("seed", serde_json::json!("xyz")),
        ("limits", serde_json::json!({})),
        ("changelog", serde_json::json!(5)),
        ("known", serde_json::json!({"seq": 1})),
        ("settings", serde_json::json!({})),
        ("name", serde_json::json!("")),
    ] {
        let mut bad = good.clone();
        bad[key] = value;
        results.push(read(&bad));
    }
    results.push(read(&serde_json::json!([])));
    results.push(StartupConfig::read(|_| None).map_or_else(|e| e.0, |s| s.name));
    std::fs::remove_dir_all(&dir).expect("removed");
    expect![[r#"
        n3 8c1f30d27a5be964
        listen: "nowhere" is not an address with a port
        seed: "xyz" is not a 64-bit hexadecimal number
        limits.sockets: null is not a number of at least 64
        changelog: "5" is not an address with a port
        known: results is not a list
        settings: specifics.ratesKb: no ladder of rates above 0
        PROXY_NAME: not set, and the file has no name
        PROXY_CONFIG: FILE: not a JSON object
        PROXY_CONFIG: not set"#]]
    .assert_eq(&results.join("\n"));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_viewer_lines_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = viewer::parse(&bytes);
    }

    #[test]
    fn mutated_setup_lines_never_panic_and_stay_within_bounds(at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut line = common::start(5, "paid", "home:4;copies:3;top:4;at:s-1", "v=0").into_bytes();
        let at = at.index(line.len());
        line[at] = to;
        if let Ok(viewer::ViewerMessage::Start(_, request)) = viewer::parse(&line) {
            prop_assert!(request.time_left.is_finite() && request.key.len() <= 64 && request.key.bytes().all(|b| b.is_ascii_graphic()));
        }
    }

    #[test]
    fn encoded_setup_parses_completely(id in any::<u64>(), wait in 0.0..9.0f64, rung in 0..9u8, blob in "[ -~\r\n]{0,90}") {
        let bytes = media::setup(kelpdoor::ids::SessId(id), "7f3a9c21e0b4d655", "paid", wait, rung, &blob);
        let read = parse_as(Version::V1, &bytes).map(|m| m.map(|m| m.1));
        prop_assert_eq!(read, Ok(Some(bytes.len())));
        let text = String::from_utf8_lossy(&bytes);
        let start = "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\n";
        prop_assert!(text.starts_with(start) && text.ends_with(&blob));
    }

    #[test]
    fn arbitrary_events_never_panic(text in "[ -~]{0,200}") {
        let _ = changes::parse_event(&text);
    }
}
