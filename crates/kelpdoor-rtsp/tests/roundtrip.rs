//! The parser on written, truncated and corrupted messages, and at each limit.

use kelpdoor_rtsp::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn message() -> impl Strategy<Value = Message> {
    let fields = prop::collection::vec(("X-[A-Za-z-]{1,12}", "([!-~]([ -~]{0,20}[!-~])?)?"), 0..6);
    let body = prop::collection::vec(any::<u8>(), 0..64);
    (any::<bool>(), 0..7usize, 100..600u16, "rtsp://[a-z0-9./:?=&-]{1,40}", any::<u32>(), fields, body)
        .prop_map(|(request, method, status, uri, cseq, fields, body)| {
            let headers = Headers(fields);
            if request {
                Request { method: Method::ALL[method], uri, cseq, headers, body }.into()
            } else {
                Response { status, cseq, headers, body }.into()
            }
        })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn written_messages_parse_back(first in message(), second in message()) {
        let mut bytes = first.to_bytes();
        let len = bytes.len();
        second.write(&mut bytes);
        prop_assert_eq!(parse(&bytes), Ok(Some((first, len))));
        prop_assert_eq!(parse(&bytes[len..]), Ok(Some((second, bytes.len() - len))));
    }

    #[test]
    fn v1_message_parses_back_only_as_v1(message in message()) {
        let mut bytes = Vec::new();
        message.write_as(Version::V1, &mut bytes);
        let len = bytes.len();
        prop_assert_eq!(parse_as(Version::V1, &bytes), Ok(Some((message, len))));
        prop_assert!(matches!(parse(&bytes), Err(ParseError::StartLine(_))));
    }

    #[test]
    fn v1_method_in_v2_is_unsupported(last in 7..9usize) {
        let request = Message::from(Request::new(Method::ALL[last], "rtsp://media/x", 4));
        let mut bytes = Vec::new();
        request.write_as(Version::V1, &mut bytes);
        prop_assert_eq!(parse_as(Version::V1, &bytes).map(|m| m.map(|m| m.0)), Ok(Some(request.clone())));
        prop_assert!(matches!(parse(&request.to_bytes()), Err(ParseError::Method(_))));
    }

    #[test]
    fn truncated_message_is_incomplete(message in message(), cut in any::<prop::sample::Index>()) {
        let bytes = message.to_bytes();
        let cut = cut.index(bytes.len());
        prop_assert_eq!(parse(&bytes[..cut]), Ok(None));
    }

    #[test]
    fn corrupted_message_does_not_panic(message in message(), at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut bytes = message.to_bytes();
        let at = at.index(bytes.len());
        bytes[at] = to;
        if let Ok(Some((_, len))) = parse(&bytes) {
            prop_assert!(len <= bytes.len());
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(Some((_, len))) = parse(&bytes) {
            prop_assert!(len <= bytes.len());
        }
    }

    #[test]
    fn load_report_value_parses_back(streams in 0..9999u32, link in 0.0..20.0f64, junk in "[ -~]{0,40}") {
        let load = LoadReportHeader { streams: Some(streams.into()), link: Some(link), uplink: None };
        let back = LoadReportHeader::parse(&load.to_string());
        prop_assert_eq!(back.streams, load.streams);
        prop_assert!((back.link.unwrap_or(-1.0) - link).abs() < 1e-3 && back.uplink.is_none());
        let read = LoadReportHeader::parse(&junk);
        prop_assert!(read.link.is_none_or(|v| v.is_finite() && v >= 0.0));
    }
}

#[test]
fn malformed_or_oversized_message_returns_its_error() {
    let long = format!("OPTIONS * RTSP/2.0\r\nCSeq: 1\r\nX: {}\r\n\r\n", "y".repeat(4096));
    let many = format!("OPTIONS * RTSP/2.0\r\nCSeq: 1\r\n{}\r\n", "X: y\r\n".repeat(MAX_HEADERS));
    let cases: [(&str, ParseError); 9] = [
        (&long, ParseError::HeadTooLong(4096)),
        (&many, ParseError::TooManyHeaders),
        ("RTSP/2.0 200 OK\r\nCSeq: 1\r\nContent-Length: 4097\r\n\r\n", ParseError::BodyTooLong(4097, 4096)),
        ("RTSP/2.0 200 OK\r\nCSeq: 1\r\nContent-Length: -1\r\n\r\n", ParseError::ContentLength("-1".into())),
        ("RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n", ParseError::StartLine("RTSP/1.0 200 OK".into())),
        ("RTSP/2.0 777 OK\r\nCSeq: 1\r\n\r\n", ParseError::Status(777)),
        ("RECORD rtsp://a/b RTSP/2.0\r\nCSeq: 1\r\n\r\n", ParseError::Method("RECORD".into())),
        ("RTSP/2.0 200 OK\r\n\r\n", ParseError::CSeq),
        ("RTSP/2.0 200 OK\r\nCSeq: 1\r\nbad line\r\n\r\n", ParseError::Header(2, "bad line".into())),
    ];
    for (text, error) in cases {
        assert_eq!(parse(text.as_bytes()), Err(error), "{:.60}", text);
    }
}

#[test]
fn control_characters_in_value_do_not_forge_a_header() {
    let forged = Request::new(Method::Setup, "rtsp://n/t", 1).with("Request-Key", "a\r\nRung: 9");
    let bytes = Message::from(forged).to_bytes();
    let Ok(Some((Message::Request(read), _))) = parse(&bytes) else { panic!("unreadable") };
    assert_eq!(read.headers.get("Rung"), None);
}

/// The check of the fuzz target, on its stored corpus.
#[test]
fn fuzz_corpus_parses_back() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fuzz/corpus/rtsp");
    let (mut seen, mut good) = (0, 0);
    for file in std::fs::read_dir(folder).expect("a corpus") {
        let bytes = std::fs::read(file.expect("a file").path()).expect("readable");
        seen += 1;
        if let Ok(Some((message, len))) = parse(&bytes) {
            assert!(len <= bytes.len());
            assert_eq!(parse(&message.to_bytes()).map(|m| m.map(|m| m.0)), Ok(Some(message)));
            good += 1;
        }
    }
    assert_eq!((seen, good), (8, 4));
}

