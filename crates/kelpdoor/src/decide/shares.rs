//! The learned shares of nodes in new sessions.

use std::collections::VecDeque;

use fastrand::Rng;

use super::{Director, MEAN_WEIGHT};
use crate::round::Phase;
use crate::state::{Actor, FEATURES, blend};

/// s; interval between steps of the shares, the start value of the LTS design.
pub(super) const SHARE_STEP_INTERVAL: f64 = 2.0;
/// Steps for which loads and penalties are kept for each node; k in the LTS paper.
const STEP_HISTORY: usize = 20;
/// Raises of a share, in thousandths for a fleet of three nodes; scaled by 3/m for m nodes as in the LTS
/// paper.
const SHARE_RAISES: [f64; 3] = [1.0, 5.0, 10.0];
/// Nodes; raises shrink no further in a larger fleet, or shares would not move within a day.
const MAX_RAISE_SCALE_NODES: f64 = 16.0;
/// Lowest share over the share by size; above 0 so that no node is forgotten.
const MIN_SHARE: f64 = 0.2;
/// Highest share over the share by size, the limit of the LTS design.
const MAX_SHARE: f64 = 2.0;
/// Change of a weight for each unit of advantage; low, because payoffs are noisy.
const LEARNING_RATE: f64 = 0.05;
/// Payoff; the policy has settled when its mean advantage is below this after `STEP_HISTORY` steps.
const SETTLED_ADVANTAGE: f64 = 0.5;

impl Director {
    /// Scales the shares to a sum of 1000 within their bounds, after nodes were added or removed.
    pub(super) fn normalize_shares(&mut self) {
        for i in 0..self.nodes.id.len() {
            let (base, gone) = (self.base_share(i), self.nodes.phase[i] == Phase::Gone);
            let share = if self.nodes.share[i] == 0.0 { base } else { self.nodes.share[i] };
            self.nodes.share[i] = if gone { 0.0 } else { share };
        }
        let listed = self.nodes.listed.clone();
        for _ in 0..STEP_HISTORY {
            let sum: f64 = listed.iter().map(|&i| self.nodes.share[i]).sum();
            for &i in &listed {
                let base = self.base_share(i);
                let share = self.nodes.share[i] * 1000.0 / sum;
                self.nodes.share[i] = share.clamp(MIN_SHARE * base, MAX_SHARE * base);
            }
        }
    }

    /// One step of the shares: learns from the last one, then keeps the shares or raises that of one node at
    /// the cost of the worst one.
    pub(super) fn update_shares(&mut self) {
        let listed = self.nodes.listed.clone();
        let mut payoff = 0.0;
        for &i in &listed {
            let l = self.link(i);
            let load = self.demand(l) / self.links.capacity[l].max(1e-9);
            let n = &mut self.nodes;
            let (sum, count) = n.setup_times[i];
            let watched = (n.streams[i] * SHARE_STEP_INTERVAL).max(SHARE_STEP_INTERVAL);
            // Start-up time, stall ratio and stalls per 100 s, each with weight 1.
            let penalty = sum / count.max(1.0)
                + n.shortfall[i] / SHARE_STEP_INTERVAL
                + n.shortages[i] * 100.0 / watched;
            payoff -= penalty / listed.len() as f64;
            n.record_step(i, load, penalty, STEP_HISTORY);
        }
        self.actor.learn(payoff);
        let penalty = |i: usize| self.nodes.past_penalty[i].back().copied().unwrap_or(0.0);
        let above_min = |me: &Self, i: usize| me.nodes.share[i] - MIN_SHARE * me.base_share(i);
        let mut ranked = listed.clone();
        ranked.sort_by(|&a, &b| {
            penalty(b).total_cmp(&penalty(a)).then(self.nodes.id[a].cmp(&self.nodes.id[b]))
        });
        let worst = ranked.into_iter().find(|&i| above_min(self, i) > 1e-9);
        let raises = if self.actor.has_settled() { &SHARE_RAISES[..] } else { &SHARE_RAISES[..1] };
        let choices: Vec<(usize, f64)> =
            listed.iter().flat_map(|&i| raises.iter().map(move |&a| (i, a))).collect();
        let mean = |past: &VecDeque<f64>| past.iter().sum::<f64>() / past.len().max(1) as f64;
        let features = |&(i, by): &(usize, f64)| {
            let (loads, penalties) = (&self.nodes.past_load[i], &self.nodes.past_penalty[i]);
            let last = |past: &VecDeque<f64>| past.back().copied().unwrap_or(0.0);
            [last(loads), mean(loads), last(penalties), mean(penalties)]
                .map(|v| v.min(2.0) * by / SHARE_RAISES[2])
        };
        let rows: Vec<_> = choices.iter().map(features).collect();
        let picked = self.actor.pick(&rows, &mut self.rng);
        let (Some(&(to, by)), Some(from)) = (picked.and_then(|k| choices.get(k)), worst) else { return };
        if to == from {
            return;
        }
        let cap = MAX_SHARE * self.base_share(to) - self.nodes.share[to];
        let by = (by * 3.0 / MAX_RAISE_SCALE_NODES.min(listed.len() as f64))
            .min(above_min(self, from))
            .min(cap)
            .max(0.0);
        self.nodes.share[to] += by;
        self.nodes.share[from] -= by;
    }
}

impl Actor {
    fn has_settled(&self) -> bool {
        self.steps >= STEP_HISTORY && self.mean_advantage < SETTLED_ADVANTAGE
    }

    /// Moves the weights along the gradient of the last choice by its advantage over the mean payoff.
    fn learn(&mut self, payoff: f64) {
        if self.steps == 0 {
            self.payoff_mean = payoff;
        }
        let advantage = (payoff - self.payoff_mean).clamp(-1.0, 1.0);
        for (w, n) in self.weights.iter_mut().zip(self.gradient) {
            *w += LEARNING_RATE * advantage * n;
        }
        blend(&mut self.payoff_mean, payoff, MEAN_WEIGHT);
        blend(&mut self.mean_advantage, advantage.abs(), MEAN_WEIGHT);
        self.steps += 1;
    }

    /// Draws a raise by softmax; `None` keeps the shares, a choice whose features are all 0.
    fn pick(&mut self, rows: &[[f64; FEATURES]], rng: &mut Rng) -> Option<usize> {
        let score =
            |row: &[f64; FEATURES]| row.iter().zip(self.weights).map(|(f, w)| f * w).sum::<f64>().exp();
        let odds: Vec<f64> = rows.iter().map(score).collect();
        let sum = 1.0 + odds.iter().sum::<f64>();
        let mut draw = rng.f64() * sum;
        let picked = odds.iter().position(|o| {
            draw -= o;
            draw < 0.0
        });
        for k in 0..FEATURES {
            let expected = rows.iter().zip(&odds).map(|(row, o)| row[k] * o).sum::<f64>() / sum;
            self.gradient[k] = picked.map_or(0.0, |p| rows[p][k]) - expected;
        }
        picked
    }
}
