//! A fleet as it is to be: the words of a target file, and the sums that follow from them alone.

use std::path::Path;

use kelpdoor_script::{Call, SettingsError, SourcePosition, TARGET_BUILTINS};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// What the fleet is to hold and do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub directors: f64,
    /// Of viewers.
    pub connections: f64,
    /// One title's sessions at one director.
    pub shards: f64,
    /// Sessions of the largest title.
    pub largest_title: f64,
    /// Messages to viewers, a second.
    pub deliveries: f64,
    /// s; for 99 in 100.
    pub delivery_within: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_a_day: f64,
    /// s; a change, everywhere.
    pub in_force_within: f64,
}

/// What control may take: of a core, B, B a second for each director, and machines in all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub core: f64,
    pub memory: f64,
    pub bytes: f64,
    pub machines: f64,
}

/// What fails on ordinary days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    pub machines_a_day: f64,
    /// Directors restarted or replaced.
    pub restarted_a_day: f64,
    pub racks_a_day: f64,
    pub zones_a_day: f64,
    /// s; regions lose each other for so long.
    pub region_cut: f64,
}

/// What nobody told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Assume {
    pub sessions_a_node: f64,
    /// In the roster's feed.
    pub titles: f64,
    pub voters: f64,
    /// s; the longest that directors act on different rules.
    pub contradiction: f64,
    /// B; the agreed document.
    pub document: f64,
    pub directors_a_rack: f64,
    /// New sessions a second that a director takes.
    pub setups_a_second: f64,
}

impl Default for Assume {
    fn default() -> Self {
        Assume {
            sessions_a_node: 2000.0,
            titles: 10e3,
            voters: 5.0,
            contradiction: 2.0,
            document: 20e3,
            directors_a_rack: 20.0,
            setups_a_second: 500.0,
        }
    }
}

/// A target file.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetTarget {
    pub target: Target,
    pub budget: Budget,
    pub faults: Faults,
    pub assume: Assume,
}

struct Reader<'a> {
    file: &'a str,
    calls: &'a [Call],
    faults: Vec<SettingsError>,
}

impl Reader<'_> {
    fn one<T: DeserializeOwned>(&mut self, word: &str, needed: bool) -> Option<(T, Call)> {
        let mut of = self.calls.iter().filter(|c| c.builtin == word);
        let Some(call) = of.next() else {
            if needed {
                let (file, pos) = (self.file.to_owned(), SourcePosition::default());
                self.faults.push(SettingsError { file, pos, message: format!("{word}(..) is missing") });
            }
            return None;
        };
        let again: Vec<SettingsError> =
            of.map(|c| c.error(self.file, format!("{word}(..) stands twice"))).collect();
        self.faults.extend(again);
        match call.parse_args(self.file) {
            Ok(value) => Some((value, call.clone())),
            Err(fault) => {
                self.faults.push(fault);
                None
            }
        }
    }

    fn check(&mut self, call: &Call, good: bool, what: &str) {
        if !good {
            self.faults.push(call.error(self.file, format!("{}: {what}", call.builtin)));
        }
    }

    /// Each figure is above 0, and those that count things are whole.
    fn figures(&mut self, call: &Call, of: &impl Serialize, whole: &[&str]) {
        let Ok(serde_json::Value::Object(all)) = serde_json::to_value(of) else { return };
        for (name, value) in all {
            // What is not finite has no number in JSON.
            let value = value.as_f64().unwrap_or(f64::NAN);
            let positive = value > 0.0 && value <= MOST;
            self.check(call, positive, &format!("{name} has to be above 0, and 1e15 at most"));
            let whole = !positive || !whole.contains(&name.as_str()) || value.fract() == 0.0;
            self.check(call, whole, &format!("{name} counts things: a whole number is asked for"));
        }
    }
}

/// Of any figure in a target; beyond it sums lose their last digits.
const MOST: f64 = 1e15;

impl FleetTarget {
    /// # Errors
    /// Every fault found, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<FleetTarget, Vec<SettingsError>> {
        FleetTarget::from_calls(file, &kelpdoor_script::evaluate(file, text, TARGET_BUILTINS)?)
    }

    /// # Errors
    /// Every fault found, each with its place, and where the file cannot be read.
    pub fn read(path: &Path) -> Result<FleetTarget, Vec<SettingsError>> {
        FleetTarget::from_calls(
            &path.display().to_string(),
            &kelpdoor_script::evaluate_file(path, TARGET_BUILTINS)?,
        )
    }

    fn from_calls(file: &str, calls: &[Call]) -> Result<FleetTarget, Vec<SettingsError>> {
        let mut r = Reader { file, calls, faults: Vec::new() };
        let target = r.one::<Target>("target", true);
        let budget = r.one::<Budget>("budget", true);
        let faults = r.one::<Faults>("faults", true);
        let assume = r.one::<Assume>("assume", false);
        if let Some((t, call)) = &target {
            r.figures(call, t, &["directors", "connections", "shards", "largest_title", "regions", "zones"]);
            r.check(call, t.zones <= t.directors, "more zones than directors");
            r.check(call, t.regions <= t.zones, "more regions than zones");
            r.check(call, t.shards <= t.connections, "more shards than connections");
            r.check(
                call,
                t.largest_title <= t.connections,
                "the largest title has more than all connections",
            );
        }
        if let Some((b, call)) = &budget {
            r.figures(call, b, &["machines"]);
        }
        if let Some((f, call)) = &faults {
            r.figures(call, f, &[]);
        }
        if let Some((a, call)) = &assume {
            r.figures(call, a, &["voters", "titles", "sessions_a_node", "directors_a_rack"]);
            r.check(call, a.voters % 2.0 == 1.0, "an odd number of voters is asked for");
        }
        match (target, budget, faults) {
            (Some((target, _)), Some((budget, _)), Some((of, _))) if r.faults.is_empty() => {
                let assume = assume.map(|a| a.0).unwrap_or_default();
                Ok(FleetTarget { target, budget, faults: of, assume })
            }
            _ => Err(r.faults),
        }
    }

    /// Connections of a director.
    pub fn sessions_per_director(&self) -> f64 {
        self.target.connections / self.target.directors
    }

    /// Shards of a director.
    pub fn shards_per_director(&self) -> f64 {
        self.target.shards / self.target.directors
    }

    /// Messages to viewers a second, of a director.
    pub fn deliveries_per_director(&self) -> f64 {
        self.target.deliveries / self.target.directors
    }

    /// Media nodes.
    pub fn node_count(&self) -> f64 {
        (self.target.connections / self.assume.sessions_a_node).ceil()
    }

    /// Changes a second.
    pub fn changes_per_second(&self) -> f64 {
        self.target.changes_a_day / SECONDS_PER_DAY
    }

    /// The size that a series is worked out for, by what it grows with.
    pub fn size_for(&self, by: &str) -> Option<f64> {
        match by {
            "directors" => Some(self.target.directors),
            "sessions" | "connections" => Some(self.sessions_per_director()),
            "nodes" | "listed nodes" => Some(self.node_count()),
            "changes/s" => Some(self.changes_per_second()),
            "messages/s" | "deliveries/s" => Some(self.deliveries_per_director()),
            "shards" | "titles" => Some(self.shards_per_director()),
            "voters" => Some(self.assume.voters),
            "document bytes" => Some(self.assume.document),
            _ => None,
        }
    }
}

/// s
pub const SECONDS_PER_DAY: f64 = 86_400.0;
