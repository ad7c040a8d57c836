//! The journal: the inputs and effects of a core as JSON lines. A replay feeds the inputs to a new core and checks
//! that it produces the same effects. Attributes keep the names that journals have on disk.

use std::io::{BufRead, Write};

use kelpdoor_script::Deployment;
use serde::{Deserialize, Serialize};

use crate::core::DirectorCore;
use crate::effect::{Effect, Input};

/// One line of a journal. Times in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A core starts. `deployment` holds the settings if they are agreed, because no settings file is complete then.
    Start {
        seed: u64,
        now: f64,
        #[serde(rename = "book", default, skip_serializing_if = "Option::is_none")]
        deployment: Option<Box<Deployment>>,
    },
    /// An input that arrived `delay` seconds before `now`.
    #[serde(rename = "Took")]
    Input {
        now: f64,
        #[serde(rename = "waited")]
        delay: f64,
        input: Input,
    },
    /// A round and the effects that it produced.
    Round { now: f64, effects: Vec<Effect> },
}

/// Writes an entry as one line.
///
/// # Errors
/// The error of the writer.
pub fn write_entry(to: &mut impl Write, entry: &JournalEntry) -> std::io::Result<()> {
    serde_json::to_writer(&mut *to, entry)?;
    to.write_all(b"\n")
}

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayReport {
    pub inputs: usize,
    pub rounds: usize,
    pub effects: usize,
    /// Line number and description of the first round whose effects differ.
    pub first_difference: Option<(usize, String)>,
}

/// Feeds a journal's inputs to a new core and compares its effects with the recorded ones. `deployment` is used if
/// the journal holds no settings.
///
/// # Errors
/// A line that cannot be read or parsed, with its number; a journal without settings if `deployment` is `None`; an
/// entry before the first start.
pub fn replay(from: impl BufRead, deployment: Option<&Deployment>) -> anyhow::Result<ReplayReport> {
    let mut core: Option<DirectorCore> = None;
    let mut report = ReplayReport::default();
    for (k, line) in from.lines().enumerate() {
        let at = |e: &dyn std::fmt::Display| anyhow::anyhow!("journal line {}: {e}", k + 1);
        let entry: JournalEntry = serde_json::from_str(&line.map_err(|e| at(&e))?).map_err(|e| at(&e))?;
        match (entry, &mut core) {
            (JournalEntry::Start { seed, now, deployment: recorded }, core) => {
                let deployment = recorded
                    .as_deref()
                    .or(deployment)
                    .ok_or_else(|| at(&"the journal has no settings: name a settings file"))?;
                *core = Some(DirectorCore::new(deployment, seed, now));
            }
            (_, None) => return Err(at(&"no start entry before this line")),
            (JournalEntry::Input { now, delay, input }, Some(core)) => {
                report.inputs += 1;
                core.handle_delayed_input(now, delay, input);
            }
            (JournalEntry::Round { now, effects }, Some(core)) => {
                report.rounds += 1;
                report.effects += effects.len();
                let mut actual = Vec::new();
                core.round(now, &mut |e| actual.push(e));
                if actual != effects && report.first_difference.is_none() {
                    let pair = effects.iter().zip(&actual).find(|(a, b)| a != b);
                    let difference = pair.map_or_else(
                        || format!("{} effects recorded, {} now", effects.len(), actual.len()),
                        |(a, b)| format!("recorded {a:?}, now {b:?}"),
                    );
                    report.first_difference = Some((k + 1, difference));
                }
            }
        }
    }
    Ok(report)
}
