//! A spoilt answer.

use std::path::Path;

use crate::common::*;

/// Requests, ten a second.
const REQUESTS: u64 = 200;
/// The one whose answer arrives spoilt: one of 200.
const SPOILT: u64 = 80;

/// One good answer of 200 arrives spoilt: noise that keeps coming.
pub fn spoilt_answer(record: &Path) -> ! {
    let w = world(record, 4, ms(60), ms(0));
    let viewer = Viewer::connect(w.director.address, "a", &w.record);
    let requests = Requests::new(&w, &viewer).run(REQUESTS, |n| {
        // Whichever media node gets this request spoils its answer.
        let answer = if trouble() && n == SPOILT { Answer::Noise } else { Answer::Play };
        w.nodes.iter().for_each(|node| *lock(&node.answer) = answer);
    });
    let broken = requests.lost();
    let ran = w.nodes.iter().flat_map(Node::setups).any(|s| s.id == id(SPOILT));
    w.verdict(&broken, ran)
}
