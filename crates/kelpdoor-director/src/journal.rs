//! What a director took in and what came of it, a JSON line for each: enough to replay it through the library and
//! see that the same decisions come out.

use std::io::{BufRead, Write};

use kelpdoor_script::Deployment;
use serde::{Deserialize, Serialize};

use crate::desk::Desk;
use crate::effect::{Effect, Input};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// `book`: the settings, where they are agreed and no file has them whole.
    Start {
        seed: u64,
        now: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        book: Option<Box<Deployment>>,
    },
    /// `waited`: how long it lay between its arrival and now.
    Took {
        now: f64,
        waited: f64,
        input: Input,
    },
    Round {
        now: f64,
        effects: Vec<Effect>,
    },
}

pub fn write(to: &mut impl Write, line: &Line) -> std::io::Result<()> {
    serde_json::to_writer(&mut *to, line)?;
    to.write_all(b"\n")
}

/// How a replay went.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    pub inputs: usize,
    pub rounds: usize,
    pub effects: usize,
    /// Line and what differs, of the first round that came out otherwise.
    pub differs: Option<(usize, String)>,
}

/// Feeds a journal's inputs to a desk of the library's and compares what it does. `book`: the settings, unless the journal has
/// them.
///
/// # Errors
/// Where a line is no journal line, with its number.
pub fn replay(from: impl BufRead, book: Option<&Deployment>) -> anyhow::Result<Replayed> {
    let mut desk: Option<Desk> = None;
    let mut done = Replayed::default();
    for (k, line) in from.lines().enumerate() {
        let at = |e: &dyn std::fmt::Display| anyhow::anyhow!("journal line {}: {e}", k + 1);
        let line: Line = serde_json::from_str(&line.map_err(|e| at(&e))?).map_err(|e| at(&e))?;
        match (line, &mut desk) {
            (Line::Start { seed, now, book: own }, desk) => {
                let book = own.as_deref().or(book).ok_or_else(|| at(&"no settings in it: name them"))?;
                *desk = Some(Desk::new(book, seed, now));
            }
            (_, None) => return Err(at(&"comes before any start")),
            (Line::Took { now, waited, input }, Some(desk)) => {
                done.inputs += 1;
                desk.take_late(now, waited, input);
            }
            (Line::Round { now, effects }, Some(desk)) => {
                done.rounds += 1;
                done.effects += effects.len();
                let mut got = Vec::new();
                desk.round(now, &mut |e| got.push(e));
                if got != effects && done.differs.is_none() {
                    let pair = effects.iter().zip(&got).find(|(a, b)| a != b);
                    let what = pair.map_or_else(
                        || format!("{} effects recorded, {} now", effects.len(), got.len()),
                        |(a, b)| format!("recorded {a:?}, now {b:?}"),
                    );
                    done.differs = Some((k + 1, what));
                }
            }
        }
    }
    Ok(done)
}
