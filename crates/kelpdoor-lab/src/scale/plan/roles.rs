//! What each role holds, says and costs: a row for each, measured or not.

use super::formatting::{figure, number, table as show};
use super::worked;
use crate::scale::fit::{CapacityData, Series};
use crate::scale::target::FleetTarget;

/// What a figure is held against.
#[derive(Clone, Copy)]
pub enum Against {
    Nothing,
    /// Budgets for control of one director.
    Bytes,
    /// The same where a series counts all directors together: what one more adds is held against it.
    CoreEach,
    MemoryEach,
    /// A voter decides on one thread.
    OneCore,
    /// What a process may hold where it was measured.
    Descriptors,
    Delivery,
    InForce,
    /// At least: of the time, directors may begin sessions.
    Begin,
}

/// Of the time without faults that directors may begin sessions; the goal of changes at the ordinary day's rate.
pub const BEGIN: f64 = 0.999;

impl Against {
    /// The slope is held against the bound, not the figure.
    pub fn each(self) -> bool {
        matches!(self, Against::CoreEach | Against::MemoryEach)
    }

    fn unit(self) -> &'static str {
        match self {
            Against::Nothing => "",
            Against::CoreEach | Against::OneCore => "core",
            Against::MemoryEach => "B",
            Against::Bytes => "B/s",
            Against::Descriptors => "descriptors",
            Against::Delivery | Against::InForce => "s",
            Against::Begin => "of 1",
        }
    }

    /// The bound on a series of that unit, and whether it is met from below.
    pub fn bound(self, target: &FleetTarget, book: &CapacityData, unit: &str) -> Option<(f64, bool)> {
        let most = |x| Some((x, true));
        if unit != self.unit() {
            return None;
        }
        match self {
            Against::Nothing => None,
            Against::CoreEach => most(target.budget.core),
            Against::MemoryEach => most(target.budget.memory),
            Against::Bytes => most(target.budget.bytes),
            Against::OneCore => most(1.0),
            Against::Descriptors if book.machine.descriptors == 0 => None,
            Against::Descriptors => most(book.machine.descriptors as f64),
            Against::Delivery => most(target.target.delivery_within),
            Against::InForce => most(target.target.in_force_within),
            Against::Begin => Some((BEGIN, false)),
        }
    }

    fn says(self, target: &FleetTarget, book: &CapacityData, unit: &str) -> String {
        let Some((bound, most)) = self.bound(target, book, unit) else { return "none told".into() };
        let whose = match self {
            Against::OneCore => " (one thread decides)",
            Against::CoreEach | Against::MemoryEach => " for each",
            Against::Descriptors => " (of a process, where it was measured)",
            _ => "",
        };
        format!("{} {}{whose}", if most { "at most" } else { "at least" }, figure(bound, unit))
    }
}

/// A quantity of a role.
pub struct Row {
    pub role: &'static str,
    pub what: &'static str,
    /// The series that show it: role, start of the name, and by what they grow.
    pub of: (&'static str, &'static str, &'static [&'static str]),
    pub against: Against,
    pub carried: &'static str,
    pub state: &'static str,
}

const IN_CODE: &str = "in the code";
const LANDING: &str = "in this landing";
const MISSING: &str = "missing";
const SESSIONS: &[&str] = &["sessions"];
const MESSAGES: &[&str] = &["messages/s"];
const NODES: &[&str] = &["nodes"];
const DIRECTORS: &[&str] = &["directors"];
const CHANGES: &[&str] = &["changes/s"];
const FOLLOWS: &[&str] = &["changes/s", "directors", "document bytes"];

const fn row(
    role: &'static str, what: &'static str, of: (&'static str, &'static str, &'static [&'static str]),
    against: Against, carried: &'static str, state: &'static str,
) -> Row {
    Row { role, what, of, against, carried, state }
}

use Against::{Begin, Bytes, CoreEach, Delivery, Descriptors, InForce, MemoryEach, Nothing, OneCore};

