#![no_main]
//! A parsed message is written and parsed back to the same message; no input may cause a panic.

use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    if let Ok(message) = kelpdoor_api::FromPlayer::parse(text) {
        assert_eq!(kelpdoor_api::FromPlayer::parse(&message.text()), Ok(message));
    }
    let _ = kelpdoor_api::ToPlayer::parse(text);
});
