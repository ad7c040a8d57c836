//! Malformed input: the adapter prints one line that names the place of the error, and exits with status 1.

use std::io::Write;
use std::process::{Command, Stdio};

use expect_test::expect;

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let len = 20 + 64 * records.len() + tail.len();
    let mut bytes = Vec::new();
    bytes.extend(7u32.to_le_bytes());
    bytes.extend((len as u32).to_le_bytes());
    bytes.extend(1000f64.to_le_bytes());
    bytes.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|r| bytes.extend(r));
    bytes.extend(tail);
    bytes
}

fn record(code: u16, fields: &[u8]) -> Vec<u8> {
    let mut bytes = code.to_le_bytes().to_vec();
    bytes.extend(fields);
    bytes.resize(64, 0);
    bytes
}

/// A record that names the instance of the records after it.
fn select_instance(instance: u32) -> Vec<u8> {
    record(261, &instance.to_le_bytes())
}

/// A start of an instance whose settings are the first `len` bytes of the tail.
fn start(len: u32) -> Vec<u8> {
    record(
        257,
        &[1u64.to_le_bytes().to_vec(), 0u32.to_le_bytes().to_vec(), len.to_le_bytes().to_vec()].concat(),
    )
}

/// Runs the adapter; returns its exit code, the length of its reply, and its standard error.
fn run_adapter(input: &[u8]) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_kelpdoor-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("the adapter reads");
    let out = child.wait_with_output().expect("the adapter ends");
    let stderr = String::from_utf8_lossy(&out.stderr).trim_end().to_owned();
    format!("{:?}, {} bytes: {stderr}\n", out.status.code(), out.stdout.len())
}

#[test]
fn malformed_input_prints_one_error_line() {
    let mut truncated = frame(&[select_instance(1)], b"");
    truncated.truncate(50);
    let mut too_many_records = frame(&[], b"");
    too_many_records[16..20].copy_from_slice(&u32::MAX.to_le_bytes());
    let cases = [
        frame(&[], b""),
        truncated,
        too_many_records,
        frame(&[select_instance(1), record(999, &[])], b""),
        frame(&[record(264, &[0; 8])], b""),
        frame(&[select_instance(1), record(264, &[0; 8])], b""),
        frame(&[select_instance(1), record(266, &[1, 0, 0, 0, 0, 0, 0, 0, 0, 5])], b""),
        frame(&[select_instance(1), start(9)], b"{}"),
        frame(&[select_instance(1), start(2)], b"{]"),
    ];
    let results: String = cases.iter().map(|c| run_adapter(c)).collect();
    expect![[r#"
        Some(0), 12 bytes: 
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: the input ends after 30 of 64 bytes
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: 4294967295 records do not fit in 0 bytes
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: record 1, code 999: the event code 999 is unknown
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: record 0, code 264: an event comes before any instance is named
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: record 1, code 264: instance 1 was never started
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: record 1, code 266: list 5 was never given
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: record 1, code 257: a field points outside the tail: bytes 0 + 9 lie outside 2 bytes
        Some(1), 0 bytes: kelpdoor-benchlink: batch 7: record 1, code 257: the settings: not readable as JSON: key must be a string at line 1 column 2
    "#]].assert_eq(&results);
}
