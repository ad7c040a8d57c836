//! The order in which things break: each limit, and how much of the target is left below it.

use kelpdoor_agreement::{MAX_DIRECTOR_NAMES, MAX_DOCUMENT};
use kelpdoor_director::{MAX_LINE, MAX_NODES, MAX_TITLES, Phase, RosterNode};
use kelpdoor_keeper::{CONNS, DIRECTORS};
use kelpdoor_script::{MAX_CONTRADICTION, MAX_DIRECTORS, MAX_NUMBERED_DIRECTORS, MAX_ZONES, Players};

use super::formatting::{figure, number, table as show};
use super::roles::{Against, ROWS, named};
use super::upper;
use crate::scale::fit::{CapacityData, Series};
use crate::scale::target::FleetTarget;

/// One limit.
pub struct Limit {
    pub what: String,
    /// In the unit of what grows; `None`: it is not met however far that grows.
    pub met: Option<f64>,
    pub target: f64,
    pub by: String,
    pub how: String,
    /// The seeds do not settle whether it holds at the target.
    pub open: bool,
}

impl Limit {
    /// Of the target; at 1 or more it holds there.
    fn part(&self) -> f64 {
        self.met.map_or(f64::INFINITY, |m| m / self.target)
    }
}

/// Bytes of a node in the roster's feed.
fn node_bytes() -> f64 {
    let node = RosterNode {
        id: 100_000,
        address: ([192, 0, 2, 100], 10_554).into(),
        zone: "region-1-zone-1".into(),
        kind: "box-16c".into(),
        cell: 1000,
        phase: Phase::Ready,
        size: 1.0,
        up_since: 1_700_000_000.25,
    };
    serde_json::to_string(&node).map_or(0, |t| t.len() + 1) as f64
}

fn in_code(target: &FleetTarget) -> Vec<Limit> {
    let t = &target.target;
    let players = Players::default();
    let of = |what: &str, met: f64, target: f64, by: &str, how: &str| Limit {
        what: what.to_owned(),
        met: Some(met),
        target,
        by: by.to_owned(),
        how: how.to_owned(),
        open: false,
    };
    let code = "limit in the code";
    let setting = "a setting's default";
    let line = MAX_LINE as f64 / node_bytes();
    let bytes = format!("limit in the code ({MAX_LINE} B a line), worked out at {} B a node", node_bytes());
    vec![
        of("names of directors in an agreed document", MAX_DIRECTORS as f64, t.directors, "directors", code),
        of("connections to a voter", CONNS as f64, t.directors, "directors", code),
        of("connections to the keeper of seats", CONNS as f64, t.directors, "directors", code),
        of("directors that a voter knows by name", MAX_DIRECTOR_NAMES as f64, t.directors, "directors", code),
        of("directors by number", f64::from(MAX_NUMBERED_DIRECTORS), t.directors, "directors", code),
        of("directors at the keeper of seats", DIRECTORS as f64, t.directors, "directors", code),
        of(
            "longest contradiction that a document may state",
            MAX_CONTRADICTION,
            target.assume.contradiction,
            "s",
            code,
        ),
        of("an agreed document", MAX_DOCUMENT as f64, target.assume.document, "B", code),
        of("nodes in the roster's feed (assumed)", MAX_NODES as f64, target.node_count(), "nodes", code),
        of("the roster's whole list in one line (nodes assumed)", line, target.node_count(), "nodes", &bytes),
        of("titles in the roster\'s feed (assumed)", MAX_TITLES as f64, target.assume.titles, "titles", code),
        of("zones", MAX_ZONES as f64, t.zones, "zones", code),
        of(
            "sockets of a director",
            players.sockets as f64,
            target.sessions_per_director(),
            "connections a director",
            setting,
        ),
        of(
            "sessions of a director",
            players.sessions as f64,
            target.sessions_per_director(),
            "connections a director",
            setting,
        ),
    ]
}

/// Why a series does not settle whether the bound is kept at a size and below: some seeds keep it and others do not, or
/// some brought no figure. The median alone would say too little.
pub fn uncertainty(s: &Series, bound: f64, most: bool, at: f64) -> Option<String> {
    let over = |y: f64| if most { y > bound } else { y < bound };
    let sizes = s.medians();
    let upto = at * 1.005;
    let list = |of: &dyn Fn(f64) -> bool| {
        let all: Vec<String> =
            sizes.iter().map(|p| p.0).filter(|x| *x <= upto && of(*x)).map(number).collect();
        all.join("; ")
    };
    let seeds = |x: f64| s.points.iter().filter(|p| p.0 == x).count();
    let all = sizes.iter().map(|p| seeds(p.0)).max().unwrap_or(0);
    let both = list(&|x| over(s.range(x).0) != over(s.range(x).1));
    let fewer = list(&|x| seeds(x) < all);
    let told: Vec<String> = [("seeds on both sides at ", both), ("no figure of some seeds at ", fewer)]
        .into_iter()
        .filter(|(_, sizes)| !sizes.is_empty())
        .map(|(why, sizes)| format!("{why}{sizes}"))
        .collect();
    (!told.is_empty()).then(|| told.join(", "))
}

