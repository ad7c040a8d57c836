//! From the wire's events to what the director's round holds.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail, ensure};
use kelpdoor::Round;
use kelpdoor::Terms;
use kelpdoor::ids::{GroupId, NodeId, SessId, TitleId};
use kelpdoor::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, SetupOutcome,
};

use crate::frame::{Bytes, EVENT, Head};
use kelpdoor_terms::ReportFields;

const ENTRY: usize = 22;

/// The process's numbered lists.
#[derive(Default)]
pub struct Sheets(BTreeMap<u32, Vec<ListedNode>>);

/// Puts one event into its instance's round.
type Put<'a> = Box<dyn FnOnce(&mut Round, &ReportFields) + 'a>;

pub enum Indication<'a> {
    Start { seed: u64, terms: Box<Terms>, report: ReportFields },
    PowerOff,
    Came(Put<'a>),
}

/// Walks a batch in order and hands each event on with its instance.
pub fn batch(
    head: &Head, body: &[u8], sheets: &mut Sheets, mut hand: impl FnMut(u32, Indication) -> Result<()>,
) -> Result<()> {
    let (records, tail) = body.split_at(head.records * EVENT);
    let mut instance = None;
    for (n, record) in records.chunks_exact(EVENT).enumerate() {
        let r = Bytes(record);
        let code = r.u16(0)?;
        let at = || format!("record {n}, code {code}");
        match code {
            261 => instance = Some(r.u32(2)?),
            259 => {
                let list = sheet(&r, tail).with_context(at)?;
                sheets.0.insert(r.u32(2)?, list);
            }
            _ => {
                let instance =
                    instance.context("an event comes before any instance is named").with_context(at)?;
                let what = event(code, &r, tail, sheets).with_context(at)?;
                hand(instance, what).with_context(at)?;
            }
        }
    }
    Ok(())
}

fn tail_part<'a>(r: &Bytes, field: usize, unit: usize, tail: &'a [u8]) -> Result<&'a [u8]> {
    let (start, count) = (r.u32(field)? as usize, r.u32(field + 4)? as usize);
    let len = count.checked_mul(unit).context("a length is too large")?;
    Bytes(tail).slice(start, len).context("a field points outside the tail")
}

fn sheet(r: &Bytes, tail: &[u8]) -> Result<Vec<ListedNode>> {
    let entries = tail_part(r, 6, ENTRY, tail)?;
    entries.chunks_exact(ENTRY).map(|e| listed(&Bytes(e))).collect()
}

fn listed(e: &Bytes) -> Result<ListedNode> {
    Ok(ListedNode {
        node: NodeId(e.u32(0)?),
        zone: e.u16(4)?,
        kind: e.u8(6)?,
        cell: e.u16(7)?,
        phase: match e.u8(9)? {
            0 => Phase::Gone,
            1 => Phase::Ready,
            2 => Phase::Draining,
            other => bail!("a list entry has the unknown phase {other}"),
        },
        size: e.f32(10)?,
        up_since: e.f64(14)? / 1000.0,
    })
}

fn came<'a>(put: impl FnOnce(&mut Round) + 'a) -> Indication<'a> {
    Indication::Came(Box::new(|round, _| put(round)))
}

