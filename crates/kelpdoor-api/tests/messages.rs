//! What players may send, and how each fault reads; the schema kept in docs/ against the types.

use expect_test::{expect, expect_file};
use kelpdoor_api::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn each_fault_names_its_field() {
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
        cases.iter().map(|c| FromPlayer::parse(c).expect_err("a fault").to_string()).collect();
    expect![[r#"
        not a message: expected value at line 1 column 1
        not a message: missing field `type`
        not a message: unknown variant `jump`, expected one of `start`, `renew`, `stop`, `ping`
        not a message: missing field `n`
        not a message: unknown field `m`, expected `n`
        key: 5 bytes of letters, digits, - and _ are asked for, 8 to 64
        key: 15 bytes of letters, digits, - and _ are asked for, 8 to 64
        title: 129 bytes, 1 to 128 are allowed
        title: 0 bytes, 1 to 128 are allowed
        setup_timeout: 0, above 0 and up to 60 s are allowed
        setup_timeout: 61, above 0 and up to 60 s are allowed
        not a message: invalid type: string "3", expected f64
        5000 bytes, 4096 at most"#]]
    .assert_eq(&shown.join("\n"));
}

#[test]
fn the_schema_in_the_documents_is_that_of_the_types() {
    let text = serde_json::to_string_pretty(&schema()).unwrap() + "\n";
    expect_file!["../../../docs/session-api.schema.json"].assert_eq(&text);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_text_never_panics(text in "\\PC{0,200}") {
        let _ = FromPlayer::parse(&text);
    }

    #[test]
    fn what_is_written_reads_back(
        key in "[A-Za-z0-9_-]{8,64}", title in "[a-z]{1,20}", rung in any::<u8>(), timeout in 0.001..60.0f64,
    ) {
        let start = FromPlayer::Start {
            key: RequestKey(key), group: "g".into(), title, best_rung: rung, setup_timeout: timeout, token: None };
        prop_assert_eq!(FromPlayer::parse(&start.text()), Ok(start));
    }
}

/// What the fuzz target checks, on its kept corpus.
#[test]
fn the_corpus_holds() {
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
