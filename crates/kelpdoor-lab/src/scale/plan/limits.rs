//! Limits of the fleet in the order in which growth reaches them, relative to the target.

use kelpdoor_agreement::{MAX_DIRECTOR_NAMES, MAX_DOCUMENT};
use kelpdoor_director::{MAX_LINE, MAX_NODES, MAX_TITLES, Phase, RosterNode};
use kelpdoor_keeper::{MAX_CONNECTED_DIRECTORS, MAX_CONNECTIONS};
use kelpdoor_script::{MAX_CONTRADICTION, MAX_DIRECTORS, MAX_NUMBERED_DIRECTORS, MAX_ZONES, Players};

use super::formatting::{figure, number, table as markdown_table};
use super::roles::{Bound, ROWS, describe_series};
use super::upper_half_fit;
use crate::scale::fit::{CapacityData, Series};
use crate::scale::target::FleetTarget;

/// One limit.
pub struct Limit {
    pub what: String,
    /// Size at which the limit is reached, in the unit `by`; `None` if growth never reaches it.
    pub met: Option<f64>,
    pub target: f64,
    pub by: String,
    pub how: String,
    /// The seeds disagree on whether the limit holds at the target.
    pub uncertain: bool,
}

impl Limit {
    /// Ratio of the limit to the target; 1 or more means that the limit holds.
    fn ratio(&self) -> f64 {
        self.met.map_or(f64::INFINITY, |m| m / self.target)
    }
}

/// Size in bytes of a node in the roster's feed.
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

/// Limits fixed in the code or in default settings.
fn fixed_limits(target: &FleetTarget) -> Vec<Limit> {
    let t = &target.target;
    let players = Players::default();
    let limit = |what: &str, met: f64, target: f64, by: &str, how: &str| Limit {
        what: what.to_owned(),
        met: Some(met),
        target,
        by: by.to_owned(),
        how: how.to_owned(),
        uncertain: false,
    };
    let code = "limit in the code";
    let setting = "a setting's default";
    let line = MAX_LINE as f64 / node_bytes();
    let bytes = format!("limit in the code ({MAX_LINE} B a line), worked out at {} B a node", node_bytes());
    vec![
        limit(
            "names of directors in an agreed document",
            MAX_DIRECTORS as f64,
            t.directors,
            "directors",
            code,
        ),
        limit("connections to a voter", MAX_CONNECTIONS as f64, t.directors, "directors", code),
        limit("connections to the keeper of seats", MAX_CONNECTIONS as f64, t.directors, "directors", code),
        limit(
            "directors that a voter knows by name",
            MAX_DIRECTOR_NAMES as f64,
            t.directors,
            "directors",
            code,
        ),
        limit("directors by number", f64::from(MAX_NUMBERED_DIRECTORS), t.directors, "directors", code),
        limit(
            "directors at the keeper of seats",
            MAX_CONNECTED_DIRECTORS as f64,
            t.directors,
            "directors",
            code,
        ),
        limit(
            "longest contradiction that a document may state",
            MAX_CONTRADICTION,
            target.assume.contradiction,
            "s",
            code,
        ),
        limit("an agreed document", MAX_DOCUMENT as f64, target.assume.document, "B", code),
        limit("nodes in the roster's feed (assumed)", MAX_NODES as f64, target.node_count(), "nodes", code),
        limit(
            "the roster's whole list in one line (nodes assumed)",
            line,
            target.node_count(),
            "nodes",
            &bytes,
        ),
        limit(
            "titles in the roster\'s feed (assumed)",
            MAX_TITLES as f64,
            target.assume.titles,
            "titles",
            code,
        ),
        limit("zones", MAX_ZONES as f64, t.zones, "zones", code),
        limit(
            "sockets of a director",
            players.sockets as f64,
            target.sessions_per_director(),
            "connections a director",
            setting,
        ),
        limit(
            "sessions of a director",
            players.sessions as f64,
            target.sessions_per_director(),
            "connections a director",
            setting,
        ),
    ]
}

/// Why a series leaves open whether the bound holds up to size `at`: seeds lie on both sides of it, or some seeds have no
/// value. The median alone hides both cases.
pub fn uncertainty(s: &Series, bound: f64, upper: bool, at: f64) -> Option<String> {
    let exceeds = |y: f64| if upper { y > bound } else { y < bound };
    let sizes = s.medians();
    let max_size = at * 1.005;
    let list = |of: &dyn Fn(f64) -> bool| {
        let all: Vec<String> =
            sizes.iter().map(|p| p.0).filter(|x| *x <= max_size && of(*x)).map(number).collect();
        all.join("; ")
    };
    let seeds = |x: f64| s.points.iter().filter(|p| p.0 == x).count();
    let all = sizes.iter().map(|p| seeds(p.0)).max().unwrap_or(0);
    let both = list(&|x| exceeds(s.range(x).0) != exceeds(s.range(x).1));
    let fewer = list(&|x| seeds(x) < all);
    let told: Vec<String> = [("seeds on both sides at ", both), ("no figure of some seeds at ", fewer)]
        .into_iter()
        .filter(|(_, sizes)| !sizes.is_empty())
        .map(|(why, sizes)| format!("{why}{sizes}"))
        .collect();
    (!told.is_empty()).then(|| told.join(", "))
}

