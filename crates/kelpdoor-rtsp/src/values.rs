//! Values of the extension headers: pairs such as `streams=12;link=0.83;uplink=0.41`.
//!
//! Unknown names are skipped. A value that is not a finite number of at least 0 counts as absent, because a faulty node
//! must not influence decisions.

use std::fmt;

/// `Load-Report`, in responses. The node refreshes the values only from time to time, so they are slightly old and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReportHeader {
    /// Streams that play or are being set up.
    pub streams: Option<f64>,
    /// Demand on the node's link, relative to what the link delivers.
    pub link: Option<f64>,
    /// Demand on the rack's uplink, relative to what the uplink delivers.
    pub uplink: Option<f64>,
}

/// `Asked`, in responses to PLAY and in `link-load` notifications: the demand measured on the link itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkDemandHeader {
    /// As in [`LoadReportHeader`].
    pub link: Option<f64>,
    /// As in [`LoadReportHeader`].
    pub uplink: Option<f64>,
}

fn parse_pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(';').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some((name.trim(), value))
    })
}

fn write_pairs(f: &mut fmt::Formatter<'_>, pairs: &[(&str, Option<f64>)]) -> fmt::Result {
    let mut first = true;
    for (name, value) in pairs.iter().filter_map(|(n, v)| Some((n, (*v)?))) {
        write!(f, "{}{name}={value:.3}", if first { "" } else { ";" })?;
        first = false;
    }
    Ok(())
}

impl LoadReportHeader {
    /// Parses a header value.
    pub fn parse(text: &str) -> Self {
        let mut load = LoadReportHeader::default();
        for (name, value) in parse_pairs(text) {
            match name {
                "streams" => load.streams = Some(value),
                "link" => load.link = Some(value),
                "uplink" => load.uplink = Some(value),
                _ => {}
            }
        }
        load
    }
}

impl fmt::Display for LoadReportHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_pairs(f, &[("streams", self.streams), ("link", self.link), ("uplink", self.uplink)])
    }
}

impl LinkDemandHeader {
    /// Parses a header value.
    pub fn parse(text: &str) -> Self {
        let load = LoadReportHeader::parse(text);
        LinkDemandHeader { link: load.link, uplink: load.uplink }
    }
}

impl fmt::Display for LinkDemandHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_pairs(f, &[("link", self.link), ("uplink", self.uplink)])
    }
}