const DESK: &str = "the desk's tables, bounded by `players(sessions, sockets)`";
const LINKS: &str = "a link to each listed node; a part of the nodes for each director is not there";
const FEED: &str = "the whole list once, then what changed";
const FOLLOWER: &str = "a lease renewed with each voter";
const LISTS: &str = "one answer a question, to each director by itself; relays are not there";

pub const ROWS: &[Row] = &[
    row("director: sessions", "memory", ("director", "memory", SESSIONS), Nothing, DESK, IN_CODE),
    row(
        "director: sessions",
        "processor time, held",
        ("director", "processor time", SESSIONS),
        Nothing,
        DESK,
        IN_CODE,
    ),
    row(
        "director: sessions",
        "descriptors",
        ("director", "descriptors", SESSIONS),
        Descriptors,
        "a connection each; several processes on a machine are for the operator to start",
        IN_CODE,
    ),
    row(
        "director: sessions",
        "processor time of each begun",
        ("director", "time of a core for each session", SESSIONS),
        Nothing,
        DESK,
        IN_CODE,
    ),
    row(
        "director: messages to viewers",
        "processor time",
        ("director", "processor time", MESSAGES),
        Nothing,
        "one loop, and a task for each connection",
        IN_CODE,
    ),
    row(
        "director: messages to viewers",
        "messages that came",
        ("director", "messages that came", MESSAGES),
        Nothing,
        "one loop, and a task for each connection",
        IN_CODE,
    ),
    row(
        "director: messages to viewers",
        "bytes",
        ("director", "bytes", MESSAGES),
        Nothing,
        "JSON text in WebSocket frames",
        IN_CODE,
    ),
    row(
        "director: messages to viewers",
        "time of a delivery, p99",
        ("director", "time of a delivery, p99", MESSAGES),
        Delivery,
        "bounded queue for each viewer",
        IN_CODE,
    ),
    row("director: node links", "memory", ("director", "memory", NODES), Nothing, LINKS, MISSING),
    row(
        "director: node links",
        "processor time",
        ("director", "processor time", NODES),
        Nothing,
        LINKS,
        MISSING,
    ),
    row(
        "director: node links",
        "descriptors",
        ("director", "descriptors", NODES),
        Descriptors,
        LINKS,
        MISSING,
    ),
    row("director: node links", "bytes", ("director", "bytes", NODES), Nothing, LINKS, MISSING),
    row(
        "director: node links",
        "time until they stand",
        ("director", "time ", NODES),
        Nothing,
        LINKS,
        MISSING,
    ),
    row(
        "director: roster's feed",
        "bytes of the list",
        ("director", "roster", NODES),
        Nothing,
        FEED,
        IN_CODE,
    ),
    row(
        "director: follower",
        "control bytes",
        ("director", "control bytes", FOLLOWS),
        Bytes,
        FOLLOWER,
        IN_CODE,
    ),
    row(
        "director: follower",
        "control messages",
        ("director", "control messages", FOLLOWS),
        Nothing,
        FOLLOWER,
        IN_CODE,
    ),
    row(
        "director: follower",
        "processor time",
        ("directors", "processor time of followers", DIRECTORS),
        CoreEach,
        FOLLOWER,
        IN_CODE,
    ),
    row(
        "director: follower",
        "memory",
        ("directors", "memory of followers", DIRECTORS),
        MemoryEach,
        FOLLOWER,
        IN_CODE,
    ),
    row(
        "director: seats' holder",
        "bytes, processor time, memory",
        ("seats' holder", "", DIRECTORS),
        Nothing,
        "seats lent ahead, a beat to the keeper",
        IN_CODE,
    ),
    row(
        "fleet: changes",
        "part of the time in which directors may begin",
        ("fleet", "part of the time", FOLLOWS),
        Begin,
        "chains of versions; those learned together stand beside the newest together",
        LANDING,
    ),
    row(
        "fleet: changes",
        "in force everywhere",
        ("fleet", "in force everywhere", FOLLOWS),
        InForce,
        "each director asks by itself",
        IN_CODE,
    ),
    row(
        "fleet: changes",
        "known by all",
        ("fleet", "known by all", FOLLOWS),
        Nothing,
        "each director asks by itself",
        IN_CODE,
    ),
    row(
        "fleet: steady",
        "directors that may begin",
        ("fleet", "directors that may begin", DIRECTORS),
        Begin,
        FOLLOWER,
        IN_CODE,
    ),
    row(
        "region cut off",
        "what its directors may begin, and healing",
        ("cut director", "", FOLLOWS),
        Nothing,
        "what plays there plays on; scopes by region are not there",
        MISSING,
    ),
    row(
        "operator",
        "proposals lost to another",
        ("operator", "proposals lost", CHANGES),
        Nothing,
        "compare-and-set on the whole document; by key is not there",
        MISSING,
    ),
    row(
        "operator",
        "time until decided",
        ("operator", "decided", FOLLOWS),
        Nothing,
        "one decree of Paxos a version",
        IN_CODE,
    ),
    row("voter", "questions", ("voter", "questions", FOLLOWS), Nothing, LISTS, IN_CODE),
    row("voter", "processor time", ("voter", "processor time", FOLLOWS), OneCore, LISTS, IN_CODE),
    row("voter", "memory", ("voter", "memory", FOLLOWS), Nothing, LISTS, IN_CODE),
    row("voter", "bytes", ("voter", "bytes", FOLLOWS), Nothing, LISTS, IN_CODE),
    row("voter", "descriptors", ("voter", "descriptors", FOLLOWS), Descriptors, LISTS, IN_CODE),
    row("voter", "time of an answer", ("voter", "answer", FOLLOWS), Nothing, LISTS, IN_CODE),
    row(
        "voter, back after a restart",
        "time until directors are answered",
        ("voter", "answered again", DIRECTORS),
        Nothing,
        "a majority of the others answers meanwhile",
        IN_CODE,
    ),
    row(
        "keeper of seats",
        "processor time, memory, bytes",
        ("keeper", "", DIRECTORS),
        Nothing,
        "one process for all schools; parts by school are not there",
        IN_CODE,
    ),
    row(
        "relay (planned)",
        "all",
        ("relay", "", DIRECTORS),
        Nothing,
        "one of a zone asks for all of it",
        MISSING,
    ),
    row(
        "divider of budgets (planned)",
        "all",
        ("divider", "", DIRECTORS),
        Nothing,
        "places, links and seats divided among directors",
        MISSING,
    ),
];