/// The size at which a series crosses a bound, and how that is known. `upper`: the bound is an upper one.
pub fn crossing(s: &Series, bound: f64, upper: bool) -> (Option<f64>, String) {
    let exceeds = |y: f64| if upper { y > bound } else { y < bound };
    let sizes = s.medians();
    let (Some(first), Some(last)) = (sizes.first(), sizes.last()) else {
        return (None, "not measured".into());
    };
    if exceeds(first.1) {
        return (Some(first.0), "measured; over it already at the least size".into());
    }
    if let Some(pair) = sizes.windows(2).find(|p| exceeds(p[1].1)) {
        let part = (bound - pair[0].1) / (pair[1].1 - pair[0].1);
        let x = pair[0].0 + part * (pair[1].0 - pair[0].0);
        return (Some(x), format!("measured, between {} and {}", number(pair[0].0), number(pair[1].0)));
    }
    let Some(whole) = &s.line else { return (None, "not met at the one size".into()) };
    let bends = whole.bends.is_some();
    let line = if bends { upper_half_fit(s).unwrap_or_else(|| whole.clone()) } else { whole.clone() };
    let x = (bound - line.intercept) / line.slope;
    let grows = if upper { line.slope > 0.0 } else { line.slope < 0.0 };
    if !grows || !x.is_finite() {
        return (None, format!("not met up to {} {}, and it does not grow", number(last.0), s.by));
    }
    let why = match (bends, whole.too_few) {
        (true, _) => ", from the upper half of the sizes, as the line bends",
        (_, true) => ", too few sizes to see a bend",
        _ => "",
    };
    // A line above its points may cross the bound before the last measured size, which did not cross it.
    (
        Some(x.max(last.0)),
        format!("worked out, {} times the largest size{why}", number(x.max(last.0) / last.0)),
    )
}

/// Compares the slope with a bound, which then holds at every size or at none.
fn slope_limit(s: &Series, bound: f64) -> (Option<f64>, String) {
    let Some(line) = &s.line else { return (None, "one size: what each adds is not known".into()) };
    let adds = format!("each adds {}", figure(line.slope, &s.unit));
    let bends = line.bends.as_ref().map(|b| format!("; the line bends {b}")).unwrap_or_default();
    if line.slope > bound {
        return (s.medians().first().map(|m| m.0), format!("measured; {adds}, over it at every size{bends}"));
    }
    (None, format!("measured; {adds}, under it at every size{bends}"))
}

/// Limits that follow from measured series.
fn measured_limits(target: &FleetTarget, data: &CapacityData) -> Vec<Limit> {
    let mut all = Vec::new();
    for row in ROWS {
        for s in data.series.iter().filter(|s| row.matches_series(s)) {
            let Some((bound, upper)) = row.bound.bound(target, data, &s.unit) else { continue };
            let Some(target) = target.size_for(&s.by) else { continue };
            let (met, how) =
                if row.bound.applies_to_slope() { slope_limit(s, bound) } else { crossing(s, bound, upper) };
            let doubt = uncertainty(s, bound, upper, target).filter(|_| !row.bound.applies_to_slope());
            let how = doubt.iter().fold(how, |how, doubt| format!("{how}; {doubt}"));
            let sign = if upper { "at most" } else { "at least" };
            let what = format!("{}: {}, {sign} {}", row.role, describe_series(s), figure(bound, &s.unit));
            all.push(Limit { what, met, target, by: s.by.clone(), how, uncertain: doubt.is_some() });
        }
    }
    all
}

/// All limits, ordered by their ratio to the target; limits that are never reached come last.
pub fn ordered_limits(target: &FleetTarget, data: &CapacityData) -> Vec<Limit> {
    let mut all = fixed_limits(target);
    all.extend(measured_limits(target, data));
    all.sort_by(|a, b| a.ratio().total_cmp(&b.ratio()).then_with(|| a.what.cmp(&b.what)));
    all
}

/// The table of limits as Markdown; rows without measurements come last.
pub fn table(target: &FleetTarget, data: &CapacityData) -> String {
    let mut rows: Vec<Vec<String>> = ordered_limits(target, data)
        .into_iter()
        .map(|l| {
            let met = l.met.map_or("-".into(), |m| format!("{} {}", number(m), l.by));
            let part = l.met.map_or("-".into(), |_| number(l.ratio()));
            let holds = match (l.ratio() < 1.0, l.uncertain) {
                (true, _) => "breaks",
                (false, true) => "open",
                (false, false) => "holds",
            };
            vec![l.what.clone(), met, number(l.target), part, holds.to_owned(), l.how]
        })
        .collect();
    for row in ROWS {
        if !matches!(row.bound, Bound::Nothing) && !data.series.iter().any(|s| row.matches_series(s)) {
            let what = format!("{}: {}", row.role, row.what);
            let none = || "-".to_owned();
            rows.push(vec![what, none(), none(), none(), none(), "not measured".into()]);
        }
    }
    markdown_table(&["limit", "met at", "target", "met at / target", "at the target", "known how"], &rows)
}
