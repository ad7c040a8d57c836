//! What a director holds between rounds: sessions, media nodes, and the account of links.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::NodeId;
use crate::round::{NewSession, Phase};

/// Replaces that part of a running figure by a new one.
pub fn blend(old: &mut f64, new: f64, part: f64) {
    *old += part * (new - *old);
}

/// Takes a new figure into a running mean and the deviation from it.
pub fn track(mean: &mut f64, dev: &mut f64, new: f64, part: f64) {
    blend(dev, (new - *mean).abs(), part);
    blend(mean, new, part);
}

/// Sets entry `i`, which may be the next one after the last.
fn put<T>(all: &mut Vec<T>, i: usize, value: T) {
    if i == all.len() {
        all.push(value);
    } else {
        all[i] = value;
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// A SETUP is out.
    Out,
    Playing {
        since: f64,
    },
    /// Nothing is out and an answer is owed.
    Owed,
}

pub struct Sess {
    pub ask: NewSession,
    pub deadline: f64,
    pub target: f64,
    pub rung: u8,
    pub stage: Stage,
    /// Its node, while a SETUP is out or it plays.
    pub node: usize,
    pub setups: u32,
    pub tried: Vec<NodeId>,
    /// Where and when a SETUP that may have run was sent first.
    pub maybe_ran: Option<(u16, u16, f64)>,
    pub changed_at: f64,
    pub left: bool,
}

impl Sess {
    pub fn new(ask: &NewSession, now: f64, rung: u8, start_target: f64) -> Self {
        Sess {
            ask: *ask,
            deadline: now + ask.setup_timeout,
            target: now + start_target.min(ask.setup_timeout),
            rung,
            stage: Stage::Owed,
            node: 0,
            setups: 0,
            tried: Vec::new(),
            maybe_ran: None,
            changed_at: now,
            left: false,
        }
    }

    pub fn plays(&self) -> bool {
        matches!(self.stage, Stage::Playing { .. }) && !self.left
    }
}

/// Links and uplinks in parallel arrays: racks first, then the fleet, then nodes.
#[derive(Default)]
pub struct Ledger {
    /// s; how long own changes are remembered.
    pub keep: f64,
    pub size: Vec<f64>,
    pub listed: Vec<f64>,
    pub own: Vec<f64>,
    pub others: Vec<f64>,
    pub read_at: Vec<f64>,
    /// When a reading at a set-up, which no other director hears, was last taken.
    pub alone_at: Vec<f64>,
    pub eased_at: Vec<f64>,
    /// What our rises took since the last reading that shows the others', and when the last of them was.
    pub spent: Vec<f64>,
    pub rose_at: Vec<f64>,
    pub log: Vec<VecDeque<(f64, f64)>>,
}

impl Ledger {
    /// A link, known or the next one, of which nothing is known but its listed size.
    pub fn clear(&mut self, l: usize, listed: f64) {
        put(&mut self.size, l, listed);
        put(&mut self.listed, l, listed);
        put(&mut self.own, l, 0.0);
        put(&mut self.others, l, 0.0);
        put(&mut self.read_at, l, f64::NEG_INFINITY);
        put(&mut self.alone_at, l, f64::NAN);
        put(&mut self.eased_at, l, f64::NEG_INFINITY);
        put(&mut self.spent, l, 0.0);
        put(&mut self.rose_at, l, f64::NEG_INFINITY);
        put(&mut self.log, l, VecDeque::new());
    }

    /// Adds to our own load; changes are remembered for as long as readings can be late.
    pub fn add(&mut self, now: f64, l: usize, kb: f64) {
        self.log[l].push_back((now, self.own[l]));
        self.own[l] = (self.own[l] + kb).max(0.0);
        while self.log[l].front().is_some_and(|&(t, _)| t < now - self.keep) {
            self.log[l].pop_front();
        }
    }

    /// Own load at an earlier time: entries hold what was there before each change.
    pub fn own_at(&self, l: usize, then: f64) -> f64 {
        let log = &self.log[l];
        log.get(log.partition_point(|&(t, _)| t < then)).map_or(self.own[l], |&(_, before)| before)
    }

    /// Takes in a view of fullness at `then`: what of it is not our own is the others'. `trust` weighs it
    /// against the account; the first view counts whole, an older one than the last not at all.
    pub fn read(&mut self, l: usize, full: f64, then: f64, trust: f64) {
        if then < self.read_at[l] {
            return;
        }
        let others = full * self.size[l] - self.own_at(l, then);
        let trust = if self.read_at[l] == f64::NEG_INFINITY { 1.0 } else { trust };
        blend(&mut self.others[l], others, trust);
        self.read_at[l] = then;
        if then > self.rose_at[l] {
            self.spent[l] = 0.0;
        }
    }

    /// Sets a link's size, kept within that range of its listed size.
    pub fn resize(&mut self, l: usize, size: f64, (least, most): (f64, f64)) {
        self.size[l] = size.clamp(least * self.listed[l], most * self.listed[l]);
    }
}

/// What is known of media nodes, in parallel arrays under a dense index; those of gone nodes are used again.
#[derive(Default)]
pub struct Nodes {
    pub index: BTreeMap<NodeId, usize>,
    /// Indices given up by nodes that are gone.
    pub free: Vec<usize>,
    /// Nodes listed now, by id; the same by rack; and the sum of their sizes.
    pub listed: Vec<usize>,
    pub by_rack: Vec<Vec<usize>>,
    pub size_sum: f64,
    pub id: Vec<NodeId>,
    pub zone: Vec<u16>,
    pub cell: Vec<u16>,
    pub phase: Vec<Phase>,
    pub size: Vec<f64>,
    pub places: Vec<f64>,
    pub up_since: Vec<f64>,
    pub cold_since: Vec<f64>,
    pub cold_until: Vec<f64>,
    pub cold_sent: Vec<f64>,
    pub barred_until: Vec<f64>,
    pub strikes: Vec<i32>,
    pub turned_away: Vec<i32>,
    pub shunned_until: Vec<f64>,
    pub noted_at: Vec<f64>,
    /// When anything came from it last.
    pub heard_at: Vec<f64>,
    pub gap_mean: Vec<f64>,
    pub gap_dev: Vec<f64>,
    pub streams: Vec<f64>,
    pub other_streams: Vec<f64>,
    pub rise_at: Vec<f64>,
    pub share: Vec<f64>,
    /// This step's start-up times (sum, count), short delivery (sum), shortages begun; share last delivered.
    pub starts: Vec<(f64, f64)>,
    pub missing: Vec<f64>,
    pub shortages: Vec<f64>,
    pub delivered: Vec<f64>,
    pub delivered_at: Vec<f64>,
    pub past_load: Vec<VecDeque<f64>>,
    pub past_pain: Vec<VecDeque<f64>>,
}

impl Nodes {
    /// The index of a node not known so far, with everything about it unknown.
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
        put(&mut self.cold_sent, i, f64::NEG_INFINITY);
        put(&mut self.barred_until, i, f64::NEG_INFINITY);
        put(&mut self.strikes, i, 0);
        put(&mut self.turned_away, i, 0);
        put(&mut self.shunned_until, i, f64::NEG_INFINITY);
        put(&mut self.noted_at, i, f64::INFINITY);
        put(&mut self.heard_at, i, f64::NEG_INFINITY);
        put(&mut self.gap_mean, i, 0.0);
        put(&mut self.gap_dev, i, 0.0);
        put(&mut self.streams, i, 0.0);
        put(&mut self.other_streams, i, 0.0);
        put(&mut self.rise_at, i, 0.0);
        put(&mut self.share, i, 0.0);
        put(&mut self.starts, i, (0.0, 0.0));
        put(&mut self.missing, i, 0.0);
        put(&mut self.shortages, i, 0.0);
        put(&mut self.delivered, i, 1.0);
        put(&mut self.delivered_at, i, f64::NEG_INFINITY);
        put(&mut self.past_load, i, VecDeque::new());
        put(&mut self.past_pain, i, VecDeque::new());
        i
    }

    /// Takes a step's load and quality figure into a node's past of so many steps, and counts anew.
    pub fn remember(&mut self, i: usize, load: f64, pain: f64, steps: usize) {
        (self.starts[i], self.missing[i], self.shortages[i]) = ((0.0, 0.0), 0.0, 0.0);
        for (past, new) in [(&mut self.past_load[i], load), (&mut self.past_pain[i], pain)] {
            past.push_back(new);
            if past.len() > steps {
                past.pop_front();
            }
        }
    }
}

/// Features of a raise: load and quality of its node, last and on average.
pub const FEATURES: usize = 4;

/// The learned actor: a softmax over keep and raises, few weights for each feature, nudged by payoff.
#[derive(Default)]
pub struct Actor {
    pub weights: [f64; FEATURES],
    pub nudge: [f64; FEATURES],
    pub payoff_mean: f64,
    pub surprise: f64,
    pub steps: usize,
}
