//! Values of our own headers: pairs like `streams=12;link=0.83;uplink=0.41`. Names not known are skipped, a value
//! that is no finite number of at least 0 counts as absent: a node that errs there must not move decisions.

use std::fmt;

/// `Load-Report`: in answers, refreshed now and then by the node, so a little old and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReportHeader {
    /// Streams run or being set up.
    pub streams: Option<f64>,
    /// What is asked of the link over what it gives.
    pub link: Option<f64>,
    /// The same of the rack's uplink.
    pub uplink: Option<f64>,
}

/// `Asked`: in the answer to PLAY and in notices of `link-load`; read off the link itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkDemandHeader {
    pub link: Option<f64>,
    pub uplink: Option<f64>,
}

fn pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(';').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some((name.trim(), value))
    })
}

fn show(f: &mut fmt::Formatter<'_>, pairs: &[(&str, Option<f64>)]) -> fmt::Result {
    let mut first = true;
    for (name, value) in pairs.iter().filter_map(|(n, v)| Some((n, (*v)?))) {
        write!(f, "{}{name}={value:.3}", if first { "" } else { ";" })?;
        first = false;
    }
    Ok(())
}

impl LoadReportHeader {
    pub fn parse(text: &str) -> Self {
        let mut load = LoadReportHeader::default();
        for (name, value) in pairs(text) {
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
        show(f, &[("streams", self.streams), ("link", self.link), ("uplink", self.uplink)])
    }
}

impl LinkDemandHeader {
    pub fn parse(text: &str) -> Self {
        let load = LoadReportHeader::parse(text);
        LinkDemandHeader { link: load.link, uplink: load.uplink }
    }
}

impl fmt::Display for LinkDemandHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        show(f, &[("link", self.link), ("uplink", self.uplink)])
    }
}
