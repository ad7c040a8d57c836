//! A fluid model of links and nodes. All streams on an overloaded link or uplink get the same share of their rates; nodes
//! have places, warm up, and fail if they get too many SETUPs while cold. The model has no sockets, and callers pass the
//! time in, in seconds.

use std::collections::{BTreeMap, HashMap, VecDeque};

use kelpdoor_rtsp::{LinkDemandHeader, LoadReportHeader};

/// Time constant in seconds with which the share that a node reports follows the true one.
const SHARE_SMOOTHING_TIME: f64 = 0.5;
/// Interval in seconds at which a node refreshes its load report.
const REPORT_INTERVAL: f64 = 0.3;

/// Settings that all nodes share. Rates are in kB/s, times in seconds.
#[derive(Clone, Debug)]
pub struct FluidSettings {
    /// Rate of each rung.
    pub ladder: Vec<f64>,
    /// Scale of each group's rates, by name.
    pub scales: BTreeMap<String, f64>,
    pub cold_from: f64,
    pub warm_within: f64,
    pub tip_multiple: f64,
    pub fall_window: f64,
    pub uplinks_told: bool,
}

/// A session that a node has set up.
#[derive(Clone, Debug)]
pub struct Stream {
    pub node: u32,
    pub conn: u64,
    pub pipe: String,
    pub key: String,
    pub title: String,
    pub group: String,
    pub rung: u8,
    pub playing: bool,
    /// When the node has set it up.
    pub began: f64,
    /// Seconds played.
    pub played: f64,
    /// kB that its rate amounts to over the time played.
    pub asked_kb: f64,
    /// kB delivered.
    pub got_kb: f64,
}

/// A node as the model sees it.
#[derive(Clone, Debug)]
pub struct Node {
    pub up: bool,
    pub silent: bool,
    pub draining: bool,
    pub started: f64,
    pub rack: usize,
    pub places: f64,
    pub link_kb: f64,
    /// Multiplies the link's rate.
    pub link_factor: f64,
    /// Multiplies the time that a set-up takes.
    pub setup_factor: f64,
    /// Smoothed share of their rates that streams get.
    pub share: f64,
    /// Times of the SETUPs in the last `fall_window`.
    pub setups: VecDeque<f64>,
    pub reported: LoadReportHeader,
    pub reported_at: f64,
}

/// What a node does with a SETUP.
#[derive(Debug, PartialEq)]
pub enum SetupDecision {
    /// The set-up is accepted and takes this many seconds.
    Accepted(f64),
    /// No place is free, or the node drains.
    Full,
    /// The node fails: too many SETUPs while cold.
    Overloaded,
}

/// All nodes, the uplinks of racks, and the streams.
#[derive(Debug)]
pub struct FluidFleet {
    pub terms: FluidSettings,
    pub nodes: BTreeMap<u32, Node>,
    /// Rate of each rack's uplink.
    pub uplinks: Vec<f64>,
    /// Multiplies that rate.
    pub uplink_factor: Vec<f64>,
    /// By RTSP session id.
    pub streams: BTreeMap<String, Stream>,
    stream_counts: BTreeMap<u32, usize>,
    /// Session id by connection and pipeline.
    by_pipe: HashMap<(u64, String), String>,
    /// Sum of the rates of a node's streams.
    node_demand: BTreeMap<u32, f64>,
    /// Sum of the rates of a rack's streams.
    rack_demand: Vec<f64>,
    updated_at: f64,
}

/// Factor from 0.85 to 1.15 by which the true rate of a title differs from the ladder.
pub fn title_factor(title: &str) -> f64 {
    0.85 + f64::from(crc32fast::hash(title.as_bytes()) % 301) / 1000.0
}

impl FluidFleet {
    /// Creates a fleet without nodes. `uplinks` has the rate of each rack's uplink.
    pub fn new(terms: FluidSettings, uplinks: Vec<f64>, now: f64) -> Self {
        let racks = uplinks.len();
        FluidFleet {
            terms,
            nodes: BTreeMap::new(),
            uplinks,
            uplink_factor: vec![1.0; racks],
            streams: BTreeMap::new(),
            stream_counts: BTreeMap::new(),
            by_pipe: HashMap::new(),
            node_demand: BTreeMap::new(),
            rack_demand: vec![0.0; racks],
            updated_at: now,
        }
    }

    /// True rate of a stream, kB/s.
    pub fn rate(&self, s: &Stream) -> f64 {
        let scale = self.terms.scales.get(&s.group).copied().unwrap_or(1.0);
        let top = self.terms.ladder.len() - 1;
        self.terms.ladder[usize::from(s.rung).min(top)] * scale * title_factor(&s.title)
    }

    /// Number of streams at a node.
    pub fn stream_count(&self, node: u32) -> usize {
        self.stream_counts.get(&node).copied().unwrap_or(0)
    }

    /// Adds a stream.
    pub fn insert(&mut self, id: String, stream: Stream) {
        *self.stream_counts.entry(stream.node).or_default() += 1;
        self.by_pipe.insert((stream.conn, stream.pipe.clone()), id.clone());
        self.streams.insert(id, stream);
    }

