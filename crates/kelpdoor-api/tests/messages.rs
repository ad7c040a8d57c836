//! Validation of players' messages with the text of each error, and the schema file in docs/ against the types.

use expect_test::{expect, expect_file};
use kelpdoor_api::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn invalid_message_error_names_the_field() {
    let start = |key: &str, title: &str, timeout: &str| {
        format!(
            r#"{{"type":"start","key":"{key}","group":"g","title":"{title}","best_rung":1,"setup_timeout":{timeout}}}"#
        )
    };
    let long = "t".repeat(129);
    let cases = [
        "play me".to_owned(),
        "{}".to_owned(),
        r#"{"type":"jump"}"#.to_owned(),
        r#"{"type":"ping"}"#.to_owned(),
        r#"{"type":"ping","n":1,"m":2}"#.to_owned(),
        start("short", "t", "3"),
        start("has space in it", "t", "3"),
        start("key-00001", &long, "3"),
        start("key-00001", "", "3"),
        start("key-00001", "t", "0"),
        start("key-00001", "t", "61"),
        start("key-00001", "t", "\"3\""),
        "x".repeat(5000),
    ];
    let shown: Vec<String> =
        cases.iter().map(|c| FromPlayer::parse(c).expect_err("an error").to_string()).collect();
    expect![[r#"
        malformed message: expected value at line 1 column 1
        malformed message: missing field `type`
        malformed message: unknown variant `jump`, expected one of `start`, `renew`, `stop`, `ping`
        malformed message: missing field `n`
        malformed message: unknown field `m`, expected `n`
        key: 5 bytes, must be 8 to 64 letters, digits, - and _
        key: 15 bytes, must be 8 to 64 letters, digits, - and _
        title: 129 bytes, must be 1 to 128
        title: 0 bytes, must be 1 to 128
        setup_timeout: 0 s, must be above 0 and at most 60
        setup_timeout: 61 s, must be above 0 and at most 60
        malformed message: invalid type: string "3", expected f64
        message of 5000 bytes exceeds the limit of 4096"#]]
    .assert_eq(&shown.join("\n"));
}

#[test]
fn schema_file_matches_the_types() {
    let text = serde_json::to_string_pretty(&schema()).unwrap() + "\n";
    expect_file!["../../../docs/session-api.schema.json"].assert_eq(&text);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = FromPlayer::parse(&text);
    }

    #[test]
    fn written_message_parses_back(
        key in "[A-Za-z0-9_-]{8,64}", title in "[a-z]{1,20}", rung in any::<u8>(), timeout in 0.001..60.0f64,
    ) {
        let start = FromPlayer::Start {
            key: RequestKey(key), group: "g".into(), title, best_rung: rung, setup_timeout: timeout, token: None };
        prop_assert_eq!(FromPlayer::parse(&start.text()), Ok(start));
    }
}

/// The check of the fuzz target, on its stored corpus.
#[test]
fn fuzz_corpus_parses_back() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fuzz/corpus/api");
    let (mut seen, mut good) = (0, 0);
    for file in std::fs::read_dir(folder).expect("a corpus") {
        let text = std::fs::read_to_string(file.expect("a file").path()).expect("readable");
        seen += 1;
        if let Ok(message) = FromPlayer::parse(&text) {
            assert_eq!(FromPlayer::parse(&message.text()), Ok(message));
            good += 1;
        }
    }
    assert_eq!((seen, good), (7, 4));
}
