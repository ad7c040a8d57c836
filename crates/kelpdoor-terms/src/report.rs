//! Meaning of the values in a load report, as the settings define it.

use kelpdoor::round::LoadReport;

/// Names of the values in a node's load reports, in their order.
#[derive(Clone, Debug, Default)]
pub struct ReportFields(pub Vec<String>);

impl ReportFields {
    /// Reads a report whose values come in the order of the names.
    pub fn load_report(&self, values: &[f64]) -> LoadReport {
        self.load_report_by_name(|name| {
            self.0.iter().position(|f| f == name).and_then(|i| values.get(i).copied())
        })
    }

    /// Reads a report whose values come with their names. Values that the settings do not name are ignored.
    pub fn load_report_by_name(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let value_if_named = |name: &str| self.0.iter().any(|f| f == name).then(|| value(name)).flatten();
        LoadReport {
            streams: value_if_named("inflight"),
            link: value_if_named("x0"),
            uplink: value_if_named("x1"),
        }
    }
}