impl Row {
    pub fn shows(&self, s: &Series) -> bool {
        let (role, what, by) = self.of;
        s.role == role && s.what.starts_with(what) && by.contains(&s.by.as_str())
    }
}

/// `sessions` → `session`, `changes/s` → `change a second`.
pub fn one(by: &str) -> String {
    match by {
        "changes/s" => "change a second".into(),
        "messages/s" => "message a second".into(),
        "document bytes" => "byte of the document".into(),
        _ => by.trim_end_matches('s').to_owned(),
    }
}

fn slope(s: &Series) -> String {
    let Some(line) = &s.line else { return "one size".into() };
    if s.unit == "of 1" {
        return line
            .bends
            .as_ref()
            .map_or("no slope is told for a part of 1".into(), |b| format!("bends {b}"));
    }
    let each = one(&s.by);
    let b = figure(line.b, &s.unit);
    let within = line.b_within.map_or("no interval".into(), |(low, high)| {
        format!("{} to {}", figure(low, &s.unit), figure(high, &s.unit))
    });
    let bends = line.bends.as_ref().map(|b| format!("; **bends** {b}")).unwrap_or_default();
    format!("{b} a {each} ({within}), from {}{bends}", figure(line.a, &s.unit))
}

fn sizes(s: &Series) -> String {
    let all = s.medians();
    let seeds = s.line.as_ref().map_or(1, |l| l.seeds);
    let list: Vec<String> = all.iter().map(|x| number(x.0)).collect();
    format!("{} ({}), {seeds} {}", all.len(), list.join("; "), if seeds == 1 { "seed" } else { "seeds" })
}

