#![no_main]
//! What is read is written and read to the same again; nothing panics.

use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    if let Ok(message) = kelpdoor_api::FromPlayer::read(text) {
        assert_eq!(kelpdoor_api::FromPlayer::read(&message.text()), Ok(message));
    }
    let _ = kelpdoor_api::ToPlayer::read(text);
});
