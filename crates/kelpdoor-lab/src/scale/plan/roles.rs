//! The table of roles: one row for each quantity of a role, measured or not.

use super::estimate;
use super::formatting::{figure, number, table as markdown_table};
use crate::scale::fit::{CapacityData, Series};
use crate::scale::target::FleetTarget;

/// The bound that a value is compared with.
#[derive(Clone, Copy)]
pub enum Bound {
    Nothing,
    /// Budget of control traffic of one director.
    Bytes,
    /// Budgets of one director for series that sum over all directors; compared with the slope.
    CoreEach,
    MemoryEach,
    /// A voter runs on one thread.
    OneCore,
    /// Limit of open descriptors on the machine that ran the measurement.
    Descriptors,
    Delivery,
    InForce,
    /// Lower bound on the fraction of time in which directors may begin sessions.
    Begin,
}

/// Least fraction of the time without faults in which directors may begin sessions, at the ordinary rate of changes.
pub const MIN_BEGIN_FRACTION: f64 = 0.999;

impl Bound {
    /// Whether the bound applies to the slope instead of the value.
    pub fn applies_to_slope(self) -> bool {
        matches!(self, Bound::CoreEach | Bound::MemoryEach)
    }

    fn unit(self) -> &'static str {
        match self {
            Bound::Nothing => "",
            Bound::CoreEach | Bound::OneCore => "core",
            Bound::MemoryEach => "B",
            Bound::Bytes => "B/s",
            Bound::Descriptors => "descriptors",
            Bound::Delivery | Bound::InForce => "s",
            Bound::Begin => "of 1",
        }
    }

    /// The bound on a series of that unit, and whether it is an upper bound.
    pub fn bound(self, target: &FleetTarget, data: &CapacityData, unit: &str) -> Option<(f64, bool)> {
        let upper = |x| Some((x, true));
        if unit != self.unit() {
            return None;
        }
        match self {
            Bound::Nothing => None,
            Bound::CoreEach => upper(target.budget.core),
            Bound::MemoryEach => upper(target.budget.memory),
            Bound::Bytes => upper(target.budget.bytes),
            Bound::OneCore => upper(1.0),
            Bound::Descriptors if data.machine.descriptors == 0 => None,
            Bound::Descriptors => upper(data.machine.descriptors as f64),
            Bound::Delivery => upper(target.target.delivery_within),
            Bound::InForce => upper(target.target.in_force_within),
            Bound::Begin => Some((MIN_BEGIN_FRACTION, false)),
        }
    }

    fn describe(self, target: &FleetTarget, data: &CapacityData, unit: &str) -> String {
        let Some((bound, upper)) = self.bound(target, data, unit) else { return "none told".into() };
        let whose = match self {
            Bound::OneCore => " (one thread decides)",
            Bound::CoreEach | Bound::MemoryEach => " for each",
            Bound::Descriptors => " (of a process, where it was measured)",
            _ => "",
        };
        format!("{} {}{whose}", if upper { "at most" } else { "at least" }, figure(bound, unit))
    }
}

/// Row of the table: a quantity of a role.
pub struct Row {
    pub role: &'static str,
    pub what: &'static str,
    /// Selects the series of the row: role, prefix of the quantity, and units of the size.
    pub series: (&'static str, &'static str, &'static [&'static str]),
    pub bound: Bound,
    /// Mechanism that carries the load.
    pub carried: &'static str,
    /// Whether that mechanism exists.
    pub state: &'static str,
}

const IN_CODE: &str = "in the code";
const IN_THIS_RELEASE: &str = "in this landing";
const MISSING: &str = "missing";
const SESSIONS: &[&str] = &["sessions"];
const MESSAGES: &[&str] = &["messages/s"];
const NODES: &[&str] = &["nodes"];
const DIRECTORS: &[&str] = &["directors"];
const CHANGES: &[&str] = &["changes/s"];
const FOLLOWER_SIZES: &[&str] = &["changes/s", "directors", "document bytes"];

const fn row(
    role: &'static str, what: &'static str, series: (&'static str, &'static str, &'static [&'static str]),
    bound: Bound, carried: &'static str, state: &'static str,
) -> Row {
    Row { role, what, series, bound, carried, state }
}

use Bound::{Begin, Bytes, CoreEach, Delivery, Descriptors, InForce, MemoryEach, Nothing, OneCore};

const SESSION_TABLES: &str = "the desk's tables, bounded by `players(sessions, sockets)`";
const LINKS: &str = "a link to each listed node; a part of the nodes for each director is not there";
const FEED: &str = "the whole list once, then what changed";
const FOLLOWER: &str = "a lease renewed with each voter";
const VOTER_ANSWERS: &str = "one answer a question, to each director by itself; relays are not there";