fn at_target(s: &Series, target: &FleetTarget) -> String {
    let Some(x) = target.size_for(&s.by) else { return "nothing in the target has this size".into() };
    let Some(w) = worked(s, x) else { return "one size: not worked out".into() };
    let within = w
        .within
        .map(|(low, high)| format!(" ({} to {})", figure(low.max(0.0), &s.unit), figure(high, &s.unit)));
    format!("{}{} at {} {}, {}", figure(w.y, &s.unit), within.unwrap_or_default(), number(x), s.by, w.how)
}

/// What a series was measured at, and what of it was hollow.
pub fn named(s: &Series) -> String {
    let mut out = s.what.clone();
    if !s.at.is_empty() {
        out += &format!("; {}", s.at);
    }
    if !s.hollow.is_empty() {
        out += &format!("; hollow: {}", s.hollow);
    }
    out
}

pub fn table(target: &FleetTarget, book: &CapacityData) -> String {
    let mut rows = Vec::new();
    for row in ROWS {
        let shown: Vec<&Series> = book.series.iter().filter(|s| row.shows(s)).collect();
        let end = format!("{}: {}", row.state, row.carried);
        if shown.is_empty() {
            let none = || "-".to_owned();
            let (role, what) = (row.role.to_owned(), row.what.to_owned());
            rows.push(vec![role, what, "not measured".into(), none(), none(), none(), end.clone()]);
        }
        for s in shown {
            rows.push(vec![
                row.role.to_owned(),
                named(s),
                slope(s),
                sizes(s),
                at_target(s, target),
                row.against.says(target, book, &s.unit),
                end.clone(),
            ]);
        }
    }
    let head = [
        "role",
        "what, and at what",
        "slope (95% interval)",
        "sizes, seeds",
        "at the target",
        "budget",
        "carried by",
    ];
    let mut out = show(&head, &rows);
    let mut runs: Vec<String> = book
        .series
        .iter()
        .map(|s| {
            format!(
                "{}, version {}{}{}",
                s.date,
                s.version,
                if s.note.is_empty() { "" } else { ": " },
                s.note
            )
        })
        .collect();
    runs.sort();
    runs.dedup();
    out += "\nus/s: microseconds of one core's time in a second. A figure with an interval is on the fitted line.\n";
    let m = &book.machine;
    if !runs.is_empty() {
        out += &format!(
            "\nMeasured on {} cores ({}) with {}. Runs:\n\n",
            m.cores,
            m.processor,
            figure(m.memory, "B")
        );
        runs.iter().for_each(|r| out += &format!("- {r}\n"));
    }
    out
}

/// What has no run, and what was measured and stands in no row.
pub fn missing(_aim: &FleetTarget, book: &CapacityData) -> String {
    let mut out = String::new();
    for row in ROWS {
        if !book.series.iter().any(|s| row.shows(s)) {
            out += &format!("- {}, {}: not measured\n", row.role, row.what);
        }
    }
    for why in &book.partial {
        out += &format!("- partial: {why}\n");
    }
    let other: Vec<&Series> = book.series.iter().filter(|s| !ROWS.iter().any(|r| r.shows(s))).collect();
    if !other.is_empty() {
        out += "\nMeasured besides, medians by size:\n\n";
        let rows: Vec<Vec<String>> = other
            .iter()
            .map(|s| {
                let medians = s
                    .medians()
                    .iter()
                    .map(|(x, y)| format!("{}: {}", number(*x), figure(*y, &s.unit)))
                    .collect::<Vec<_>>()
                    .join("; ");
                vec![s.role.clone(), named(s), s.by.clone(), medians]
            })
            .collect();
        out += &show(&["role", "what, and at what", "by", "figures"], &rows);
    }
    if out.is_empty() { "Nothing.".into() } else { out }
}
