//! The cases of the second review. `review-2 CASE RECORD` runs one from the root of the repository, and writes
//! what was sent, answered and run to the file RECORD.

mod common;
mod crossing;
mod discovery;
mod ends;
mod rude;
mod spoilt;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else { common::cannot_run("usage: review-2 CASE RECORD") };
    let record = Path::new(record);
    match case.as_str() {
        "unanswered" => crossing::unanswered(record),
        "slow-discovery" => discovery::slow_discovery(record),
        "unsent-end" => ends::unsent_end(record),
        "spoilt-answer" => spoilt::spoilt_answer(record),
        "endless-message" => rude::endless_message(record),
        other => common::cannot_run(&format!("no case {other:?}")),
    }
}
