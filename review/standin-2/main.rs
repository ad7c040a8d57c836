//! The cases of the second review. `review-2 CASE FOLDER` runs one from the root of the repository.

mod common;
mod crossing;
mod discovery;
mod ends;
mod rude;
mod spoilt;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else { common::cannot_run("usage: review-2 CASE FOLDER") };
    let folder = Path::new(folder);
    match case.as_str() {
        "unanswered" => crossing::unanswered(folder),
        "slow-discovery" => discovery::slow_discovery(folder),
        "unsent-end" => ends::unsent_end(folder),
        "spoilt-answer" => spoilt::spoilt_answer(folder),
        "endless-message" => rude::endless_message(folder),
        other => common::cannot_run(&format!("no case {other:?}")),
    }
}
