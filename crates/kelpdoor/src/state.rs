//! The state of a director between rounds: sessions, media nodes and link loads.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::NodeId;
use crate::round::{NewSession, Phase};

/// Moves a running mean towards a new value by the given weight.
pub fn blend(mean: &mut f64, value: f64, weight: f64) {
    *mean += weight * (value - *mean);
}

/// Updates a running mean and the mean absolute deviation from it.
pub fn track(mean: &mut f64, dev: &mut f64, value: f64, weight: f64) {
    blend(dev, (value - *mean).abs(), weight);
    blend(mean, value, weight);
}

/// Sets entry `i`, which may be one past the last.
fn put<T>(all: &mut Vec<T>, i: usize, value: T) {
    if i == all.len() {
        all.push(value);
    } else {
        all[i] = value;
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// A SETUP was sent and has no outcome yet.
    SetupSent,
    Playing {
        since: f64,
    },
    /// No SETUP is in flight and the viewer waits for an answer.
    Pending,
}

pub struct Session {
    pub request: NewSession,
    /// When the viewer gives up.
    pub deadline: f64,
    /// When the session should have started.
    pub start_by: f64,
    pub rung: u8,
    pub stage: Stage,
    /// Index of its node while a SETUP is in flight or the session plays.
    pub node: usize,
    /// Number of SETUPs sent.
    pub setups: u32,
    /// Nodes whose SETUP ended without a session.
    pub tried: Vec<NodeId>,
    /// Zone, cell and time of the first SETUP that may have run.
    pub maybe_ran: Option<(u16, u16, f64)>,
    /// When the SETUP was sent or the rung last changed.
    pub changed_at: f64,
    pub viewer_left: bool,
}

impl Session {
    pub fn new(request: &NewSession, now: f64, rung: u8, start_target: f64) -> Self {
        Session {
            request: *request,
            deadline: now + request.setup_timeout,
            start_by: now + start_target.min(request.setup_timeout),
            rung,
            stage: Stage::Pending,
            node: 0,
            setups: 0,
            tried: Vec::new(),
            maybe_ran: None,
            changed_at: now,
            viewer_left: false,
        }
    }

    /// Whether the session plays and its viewer is still there.
    pub fn is_playing(&self) -> bool {
        matches!(self.stage, Stage::Playing { .. }) && !self.viewer_left
    }
}

/// Loads of links and uplinks in kB/s, as parallel arrays: the uplinks of the racks, the sum over all links,
/// then the links of the nodes.
#[derive(Default)]
pub struct LinkLoads {
    /// s; how long changes of the own load are remembered.
    pub history_time: f64,
    /// Estimated capacity.
    pub capacity: Vec<f64>,
    /// Capacity according to the node list or the settings.
    pub listed_capacity: Vec<f64>,
    /// Load of this director's sessions.
    pub own: Vec<f64>,
    /// Estimated load of the other directors' sessions.
    pub others: Vec<f64>,
    /// Time that the latest measurement refers to; negative infinity if there was none.
    pub measured_at: Vec<f64>,
    /// The same for the latest measurement at a set-up, which no other director receives.
    pub exclusive_at: Vec<f64>,
    /// When sessions of this director last stepped down for this link.
    pub relieved_at: Vec<f64>,
    /// Room used by own rises since the last measurement that shows the rises of others.
    pub rise_used: Vec<f64>,
    /// When sessions of this director last rose.
    pub last_rise_at: Vec<f64>,
    /// Times of changes of the own load, with the load before each.
    pub own_history: Vec<VecDeque<(f64, f64)>>,
}

impl LinkLoads {
    /// Resets link `l`, which may be one past the last, to the listed capacity and no load.
    pub fn reset(&mut self, l: usize, listed_capacity: f64) {
        put(&mut self.capacity, l, listed_capacity);
        put(&mut self.listed_capacity, l, listed_capacity);
        put(&mut self.own, l, 0.0);
        put(&mut self.others, l, 0.0);
        put(&mut self.measured_at, l, f64::NEG_INFINITY);
        put(&mut self.exclusive_at, l, f64::NAN);
        put(&mut self.relieved_at, l, f64::NEG_INFINITY);
        put(&mut self.rise_used, l, 0.0);
        put(&mut self.last_rise_at, l, f64::NEG_INFINITY);
        put(&mut self.own_history, l, VecDeque::new());
    }

    /// Adds to the own load, and drops changes that are older than any late measurement.
    pub fn add(&mut self, now: f64, l: usize, kb: f64) {
        self.own_history[l].push_back((now, self.own[l]));
        self.own[l] = (self.own[l] + kb).max(0.0);
        while self.own_history[l].front().is_some_and(|&(t, _)| t < now - self.history_time) {
            self.own_history[l].pop_front();
        }
    }

    /// The own load at an earlier time.
    pub fn own_at(&self, l: usize, then: f64) -> f64 {
        let history = &self.own_history[l];
        history.get(history.partition_point(|&(t, _)| t < then)).map_or(self.own[l], |&(_, before)| before)
    }

    /// Applies a measured demand over capacity at time `then`: what exceeds the own load belongs to the
    /// others.
    ///
    /// The first measurement replaces the estimate, later ones enter with `weight`. One that is older than
    /// the latest is ignored.
    pub fn measure(&mut self, l: usize, fullness: f64, then: f64, weight: f64) {
        if then < self.measured_at[l] {
            return;
        }
        let others = fullness * self.capacity[l] - self.own_at(l, then);
        let weight = if self.measured_at[l] == f64::NEG_INFINITY { 1.0 } else { weight };
        blend(&mut self.others[l], others, weight);
        self.measured_at[l] = then;
        if then > self.last_rise_at[l] {
            self.rise_used[l] = 0.0;
        }
    }

    /// Sets the capacity of a link, limited to a range of ratios to its listed capacity.
    pub fn set_capacity(&mut self, l: usize, capacity: f64, (least, most): (f64, f64)) {
        self.capacity[l] = capacity.clamp(least * self.listed_capacity[l], most * self.listed_capacity[l]);
    }
}

/// State of the media nodes, as parallel arrays with a dense index. Indices of removed nodes are reused.
#[derive(Default)]
pub struct Nodes {
    pub index: BTreeMap<NodeId, usize>,
    /// Indices of removed nodes.
    pub free: Vec<usize>,
    /// Indices of the nodes that are listed now, by id.
    pub listed: Vec<usize>,
    /// The same for each rack.
    pub by_rack: Vec<Vec<usize>>,
    /// Sum of the sizes of the listed nodes.
    pub total_size: f64,
    pub id: Vec<NodeId>,
    pub zone: Vec<u16>,
    pub cell: Vec<u16>,
    pub phase: Vec<Phase>,
    pub size: Vec<f64>,
    /// Streams that the node can carry.
    pub places: Vec<f64>,
    pub up_since: Vec<f64>,
    /// Start of the warm-up; infinite while it is unknown.
    pub cold_since: Vec<f64>,
    /// End of the warm-up; infinite after a failure until the node answers.
    pub cold_until: Vec<f64>,
    /// When a SETUP was last sent to the node.
    pub last_setup_at: Vec<f64>,
    /// The node gets no SETUP until then after it failed or fell silent.
    pub ejected_until: Vec<f64>,
    /// Consecutive ejections.
    pub failures: Vec<i32>,
    /// Consecutive refusals of SETUPs.
    pub refusals: Vec<i32>,
    /// The node gets no SETUP until then after it refused some.
    pub backed_off_until: Vec<f64>,
    /// When the last periodic notification arrived; infinite if none is expected.
    pub notified_at: Vec<f64>,
    /// When anything last arrived from the node.
    pub last_heard_at: Vec<f64>,
    /// Mean time between notifications, and the mean deviation from it.
    pub gap_mean: Vec<f64>,
    pub gap_dev: Vec<f64>,
    /// Streams of this director's sessions.
    pub streams: Vec<f64>,
    /// Estimated streams of the other directors' sessions.
    pub other_streams: Vec<f64>,
    /// Sessions at the node may rise from then on.
    pub next_rise_at: Vec<f64>,
    /// Learned share of new sessions, in thousandths.
    pub share: Vec<f64>,
    /// Sum and number of start-up times in this step of the shares.
    pub setup_times: Vec<(f64, f64)>,
    /// Sum of the undelivered shares in this step.
    pub shortfall: Vec<f64>,
    /// Shortages that began in this step.
    pub shortages: Vec<f64>,
    /// Share of their rates that sessions last received, and when that was measured.
    pub delivered: Vec<f64>,
    pub delivered_at: Vec<f64>,
    /// Link load at the last steps.
    pub past_load: Vec<VecDeque<f64>>,
    /// Quality penalty at the last steps.
    pub past_penalty: Vec<VecDeque<f64>>,
}

impl Nodes {
    /// Adds an unknown node and returns its index.
    pub fn add(&mut self, id: NodeId) -> usize {
        let i = self.free.pop().unwrap_or(self.id.len());
        self.index.insert(id, i);
        put(&mut self.id, i, id);
        put(&mut self.zone, i, 0);
        put(&mut self.cell, i, 0);
        put(&mut self.phase, i, Phase::Gone);
        put(&mut self.size, i, 0.0);
        put(&mut self.places, i, 0.0);
        put(&mut self.up_since, i, 0.0);
        put(&mut self.cold_since, i, f64::NEG_INFINITY);
        put(&mut self.cold_until, i, f64::NEG_INFINITY);
        put(&mut self.last_setup_at, i, f64::NEG_INFINITY);
        put(&mut self.ejected_until, i, f64::NEG_INFINITY);
        put(&mut self.failures, i, 0);
        put(&mut self.refusals, i, 0);
        put(&mut self.backed_off_until, i, f64::NEG_INFINITY);
        put(&mut self.notified_at, i, f64::INFINITY);
        put(&mut self.last_heard_at, i, f64::NEG_INFINITY);
        put(&mut self.gap_mean, i, 0.0);
        put(&mut self.gap_dev, i, 0.0);
        put(&mut self.streams, i, 0.0);
        put(&mut self.other_streams, i, 0.0);
        put(&mut self.next_rise_at, i, 0.0);
        put(&mut self.share, i, 0.0);
        put(&mut self.setup_times, i, (0.0, 0.0));
        put(&mut self.shortfall, i, 0.0);
        put(&mut self.shortages, i, 0.0);
        put(&mut self.delivered, i, 1.0);
        put(&mut self.delivered_at, i, f64::NEG_INFINITY);
        put(&mut self.past_load, i, VecDeque::new());
        put(&mut self.past_penalty, i, VecDeque::new());
        i
    }

    /// Appends the load and penalty of a step to the history, which keeps `steps` entries, and resets the
    /// sums.
    pub fn record_step(&mut self, i: usize, load: f64, penalty: f64, steps: usize) {
        (self.setup_times[i], self.shortfall[i], self.shortages[i]) = ((0.0, 0.0), 0.0, 0.0);
        for (past, new) in [(&mut self.past_load[i], load), (&mut self.past_penalty[i], penalty)] {
            past.push_back(new);
            if past.len() > steps {
                past.pop_front();
            }
        }
    }
}

/// Features of a raise: last and mean load, last and mean penalty of its node.
pub const FEATURES: usize = 4;

/// The learned policy over raises of a node's share: a softmax over keeping the shares and over all raises,
/// with one weight for each feature.
#[derive(Default)]
pub struct Actor {
    pub weights: [f64; FEATURES],
    /// Gradient of the log probability of the last choice.
    pub gradient: [f64; FEATURES],
    pub payoff_mean: f64,
    /// Running mean of the absolute advantage.
    pub mean_advantage: f64,
    pub steps: usize,
}