/// All rows of the table, in the order of the page.
pub const ROWS: &[Row] = &[
    row("director: sessions", "memory", ("director", "memory", SESSIONS), Nothing, SESSION_TABLES, IN_CODE),
    row(
        "director: sessions",
        "processor time, held",
        ("director", "processor time", SESSIONS),
        Nothing,
        SESSION_TABLES,
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
        SESSION_TABLES,
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
        ("director", "control bytes", FOLLOWER_SIZES),
        Bytes,
        FOLLOWER,
        IN_CODE,
    ),
    row(
        "director: follower",
        "control messages",
        ("director", "control messages", FOLLOWER_SIZES),
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
        ("fleet", "part of the time", FOLLOWER_SIZES),
        Begin,
        "chains of versions; those learned together stand beside the newest together",
        IN_THIS_RELEASE,
    ),
    row(
        "fleet: changes",
        "in force everywhere",
        ("fleet", "in force everywhere", FOLLOWER_SIZES),
        InForce,
        "each director asks by itself",
        IN_CODE,
    ),
    row(
        "fleet: changes",
        "known by all",
        ("fleet", "known by all", FOLLOWER_SIZES),
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
        ("cut director", "", FOLLOWER_SIZES),
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
        ("operator", "decided", FOLLOWER_SIZES),
        Nothing,
        "one decree of Paxos a version",
        IN_CODE,
    ),
    row("voter", "questions", ("voter", "questions", FOLLOWER_SIZES), Nothing, VOTER_ANSWERS, IN_CODE),
    row(
        "voter",
        "processor time",
        ("voter", "processor time", FOLLOWER_SIZES),
        OneCore,
        VOTER_ANSWERS,
        IN_CODE,
    ),
    row("voter", "memory", ("voter", "memory", FOLLOWER_SIZES), Nothing, VOTER_ANSWERS, IN_CODE),
    row("voter", "bytes", ("voter", "bytes", FOLLOWER_SIZES), Nothing, VOTER_ANSWERS, IN_CODE),
    row(
        "voter",
        "descriptors",
        ("voter", "descriptors", FOLLOWER_SIZES),
        Descriptors,
        VOTER_ANSWERS,
        IN_CODE,
    ),
    row("voter", "time of an answer", ("voter", "answer", FOLLOWER_SIZES), Nothing, VOTER_ANSWERS, IN_CODE),
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
    /// Whether the series belongs to this row.
    pub fn matches_series(&self, s: &Series) -> bool {
        let (role, what, by) = self.series;
        s.role == role && s.what.starts_with(what) && by.contains(&s.by.as_str())
    }
}

/// Singular of a unit of size: `sessions` → `session`, `changes/s` → `change a second`.
pub fn singular(by: &str) -> String {
    match by {
        "changes/s" => "change a second".into(),
        "messages/s" => "message a second".into(),
        "document bytes" => "byte of the document".into(),
        _ => by.trim_end_matches('s').to_owned(),
    }
}

/// Slope of a series with its interval, as printed.
fn slope(s: &Series) -> String {
    let Some(line) = &s.line else { return "one size".into() };
    if s.unit == "of 1" {
        return line
            .bends
            .as_ref()
            .map_or("no slope is told for a part of 1".into(), |b| format!("bends {b}"));
    }
    let each = singular(&s.by);
    let b = figure(line.slope, &s.unit);
    let within = line.slope_interval.map_or("no interval".into(), |(low, high)| {
        format!("{} to {}", figure(low, &s.unit), figure(high, &s.unit))
    });
    let bends = line.bends.as_ref().map(|b| format!("; **bends** {b}")).unwrap_or_default();
    format!("{b} a {each} ({within}), from {}{bends}", figure(line.intercept, &s.unit))
}

/// Measured sizes and number of seeds, as printed.
fn sizes(s: &Series) -> String {
    let all = s.medians();
    let seeds = s.line.as_ref().map_or(1, |l| l.seeds);
    let list: Vec<String> = all.iter().map(|x| number(x.0)).collect();
    format!("{} ({}), {seeds} {}", all.len(), list.join("; "), if seeds == 1 { "seed" } else { "seeds" })
}

/// Value at the size of the target, as printed.
fn at_target(s: &Series, target: &FleetTarget) -> String {
    let Some(x) = target.size_for(&s.by) else { return "nothing in the target has this size".into() };
    let Some(w) = estimate(s, x) else { return "one size: not worked out".into() };
    let within = w
        .within
        .map(|(low, high)| format!(" ({} to {})", figure(low.max(0.0), &s.unit), figure(high, &s.unit)));
    format!("{}{} at {} {}, {}", figure(w.y, &s.unit), within.unwrap_or_default(), number(x), s.by, w.how)
}

/// Quantity, conditions and simulated parts of a series, as printed.
pub fn describe_series(s: &Series) -> String {
    let mut out = s.what.clone();
    if !s.at.is_empty() {
        out += &format!("; {}", s.at);
    }
    if !s.hollow.is_empty() {
        out += &format!("; hollow: {}", s.hollow);
    }
    out
}

/// The table of roles as Markdown, followed by the list of runs.
pub fn table(target: &FleetTarget, data: &CapacityData) -> String {
    let mut rows = Vec::new();
    for row in ROWS {
        let shown: Vec<&Series> = data.series.iter().filter(|s| row.matches_series(s)).collect();
        let end = format!("{}: {}", row.state, row.carried);
        if shown.is_empty() {
            let none = || "-".to_owned();
            let (role, what) = (row.role.to_owned(), row.what.to_owned());
            rows.push(vec![role, what, "not measured".into(), none(), none(), none(), end.clone()]);
        }
        for s in shown {
            rows.push(vec![
                row.role.to_owned(),
                describe_series(s),
                slope(s),
                sizes(s),
                at_target(s, target),
                row.bound.describe(target, data, &s.unit),
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
    let mut out = markdown_table(&head, &rows);
    let mut runs: Vec<String> = data
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
    let m = &data.machine;
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

/// Rows without measurements, and measured series without a row.
pub fn missing(_target: &FleetTarget, data: &CapacityData) -> String {
    let mut out = String::new();
    for row in ROWS {
        if !data.series.iter().any(|s| row.matches_series(s)) {
            out += &format!("- {}, {}: not measured\n", row.role, row.what);
        }
    }
    for why in &data.partial {
        out += &format!("- partial: {why}\n");
    }
    let other: Vec<&Series> =
        data.series.iter().filter(|s| !ROWS.iter().any(|r| r.matches_series(s))).collect();
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
                vec![s.role.clone(), describe_series(s), s.by.clone(), medians]
            })
            .collect();
        out += &markdown_table(&["role", "what, and at what", "by", "figures"], &rows);
    }
    if out.is_empty() { "Nothing.".into() } else { out }
}
