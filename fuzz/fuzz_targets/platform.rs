#![no_main]
//! Parses viewer lines, node messages and change log events of the users' platform: nothing panics, and a
//! parsed message lies within the input.

use kelpdoor_platform::{changes, media, viewer};
use kelpdoor_rtsp::{Version, parse_as};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let _ = viewer::parse(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = changes::parse_event(text);
    }
    if let Ok(Some((message, len))) = parse_as(Version::V1, bytes) {
        assert!(len <= bytes.len());
        let fields = kelpdoor_terms::ReportFields(vec!["inflight".into(), "x0".into()]);
        let _ = media::interpret(message, &fields);
    }
});
