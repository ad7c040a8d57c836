//! The bench's wire on standard input and output, one director for each instance.

mod decode;
mod encode;
mod frame;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use kelpdoor::{Director, Round};

use crate::decode::{Indication, Sheets};
use crate::encode::Reply;
use kelpdoor_terms::ReportFields;

/// An instance: its director, and what came in for it in the batch at hand.
struct Seat {
    director: Director,
    round: Round,
    report: ReportFields,
    groups: usize,
    touched: bool,
}

fn serve() -> Result<()> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut seats: BTreeMap<u32, Seat> = BTreeMap::new();
    let mut sheets = Sheets::default();
    let mut buf = Vec::new();
    while let Some(head) = frame::next(&mut input, &mut buf)? {
        let at = || format!("batch {}", head.number);
        let now = head.clock_ms / 1000.0;
        decode::batch(&head, &buf, &mut sheets, |instance, what| {
            match what {
                Indication::Start { seed, terms, report } => {
                    let groups = terms.groups.len();
                    let director = Director::new(&terms, seed, now);
                    let seat = Seat { director, round: Round::default(), report, groups, touched: true };
                    seats.insert(instance, seat);
                }
                Indication::PowerOff => {
                    seats.remove(&instance);
                }
                Indication::Came(put) => {
                    let seat = seats
                        .get_mut(&instance)
                        .with_context(|| format!("instance {instance} was never started"))?;
                    put(&mut seat.round, &seat.report);
                    let handed = seat.round.handed_over.last().map(|(s, _)| s);
                    for sess in handed.into_iter().chain(seat.round.new_sessions.last()) {
                        let group = sess.group.0;
                        ensure!(usize::from(group) < seat.groups, "the class {group} is in no settings");
                    }
                    seat.touched = true;
                }
            }
            Ok(())
        })
        .with_context(at)?;
        let mut reply = Reply::new(head.number);
        for (&instance, seat) in seats.iter_mut().filter(|(_, s)| s.touched) {
            reply.open(instance);
            seat.director.round(now, &seat.round, &mut reply);
            seat.round = Round::default();
            seat.touched = false;
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
