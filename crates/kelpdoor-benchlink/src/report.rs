//! Which value of a load report means what at this site.

use kelpdoor::round::LoadReport;

/// The names of the values in an instance's load reports, in their order.
#[derive(Default)]
pub struct ReportFields(pub Vec<String>);

impl ReportFields {
    pub fn report(&self, values: &[f64]) -> LoadReport {
        let named = |name: &str| self.0.iter().position(|f| f == name).and_then(|i| values.get(i).copied());
        LoadReport { streams: named("inflight"), link: named("x0"), uplink: named("x1") }
    }
}
