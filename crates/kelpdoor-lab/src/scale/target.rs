//! Target files: the planned size, budget and fault rates of a fleet, and the quantities derived from them.

use std::path::Path;

use kelpdoor_script::{Call, SettingsError, SourcePosition, TARGET_BUILTINS};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Planned size and load of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub directors: f64,
    /// Session connections of viewers.
    pub connections: f64,
    /// Shards; a shard is the sessions of one title at one director.
    pub shards: f64,
    /// Sessions of the largest title.
    pub largest_title: f64,
    /// Messages to viewers per second.
    pub deliveries: f64,
    /// 99th percentile of the delivery time of a message, in seconds.
    pub delivery_within: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_a_day: f64,
    /// Time until a change is in force everywhere, in seconds.
    pub in_force_within: f64,
}

/// Budget of control traffic: cores, bytes of memory and bytes per second for each director, and machines in total.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub core: f64,
    pub memory: f64,
    pub bytes: f64,
    pub machines: f64,
}

/// Fault rates of ordinary days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    pub machines_a_day: f64,
    /// Directors restarted or replaced per day.
    pub restarted_a_day: f64,
    pub racks_a_day: f64,
    pub zones_a_day: f64,
    /// Duration of a partition between regions, in seconds.
    pub region_cut: f64,
}

/// Assumptions about quantities that the target does not state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Assume {
    pub sessions_a_node: f64,
    /// Titles in the roster's feed.
    pub titles: f64,
    pub voters: f64,
    /// Longest time that directors act on different rules, in seconds.
    pub contradiction: f64,
    /// Size of the agreed document in bytes.
    pub document: f64,
    pub directors_a_rack: f64,
    /// New sessions per second that a director can set up.
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

/// Contents of a target file.
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
    errors: Vec<SettingsError>,
}

impl Reader<'_> {
    fn parse_call<T: DeserializeOwned>(&mut self, builtin: &str, required: bool) -> Option<(T, Call)> {
        let mut of = self.calls.iter().filter(|c| c.builtin == builtin);
        let Some(call) = of.next() else {
            if required {
                let (file, pos) = (self.file.to_owned(), SourcePosition::default());
                self.errors.push(SettingsError { file, pos, message: format!("{builtin}(..) is missing") });
            }
            return None;
        };
        let again: Vec<SettingsError> =
            of.map(|c| c.error(self.file, format!("{builtin}(..) stands twice"))).collect();
        self.errors.extend(again);
        match call.parse_args(self.file) {
            Ok(value) => Some((value, call.clone())),
            Err(error) => {
                self.errors.push(error);
                None
            }
        }
    }

    fn check(&mut self, call: &Call, valid: bool, message: &str) {
        if !valid {
            self.errors.push(call.error(self.file, format!("{}: {message}", call.builtin)));
        }
    }

    /// Checks that each value is positive and that counts are whole numbers.
    fn check_values(&mut self, call: &Call, of: &impl Serialize, whole: &[&str]) {
        let Ok(serde_json::Value::Object(all)) = serde_json::to_value(of) else { return };
        for (name, value) in all {
            // JSON has no representation of values that are not finite.
            let value = value.as_f64().unwrap_or(f64::NAN);
            let positive = value > 0.0 && value <= MAX_VALUE;
            self.check(call, positive, &format!("{name} has to be above 0, and 1e15 at most"));
            let whole = !positive || !whole.contains(&name.as_str()) || value.fract() == 0.0;
            self.check(call, whole, &format!("{name} counts things: a whole number is asked for"));
        }
    }
}

/// Largest value allowed in a target; beyond it `f64` sums lose precision.
const MAX_VALUE: f64 = 1e15;

impl FleetTarget {
    /// Parses the text of a target file; `file` names it in errors.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<FleetTarget, Vec<SettingsError>> {
        FleetTarget::from_calls(file, &kelpdoor_script::evaluate(file, text, TARGET_BUILTINS)?)
    }

    /// Reads and parses a target file.
    ///
    /// # Errors
    /// The file cannot be read, or all errors found in it, each with its position.
    pub fn read(path: &Path) -> Result<FleetTarget, Vec<SettingsError>> {
        FleetTarget::from_calls(
            &path.display().to_string(),
            &kelpdoor_script::evaluate_file(path, TARGET_BUILTINS)?,
        )
    }

    fn from_calls(file: &str, calls: &[Call]) -> Result<FleetTarget, Vec<SettingsError>> {
        let mut r = Reader { file, calls, errors: Vec::new() };
        let target = r.parse_call::<Target>("target", true);
        let budget = r.parse_call::<Budget>("budget", true);
        let faults = r.parse_call::<Faults>("faults", true);
        let assume = r.parse_call::<Assume>("assume", false);
        if let Some((t, call)) = &target {
            r.check_values(
                call,
                t,
                &["directors", "connections", "shards", "largest_title", "regions", "zones"],
            );
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
            r.check_values(call, b, &["machines"]);
        }
        if let Some((f, call)) = &faults {
            r.check_values(call, f, &[]);
        }
        if let Some((a, call)) = &assume {
            r.check_values(call, a, &["voters", "titles", "sessions_a_node", "directors_a_rack"]);
            r.check(call, a.voters % 2.0 == 1.0, "an odd number of voters is asked for");
        }
        match (target, budget, faults) {
            (Some((target, _)), Some((budget, _)), Some((of, _))) if r.errors.is_empty() => {
                let assume = assume.map(|a| a.0).unwrap_or_default();
                Ok(FleetTarget { target, budget, faults: of, assume })
            }
            _ => Err(r.errors),
        }
    }

    /// Connections, and so sessions, of each director.
    pub fn sessions_per_director(&self) -> f64 {
        self.target.connections / self.target.directors
    }

    /// Shards of each director.
    pub fn shards_per_director(&self) -> f64 {
        self.target.shards / self.target.directors
    }

    /// Messages to viewers per second of each director.
    pub fn deliveries_per_director(&self) -> f64 {
        self.target.deliveries / self.target.directors
    }

    /// Number of media nodes.
    pub fn node_count(&self) -> f64 {
        (self.target.connections / self.assume.sessions_a_node).ceil()
    }

    /// Changes of the agreed document per second.
    pub fn changes_per_second(&self) -> f64 {
        self.target.changes_a_day / SECONDS_PER_DAY
    }

    /// The size of the target in the unit `by` of a series; `None` for unknown units.
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

/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