/// Where a series meets a bound, and how that is known. `most`: it has to stay under it.
pub fn crossing(s: &Series, bound: f64, most: bool) -> (Option<f64>, String) {
    let over = |y: f64| if most { y > bound } else { y < bound };
    let sizes = s.medians();
    let (Some(first), Some(last)) = (sizes.first(), sizes.last()) else {
        return (None, "not measured".into());
    };
    if over(first.1) {
        return (Some(first.0), "measured; over it already at the least size".into());
    }
    if let Some(pair) = sizes.windows(2).find(|p| over(p[1].1)) {
        let part = (bound - pair[0].1) / (pair[1].1 - pair[0].1);
        let x = pair[0].0 + part * (pair[1].0 - pair[0].0);
        return (Some(x), format!("measured, between {} and {}", number(pair[0].0), number(pair[1].0)));
    }
    let Some(whole) = &s.line else { return (None, "not met at the one size".into()) };
    let bends = whole.bends.is_some();
    let line = if bends { upper(s).unwrap_or_else(|| whole.clone()) } else { whole.clone() };
    let x = (bound - line.a) / line.b;
    let grows = if most { line.b > 0.0 } else { line.b < 0.0 };
    if !grows || !x.is_finite() {
        return (None, format!("not met up to {} {}, and it does not grow", number(last.0), s.by));
    }
    let why = match (bends, whole.too_few) {
        (true, _) => ", from the upper half of the sizes, as the line bends",
        (_, true) => ", too few sizes to see a bend",
        _ => "",
    };
    // A line that lies over its points may cross before the last of them, which did not.
    (
        Some(x.max(last.0)),
        format!("worked out, {} times the largest size{why}", number(x.max(last.0) / last.0)),
    )
}

/// What one more adds, against a bound: it is kept at every size, or at none.
fn each(s: &Series, bound: f64) -> (Option<f64>, String) {
    let Some(line) = &s.line else { return (None, "one size: what each adds is not known".into()) };
    let adds = format!("each adds {}", figure(line.b, &s.unit));
    let bends = line.bends.as_ref().map(|b| format!("; the line bends {b}")).unwrap_or_default();
    if line.b > bound {
        return (s.medians().first().map(|m| m.0), format!("measured; {adds}, over it at every size{bends}"));
    }
    (None, format!("measured; {adds}, under it at every size{bends}"))
}

fn measured(target: &FleetTarget, book: &CapacityData) -> Vec<Limit> {
    let mut all = Vec::new();
    for row in ROWS {
        for s in book.series.iter().filter(|s| row.shows(s)) {
            let Some((bound, most)) = row.against.bound(target, book, &s.unit) else { continue };
            let Some(target) = target.size_for(&s.by) else { continue };
            let (met, how) = if row.against.each() { each(s, bound) } else { crossing(s, bound, most) };
            let doubt = uncertainty(s, bound, most, target).filter(|_| !row.against.each());
            let how = doubt.iter().fold(how, |how, doubt| format!("{how}; {doubt}"));
            let sign = if most { "at most" } else { "at least" };
            let what = format!("{}: {}, {sign} {}", row.role, named(s), figure(bound, &s.unit));
            all.push(Limit { what, met, target, by: s.by.clone(), how, open: doubt.is_some() });
        }
    }
    all
}

/// All limits, the first to break at the top; those that no size meets at the end.
pub fn order(target: &FleetTarget, book: &CapacityData) -> Vec<Limit> {
    let mut all = in_code(target);
    all.extend(measured(target, book));
    all.sort_by(|a, b| a.part().total_cmp(&b.part()).then_with(|| a.what.cmp(&b.what)));
    all
}

pub fn table(target: &FleetTarget, book: &CapacityData) -> String {
    let mut rows: Vec<Vec<String>> = order(target, book)
        .into_iter()
        .map(|l| {
            let met = l.met.map_or("-".into(), |m| format!("{} {}", number(m), l.by));
            let part = l.met.map_or("-".into(), |_| number(l.part()));
            let holds = match (l.part() < 1.0, l.open) {
                (true, _) => "breaks",
                (false, true) => "open",
                (false, false) => "holds",
            };
            vec![l.what.clone(), met, number(l.target), part, holds.to_owned(), l.how]
        })
        .collect();
    for row in ROWS {
        if !matches!(row.against, Against::Nothing) && !book.series.iter().any(|s| row.shows(s)) {
            let what = format!("{}: {}", row.role, row.what);
            let none = || "-".to_owned();
            rows.push(vec![what, none(), none(), none(), none(), "not measured".into()]);
        }
    }
    show(&["limit", "met at", "target", "met at / target", "at the target", "known how"], &rows)
}
