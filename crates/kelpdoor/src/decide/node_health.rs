//! Node health: signs of life, failures, silence and ejection.

use super::{Director, MEAN_WEIGHT, ROUND_INTERVAL};
use crate::ids::NodeId;
use crate::round::{LoadReport, SetupOutcome};
use crate::state::track;

/// Deviations of a node's notification interval; a longer silence is unusual.
const SILENCE_DEVIATIONS: f64 = 4.0;
/// s; lowest deviation of notification intervals, due to rounds and network delay.
const MIN_GAP_DEVIATION: f64 = 0.15;
/// s; the notifications of all nodes for one interval arrive within this time.
const NOTIFICATION_SPREAD: f64 = 1.0;
/// s; first time of an ejection after a failure, which doubles with each further failure.
pub(super) const FIRST_EJECTION: f64 = 3.0;
/// s; longest ejection or backoff.
const MAX_EJECTION: f64 = 10.0;

/// `first` doubled `times` times, up to the longest ejection.
pub(super) fn backoff(first: f64, times: i32) -> f64 {
    MAX_EJECTION.min(first * f64::from(1 << times.min(8)))
}

impl Director {
    pub(super) fn handle_probe(&mut self, now: f64, node: NodeId, outcome: SetupOutcome, load: &LoadReport) {
        let Some(&i) = self.nodes.index.get(&node) else { return };
        let mark = if outcome == SetupOutcome::Served { Self::mark_alive } else { Self::mark_failed };
        mark(self, now, i);
        self.apply_load_report(now, i, load);
    }

    /// Records a periodic notification of a node.
    pub(super) fn handle_notification(&mut self, now: f64, i: usize) {
        let n = &mut self.nodes;
        let gap = now - n.notified_at[i];
        if gap > MIN_GAP_DEVIATION && self.pause < ROUND_INTERVAL {
            track(&mut n.gap_mean[i], &mut n.gap_dev[i], gap, MEAN_WEIGHT);
        }
        n.notified_at[i] = now;
        self.fleet_notified_at = self.fleet_notified_at.max(now);
        self.mark_alive(now, i);
    }

    /// Records a sign of life of a node and ends its ejection.
    pub(super) fn mark_alive(&mut self, now: f64, i: usize) {
        let warm_within = self.terms.warm_within;
        let n = &mut self.nodes;
        n.failures[i] = 0;
        n.last_heard_at[i] = now;
        n.ejected_until[i] = n.ejected_until[i].min(now);
        n.notified_at[i] = n.notified_at[i].max(now);
        if n.cold_since[i] == f64::INFINITY && n.cold_until[i] == f64::INFINITY {
            // After a failure, the node may have started just before its first sign of life.
            n.cold_since[i] = now;
            n.cold_until[i] = now + warm_within;
        }
    }

    /// Ejects a node for a time that doubles with each failure. Once it is back it may be cold, even if the
    /// node list does not report a start.
    pub(super) fn mark_failed(&mut self, now: f64, i: usize) {
        let n = &mut self.nodes;
        if now >= n.ejected_until[i] {
            n.ejected_until[i] = now + backoff(FIRST_EJECTION, n.failures[i]);
            n.failures[i] += 1;
        }
        n.cold_since[i] = f64::INFINITY;
        n.cold_until[i] = f64::INFINITY;
    }

    /// Whether a node with own sessions is silent for unusually long, compared with its usual notification
    /// interval. Time in which the whole fleet is silent does not count: then notifications are late.
    fn is_silent(&self, now: f64, i: usize) -> bool {
        let n = &self.nodes;
        if self.terms.told_every == 0.0 {
            return false;
        }
        let silence = now.min(self.fleet_notified_at + NOTIFICATION_SPREAD) - n.notified_at[i];
        silence > n.gap_mean[i] + SILENCE_DEVIATIONS * n.gap_dev[i].max(MIN_GAP_DEVIATION)
    }

    /// Ejects silent nodes; after each ejection a trial SETUP can clear a node by its answer. If more than
    /// half of the nodes are silent, notifications are missing and no node is ejected.
    pub(super) fn eject_silent(&mut self, now: f64, held: &[usize]) {
        let silent: Vec<usize> = held.iter().copied().filter(|&i| self.is_silent(now, i)).collect();
        let unusual = silent.len() * 2 <= held.len();
        for i in silent {
            if unusual && self.nodes.cold_until[i] < f64::INFINITY {
                self.mark_failed(now, i);
            }
        }
    }
}
