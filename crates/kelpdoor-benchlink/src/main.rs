//! An adapter for the bench: reads batches of events on standard input, runs one director for each instance, and writes the
//! directors' orders to standard output.

mod decode;
mod encode;
mod frame;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use kelpdoor::{Director, Round};

use crate::decode::{Event, NodeLists};
use crate::encode::Reply;
use kelpdoor_terms::ReportFields;

/// A director, and its inputs from the current batch.
struct Instance {
    director: Director,
    round: Round,
    report: ReportFields,
    /// Number of service groups in its settings.
    group_count: usize,
    /// Whether the current batch has an event for it.
    has_input: bool,
}

fn serve() -> Result<()> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut lists = NodeLists::default();
    let mut buf = Vec::new();
    while let Some(header) = frame::read_batch(&mut input, &mut buf)? {
        let at = || format!("batch {}", header.number);
        let now = header.clock_ms / 1000.0;
        decode::decode_batch(&header, &buf, &mut lists, |number, event| {
            match event {
                Event::Start { seed, terms, report } => {
                    let group_count = terms.groups.len();
                    let director = Director::new(&terms, seed, now);
                    let instance =
                        Instance { director, round: Round::default(), report, group_count, has_input: true };
                    instances.insert(number, instance);
                }
                Event::PowerOff => {
                    instances.remove(&number);
                }
                Event::Update(apply) => {
                    let instance = instances
                        .get_mut(&number)
                        .with_context(|| format!("instance {number} was never started"))?;
                    apply(&mut instance.round, &instance.report);
                    let handed_over = instance.round.handed_over.last().map(|(s, _)| s);
                    for sess in handed_over.into_iter().chain(instance.round.new_sessions.last()) {
                        let group = sess.group.0;
                        ensure!(
                            usize::from(group) < instance.group_count,
                            "the class {group} is not in the settings"
                        );
                    }
                    instance.has_input = true;
                }
            }
            Ok(())
        })
        .with_context(at)?;
        let mut reply = Reply::new(header.number);
        for (&number, instance) in instances.iter_mut().filter(|(_, i)| i.has_input) {
            reply.start_instance(number);
            instance.director.round(now, &instance.round, &mut reply);
            instance.round = Round::default();
            instance.has_input = false;
        }
        output.write_all(&reply.finish()).context("writing the reply")?;
        output.flush().context("writing the reply")?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("kelpdoor-benchlink: {}", format!("{e:#}").replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
