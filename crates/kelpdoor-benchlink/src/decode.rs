//! Decodes the wire's event records into the inputs of a director's round.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail, ensure};
use kelpdoor::Round;
use kelpdoor::Terms;
use kelpdoor::ids::{GroupId, NodeId, SessId, TitleId};
use kelpdoor::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, SetupOutcome,
};

use crate::frame::{BatchHeader, FieldReader, RECORD_SIZE};
use kelpdoor_terms::ReportFields;

/// Size of an entry of a node list, in bytes.
const LIST_ENTRY_SIZE: usize = 22;

/// The node lists received so far, by their number. They are shared by all instances.
#[derive(Default)]
pub struct NodeLists(BTreeMap<u32, Vec<ListedNode>>);

/// Adds one event to its instance's round.
type RoundUpdate<'a> = Box<dyn FnOnce(&mut Round, &ReportFields) + 'a>;

/// A decoded event of an instance.
pub enum Event<'a> {
    Start { seed: u64, terms: Box<Terms>, report: ReportFields },
    PowerOff,
    Update(RoundUpdate<'a>),
}

/// Decodes a batch's records in order. Stores node lists in `lists`, and passes each other event with its instance to `handle`.
///
/// # Errors
///
/// If a record is invalid or `handle` fails; the context names the record and its code.
pub fn decode_batch(
    header: &BatchHeader, body: &[u8], lists: &mut NodeLists,
    mut handle: impl FnMut(u32, Event) -> Result<()>,
) -> Result<()> {
    let (records, tail) = body.split_at(header.records * RECORD_SIZE);
    let mut instance = None;
    for (n, record) in records.chunks_exact(RECORD_SIZE).enumerate() {
        let r = FieldReader(record);
        let code = r.u16(0)?;
        let at = || format!("record {n}, code {code}");
        match code {
            261 => instance = Some(r.u32(2)?),
            259 => {
                let list = node_list(&r, tail).with_context(at)?;
                lists.0.insert(r.u32(2)?, list);
            }
            _ => {
                let instance =
                    instance.context("an event comes before any instance is named").with_context(at)?;
                let event = decode_event(code, &r, tail, lists).with_context(at)?;
                handle(instance, event).with_context(at)?;
            }
        }
    }
    Ok(())
}

/// Returns the part of the tail that the field at offset `field` refers to, in units of `unit` bytes.
fn tail_part<'a>(r: &FieldReader, field: usize, unit: usize, tail: &'a [u8]) -> Result<&'a [u8]> {
    let (start, count) = (r.u32(field)? as usize, r.u32(field + 4)? as usize);
    let len = count.checked_mul(unit).context("a length is too large")?;
    FieldReader(tail).slice(start, len).context("a field points outside the tail")
}

fn node_list(r: &FieldReader, tail: &[u8]) -> Result<Vec<ListedNode>> {
    let entries = tail_part(r, 6, LIST_ENTRY_SIZE, tail)?;
    entries.chunks_exact(LIST_ENTRY_SIZE).map(|e| list_entry(&FieldReader(e))).collect()
}

fn list_entry(e: &FieldReader) -> Result<ListedNode> {
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

fn update<'a>(apply: impl FnOnce(&mut Round) + 'a) -> Event<'a> {
    Event::Update(Box::new(|round, _| apply(round)))
}

fn decode_event<'a>(code: u16, r: &FieldReader, tail: &[u8], lists: &'a NodeLists) -> Result<Event<'a>> {
    Ok(match code {
        256 => {
            let (sess, node) = (new_session(r)?, NodeId(r.u32(60)?));
            update(move |round| round.handed_over.push((sess, node)))
        }
        257 => {
            let text = tail_part(r, 10, 1, tail)?;
            let (terms, report) = kelpdoor_terms::parse_terms(text).context("the settings")?;
            Event::Start { seed: r.u64(2)?, terms: Box::new(terms), report }
        }
        258 => {
            let p = Playing { sess: SessId(r.u64(2)?), node: NodeId(r.u32(11)?), took: r.f64(15)? / 1000.0 };
            update(move |round| round.playing.push(p))
        }
        // Wake-ups carry no data. Messages of other directors are checked and ignored, as the director requests none.
        260 => update(|_| ()),
        262 => {
            tail_part(r, 6, 1, tail)?;
            update(|_| ())
        }
        267 => {
            let (node, outcome, load) = (NodeId(r.u32(2)?), setup_outcome(r.u8(6)?)?, load_values(r, 15)?);
            Event::Update(Box::new(move |round, report| {
                round.probed.push((node, outcome, report.load_report(&load)));
            }))
        }
        263 => {
            let (ended, load) = ended(r)?;
            Event::Update(Box::new(move |round, report| {
                round.ended.push(Ended { load: report.load_report(&load), ..ended });
            }))
        }
        264 => {
            let sess = SessId(r.u64(2)?);
            update(move |round| round.departures.push(sess))
        }
        265 => Event::PowerOff,
        266 => {
            let form = r.u8(2)?;
            let entries = if form == 3 {
                Vec::new()
            } else {
                let number = r.u32(11)?;
                lists.0.get(&number).cloned().with_context(|| format!("list {number} was never given"))?
            };
            let change = match form {
                0 => ListChange::Changed(entries),
                1 => ListChange::Whole(entries),
                2 => ListChange::Cached(entries),
                3 => ListChange::Unanswered,
                other => bail!("the list form {other} is unknown"),
            };
            update(move |round| round.list_changes.push(change))
        }
        268 => {
            let sess = new_session(r)?;
            update(move |round| round.new_sessions.push(sess))
        }
        269 => match measurement(r)? {
            Some(measurement) => update(move |round| round.measurements.push(measurement)),
            None => update(|_| ()),
        },
        other => bail!("the event code {other} is unknown"),
    })
}

fn new_session(r: &FieldReader) -> Result<NewSession> {
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

/// Decodes a measurement; `None` for kinds that the director does not use.
fn measurement(r: &FieldReader) -> Result<Option<Measurement>> {
    let (sess, value, node) = (SessId(r.u64(2)?), r.f32(10)?, NodeId(r.u32(14)?));
    Ok(match r.u8(19)? {
        1 => Some(Measurement::Delivered { node, share: value }),
        2 => Some(Measurement::Rung { sess, rung: value as u8 }),
        3 => Some(Measurement::Link { sess, node, asked: value }),
        4 => Some(Measurement::Uplink { sess, node, asked: value }),
        _ => None,
    })
}

fn setup_outcome(code: u8) -> Result<SetupOutcome> {
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

/// Reads the values of a load report: a count at offset `at`, then up to 4 values.
fn load_values(r: &FieldReader, at: usize) -> Result<Vec<f64>> {
    let count = r.u8(at)? as usize;
    ensure!(count <= 4, "a load report has {count} values, more than 4");
    (0..count).map(|i| r.f32(at + 1 + 4 * i)).collect()
}

fn ended(r: &FieldReader) -> Result<(Ended, Vec<f64>)> {
    let ended = Ended {
        sess: SessId(r.u64(2)?),
        node: NodeId(r.u32(10)?),
        outcome: setup_outcome(r.u8(22)?)?,
        closed: r.u8(24)? != 0,
        load: LoadReport::default(),
    };
    Ok((ended, load_values(r, 25)?))
}