/// Decodes bytes that arrive in pieces of the given lengths.
fn decode_in_pieces(bytes: &[u8], lengths: &[usize]) -> Vec<Message> {
    let mut decoder = MessageDecoder::new(Version::V1);
    let (mut rest, mut messages) = (bytes, Vec::new());
    for length in lengths.iter().cycle() {
        let (piece, after) = rest.split_at((*length).min(rest.len()));
        decoder.push(piece);
        while let Some(message) = decoder.next_message().expect("valid messages") {
            messages.push(message);
        }
        rest = after;
        if rest.is_empty() {
            break;
        }
    }
    assert_eq!(decoder.buffered(), 0);
    messages
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    #[test]
    fn messages_are_decoded_however_they_are_split(
        messages in prop::collection::vec((0..3usize, message()), 1..4), lengths in prop::collection::vec(1..40usize, 1..6)
    ) {
        let mut bytes = Vec::new();
        for (empty_lines, message) in &messages {
            bytes.extend(b"\r\n".repeat(*empty_lines));
            message.write_as(Version::V1, &mut bytes);
        }
        let expected: Vec<Message> = messages.into_iter().map(|(_, message)| message).collect();
        prop_assert_eq!(decode_in_pieces(&bytes, &lengths), expected);
    }
}

// Guards against empty lines before a message that are kept, and searched again with each read.
#[test]
fn empty_lines_before_a_message_are_not_kept_and_are_limited() {
    let (max_head, _) = Version::V1.limits();
    let mut decoder = MessageDecoder::new(Version::V1);
    for _ in 0..max_head / 2 {
        decoder.push(b"\r\n");
        assert_eq!(decoder.next_message(), Ok(None));
        assert_eq!(decoder.buffered(), 0);
    }
    decoder.push(b"\r\n");
    assert_eq!(decoder.next_message(), Err(ParseError::EmptyLines(max_head)));
    let lines = b"\r\n".repeat(max_head / 2 + 1);
    assert_eq!(parse_as(Version::V1, &lines), Err(ParseError::EmptyLines(max_head)));
    assert_eq!(parse_as(Version::V1, &lines[2..]), Ok(None));
}

// Guards against a body that is announced as too long and is waited for.
#[test]
fn decoder_returns_the_errors_of_the_parser() {
    for text in
        ["RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x\r\n\r\n", "\rRTSP/1.0 200 OK\r\n\r\n"]
    {
        let mut decoder = MessageDecoder::new(Version::V1);
        decoder.push(text.as_bytes());
        assert_eq!(
            decoder.next_message(),
            parse_as(Version::V1, text.as_bytes()).map(|m| m.map(|m| m.0)),
            "{text}"
        );
        assert!(parse_as(Version::V1, text.as_bytes()).is_err());
    }
    let (max_head, _) = Version::V1.limits();
    let mut decoder = MessageDecoder::new(Version::V1);
    for _ in 1..max_head {
        decoder.push(b"x");
        assert_eq!(decoder.next_message(), Ok(None));
    }
    decoder.push(b"x");
    assert_eq!(decoder.next_message(), Err(ParseError::HeadTooLong(max_head)));
}