    /// Removes a stream, if it exists.
    pub fn remove(&mut self, id: &str) -> Option<Stream> {
        let stream = self.streams.remove(id)?;
        self.by_pipe.remove(&(stream.conn, stream.pipe.clone()));
        if let Some(held) = self.stream_counts.get_mut(&stream.node) {
            *held -= 1;
        }
        Some(stream)
    }

    /// Session id of the stream that a connection set up under a pipeline.
    pub fn stream_by_pipeline(&self, conn: u64, pipe: &str) -> Option<&String> {
        self.by_pipe.get(&(conn, pipe.to_owned()))
    }

    /// Demand over capacity, of the node's link and of its rack's uplink.
    pub fn link_demand(&self, node: u32) -> LinkDemandHeader {
        let Some(n) = self.nodes.get(&node) else { return LinkDemandHeader::default() };
        let link =
            self.node_demand.get(&node).copied().unwrap_or(0.0) / (n.link_kb * n.link_factor).max(1e-9);
        let uplink = self.rack_demand[n.rack] / (self.uplinks[n.rack] * self.uplink_factor[n.rack]).max(1e-9);
        LinkDemandHeader { link: Some(link), uplink: self.terms.uplinks_told.then_some(uplink) }
    }

    /// The share of their rates that streams of a node get now.
    fn current_share(&self, node: u32) -> f64 {
        let Some(n) = self.nodes.get(&node).filter(|n| n.up && !n.silent) else { return 0.0 };
        let link =
            self.node_demand.get(&node).copied().unwrap_or(0.0) / (n.link_kb * n.link_factor).max(1e-9);
        let uplink = self.rack_demand[n.rack] / (self.uplinks[n.rack] * self.uplink_factor[n.rack]).max(1e-9);
        1.0 / link.max(uplink).max(1.0)
    }

    /// Advances the model to `now`: adds what was delivered since, then updates demand, reports and shares.
    pub fn advance(&mut self, now: f64) {
        let dt = (now - self.updated_at).max(0.0);
        self.updated_at = now;
        let shares: BTreeMap<u32, f64> = self.nodes.keys().map(|&n| (n, self.current_share(n))).collect();
        let rates: Vec<f64> = self.streams.values().map(|s| self.rate(s)).collect();
        self.node_demand.clear();
        self.rack_demand.iter_mut().for_each(|a| *a = 0.0);
        for (s, rate) in self.streams.values_mut().zip(rates) {
            if s.playing {
                let share = shares.get(&s.node).copied().unwrap_or(0.0);
                s.played += dt;
                s.asked_kb += rate * dt;
                s.got_kb += rate * dt * share;
            }
            *self.node_demand.entry(s.node).or_default() += rate;
            if let Some(n) = self.nodes.get(&s.node) {
                self.rack_demand[n.rack] += rate;
            }
        }
        let mut reports = Vec::new();
        for (&id, n) in &self.nodes {
            if now - n.reported_at >= REPORT_INTERVAL {
                let demand = self.link_demand(id);
                let streams = Some(self.stream_count(id) as f64);
                reports.push((id, LoadReportHeader { streams, link: demand.link, uplink: demand.uplink }));
            }
        }
        for (id, load) in reports {
            if let Some(n) = self.nodes.get_mut(&id) {
                (n.reported, n.reported_at) = (load, now);
            }
        }
        let shares: BTreeMap<u32, f64> = self.nodes.keys().map(|&n| (n, self.current_share(n))).collect();
        for (id, n) in &mut self.nodes {
            n.share += (shares[id] - n.share) * (dt / SHARE_SMOOTHING_TIME).min(1.0);
        }
    }

    /// The share of its full capacity that a node has reached since its start.
    pub fn warmth(&self, node: u32, now: f64) -> f64 {
        let t = &self.terms;
        let age = (now - self.nodes[&node].started) / t.warm_within;
        (t.cold_from + (1.0 - t.cold_from) * age).min(1.0)
    }

    /// Handles a SETUP that a node receives.
    pub fn handle_setup(&mut self, now: f64, node: u32) -> SetupDecision {
        let (warmth, held) = (self.warmth(node, now), self.stream_count(node) as f64);
        let (window, tip_multiple, warm_within) =
            (self.terms.fall_window, self.terms.tip_multiple, self.terms.warm_within);
        let Some(n) = self.nodes.get_mut(&node) else { return SetupDecision::Full };
        n.setups.push_back(now);
        while n.setups.front().is_some_and(|t| *t < now - window) {
            n.setups.pop_front();
        }
        let cold = now < n.started + warm_within;
        if cold && n.setups.len() as f64 > (tip_multiple * window * warmth * n.places / warm_within).max(1.0)
        {
            return SetupDecision::Overloaded;
        }
        if held + 1.0 > n.places || n.draining {
            return SetupDecision::Full;
        }
        SetupDecision::Accepted((0.01 + 0.04 * held / n.places.max(1.0)) * n.setup_factor / warmth.max(0.2))
    }
}

#[cfg(test)]
mod tests;
