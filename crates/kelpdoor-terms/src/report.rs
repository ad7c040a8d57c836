//! Which value of a load report means what at this site.

use kelpdoor::round::LoadReport;

/// The names of the values in an instance's load reports, in their order.
#[derive(Clone, Debug, Default)]
pub struct ReportFields(pub Vec<String>);

impl ReportFields {
    /// A report whose values come in the order of the names.
    pub fn load_report(&self, values: &[f64]) -> LoadReport {
        self.load_report_by_name(|name| {
            self.0.iter().position(|f| f == name).and_then(|i| values.get(i).copied())
        })
    }

    /// A report whose values come with their names; one that the settings do not name is passed over.
    pub fn load_report_by_name(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let named = |name: &str| self.0.iter().any(|f| f == name).then(|| value(name)).flatten();
        LoadReport { streams: named("inflight"), link: named("x0"), uplink: named("x1") }
    }
}
