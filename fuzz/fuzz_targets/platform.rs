#![no_main]
//! Lines of viewers, messages of nodes and events of the change log on the users' platform: nothing panics, and what
//! parses lies within the bytes.

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
