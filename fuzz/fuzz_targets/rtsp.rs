#![no_main]
//! A parsed message is written and parsed back to the same message; no input may cause a panic.

use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    if let Ok(Some((message, len))) = kelpdoor_rtsp::parse(bytes) {
        assert!(len <= bytes.len());
        let again = kelpdoor_rtsp::parse(&message.to_bytes());
        assert_eq!(again.map(|m| m.map(|m| m.0)), Ok(Some(message)));
    }
});