fn event<'a>(code: u16, r: &Bytes, tail: &[u8], sheets: &'a Sheets) -> Result<Indication<'a>> {
    Ok(match code {
        256 => {
            let (sess, node) = (new_session(r)?, NodeId(r.u32(60)?));
            came(move |round| round.handed_over.push((sess, node)))
        }
        257 => {
            let text = tail_part(r, 10, 1, tail)?;
            let (terms, report) = kelpdoor_terms::parse_terms(text).context("the settings")?;
            Indication::Start { seed: r.u64(2)?, terms: Box::new(terms), report }
        }
        258 => {
            let p = Playing { sess: SessId(r.u64(2)?), node: NodeId(r.u32(11)?), took: r.f64(15)? / 1000.0 };
            came(move |round| round.playing.push(p))
        }
        // Wake-ups carry nothing; what other directors say is read and passed over, as none is asked for.
        260 => came(|_| ()),
        262 => {
            tail_part(r, 6, 1, tail)?;
            came(|_| ())
        }
        267 => {
            let (node, outcome, load) = (NodeId(r.u32(2)?), ending(r.u8(6)?)?, gauge(r, 15)?);
            Indication::Came(Box::new(move |round, report| {
                round.probed.push((node, outcome, report.load_report(&load)));
            }))
        }
        263 => {
            let (ended, load) = ended(r)?;
            Indication::Came(Box::new(move |round, report| {
                round.ended.push(Ended { load: report.load_report(&load), ..ended });
            }))
        }
        264 => {
            let sess = SessId(r.u64(2)?);
            came(move |round| round.departures.push(sess))
        }
        265 => Indication::PowerOff,
        266 => {
            let form = r.u8(2)?;
            let entries = if form == 3 {
                Vec::new()
            } else {
                let number = r.u32(11)?;
                sheets.0.get(&number).cloned().with_context(|| format!("list {number} was never given"))?
            };
            let change = match form {
                0 => ListChange::Changed(entries),
                1 => ListChange::Whole(entries),
                2 => ListChange::Cached(entries),
                3 => ListChange::Unanswered,
                other => bail!("a list of the unknown form {other}"),
            };
            came(move |round| round.list_changes.push(change))
        }
        268 => {
            let sess = new_session(r)?;
            came(move |round| round.new_sessions.push(sess))
        }
        269 => match reading(r)? {
            Some(reading) => came(move |round| round.measurements.push(reading)),
            None => came(|_| ()),
        },
        other => bail!("the event code {other} is unknown"),
    })
}

fn new_session(r: &Bytes) -> Result<NewSession> {
    Ok(NewSession {
        sess: SessId(r.u64(2)?),
        group: GroupId(r.u8(10)?),
        title: TitleId(r.u64(23)?),
        setup_timeout: r.f64(31)? / 1000.0,
        first_cell: r.f32(47)? as u16,
        cells: r.f32(51)? as u16,
        best_rung: r.f32(55)? as u8,
    })
}

fn reading(r: &Bytes) -> Result<Option<Measurement>> {
    let (sess, value, node) = (SessId(r.u64(2)?), r.f32(10)?, NodeId(r.u32(14)?));
    Ok(match r.u8(19)? {
        1 => Some(Measurement::Delivered { node, share: value }),
        2 => Some(Measurement::Rung { sess, rung: value as u8 }),
        3 => Some(Measurement::Link { sess, node, asked: value }),
        4 => Some(Measurement::Uplink { sess, node, asked: value }),
        _ => None,
    })
}

fn ending(code: u8) -> Result<SetupOutcome> {
    Ok(match code {
        0 => SetupOutcome::Served,
        5 => SetupOutcome::Failed,
        11 => SetupOutcome::BusyReplied,
        104 => SetupOutcome::ConnectionLost,
        110 => SetupOutcome::TimedOut,
        111 => SetupOutcome::Unreachable,
        114 => SetupOutcome::NeverSent,
        125 => SetupOutcome::Withdrawn,
        other => bail!("the outcome {other} is unknown"),
    })
}

fn gauge(r: &Bytes, at: usize) -> Result<Vec<f64>> {
    let values = r.u8(at)? as usize;
    ensure!(values <= 4, "a load report of {values} values");
    (0..values).map(|i| r.f32(at + 1 + 4 * i)).collect()
}

fn ended(r: &Bytes) -> Result<(Ended, Vec<f64>)> {
    let ended = Ended {
        sess: SessId(r.u64(2)?),
        node: NodeId(r.u32(10)?),
        outcome: ending(r.u8(22)?)?,
        closed: r.u8(24)? != 0,
        load: LoadReport::default(),
    };
    Ok((ended, gauge(r, 25)?))
}
