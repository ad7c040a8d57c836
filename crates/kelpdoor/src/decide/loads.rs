//! Estimates of the loads on links and uplinks, from measurements, load reports and short deliveries.

use super::placement::SETUP_FILL;
use super::{Director, MEAN_WEIGHT, ROUND_INTERVAL};
use crate::ids::NodeId;
use crate::round::{LoadReport, Measurement};
use crate::state::{Stage, blend};

/// Part of a rate; viewers see stalls when they receive less.
pub(super) const SHORT_DELIVERY: f64 = 0.98;
/// Part of the load that other directors would add if they added as much as this one; the rest has ended
/// unseen.
const UNSEEN_LOAD_WEIGHT: f64 = 0.5;
/// Part of a link per second that is reserved because a measurement ages.
const STALENESS_PER_SECOND: f64 = 0.01;
/// Largest such part.
const MAX_STALENESS: f64 = 0.06;
/// Weight of a load report against the estimate; reports are noisy and old.
const REPORT_WEIGHT: f64 = 0.4;
/// Weight of a measurement against the estimate; measurements have little noise.
const MEASUREMENT_WEIGHT: f64 = 0.8;
/// Weight of one estimate of a link's capacity, which is off by up to a third.
const CAPACITY_WEIGHT: f64 = 0.1;
/// Range of the estimated over the listed capacity; an estimate outside of it is wrong.
const MIN_CAPACITY_RATIO: f64 = 0.2;
pub(super) const MAX_CAPACITY_RATIO: f64 = 1.6;
/// Part of a link; a lower load does not allow an estimate of the capacity.
const MIN_FILL_FOR_CAPACITY: f64 = 0.2;
/// Part per second by which the capacity of a reduced uplink grows back, which takes some 20 s.
const UPLINK_REGROWTH_PER_SECOND: f64 = 0.05;
/// s; age of a load report on arrival, from its usual refresh interval and the network delay.
const REPORT_AGE: f64 = 0.4;
/// s; a measurement this soon after the start of a session is current, a later one is old.
const FRESH_MEASUREMENT_TIME: f64 = 0.15;
/// s; measurements are smoothed, and for this long after step-downs they still show the old shortage.
const RELIEF_SETTLE_TIME: f64 = 0.8;
/// s; an older measurement justifies no rise and no blame, as two notifications are missing by then.
pub(super) const MAX_MEASUREMENT_AGE: f64 = 6.0;
/// s; time in which an old measurement moves to the mean load, and for which own changes are remembered.
pub(super) const DRIFT_TIME: f64 = 8.0;
/// Directors; with more, measurements drift sooner, because all that receive one act on it.
const MAX_DIRECTORS_AT_BASE_DRIFT: f64 = 3.0;
/// Largest factor on the pace of the drift, reached with six directors.
const MAX_DRIFT_SPEEDUP: f64 = 2.0;
/// s; notifications of a shortage come each second, so it is over when three are missing.
const SHORTAGE_TIMEOUT: f64 = 3.0;
/// Highest fullness; a link that delivers nothing counts as this full, so that its estimate can recover.
const MAX_FULLNESS: f64 = 10.0;

impl Director {
    /// Estimates the load of all other directors on a link from the own load: one of them has as much there,
    /// because titles lead all directors to the same nodes; each of the rest has this director's mean
    /// over the fleet, because with many directors each has little anywhere.
    pub(crate) fn estimate_others(&self, l: usize, here: f64, fleet: f64) -> f64 {
        let others = self.terms.directors - 1.0;
        let mean = fleet * self.links.capacity[l] / self.links.capacity[self.fleet()].max(1e-9);
        here * others.min(1.0) + mean * (others - 1.0).max(0.0)
    }

    /// The estimated demand on a link or uplink.
    pub(crate) fn demand(&self, l: usize) -> f64 {
        let terms = &self.terms;
        if l < terms.racks && !terms.uplinks_told {
            // Uplinks have no measurements of their own: use the links of the rack's nodes, and assume that
            // those without a measurement are as full as the rest.
            let (mut asked, mut measured, mut all) = (0.0, 0.0, 0.0);
            for link in self.nodes.by_rack[l].iter().map(|&i| self.link(i)) {
                all += self.links.capacity[link];
                if self.links.measured_at[link] > f64::NEG_INFINITY {
                    asked += self.demand(link);
                    measured += self.links.capacity[link];
                }
            }
            return if measured > 0.0 { asked * all / measured } else { 0.0 };
        }
        if self.links.measured_at[l] == f64::NEG_INFINITY {
            // A link without a measurement is at least as full as the rest of the fleet.
            let (own, fleet) = (self.links.own[l], self.links.own[self.fleet()]);
            return (own + self.estimate_others(l, own, fleet))
                .max(self.mean_fill(l) * self.links.capacity[l]);
        }
        (self.links.own[l] + self.links.others[l]).max(0.0)
    }

    /// kB/s left below the part `fill` of a link. Less remains for an old measurement, and for what was added
    /// since then: the other directors may have added as much at the same time.
    fn headroom(&self, now: f64, l: usize, fill: f64, warmth: f64) -> f64 {
        let (terms, then) = (&self.terms, self.links.measured_at[l]);
        if l < terms.racks && !terms.uplinks_told {
            return fill * self.links.capacity[l] - self.demand(l);
        }
        let unseen = (terms.directors - 1.0) / terms.directors;
        let stale = ((now - then) * STALENESS_PER_SECOND).min(MAX_STALENESS) * unseen;
        // Without a measurement, `demand` already includes all that others may have there.
        let since = |l: usize| (self.links.own[l] - self.links.own_at(l, then)).max(0.0);
        let weight = if then > f64::NEG_INFINITY { UNSEEN_LOAD_WEIGHT } else { 0.0 };
        let added = weight * self.estimate_others(l, since(l), since(self.fleet()));
        (fill - stale) * self.links.capacity[l] * warmth - self.demand(l) - added
    }

    /// The headroom of a node's link and of its rack's uplink, each below its part in `fill`.
    pub(super) fn node_headroom(&self, now: f64, i: usize, fill: (f64, f64)) -> (f64, f64) {
        // A node that is only presumed cold counts as warm here, because its link is measured.
        let warmth = if self.is_presumed_cold(i) { 1.0 } else { self.warmth(now, i) };
        let link = self.headroom(now, self.link(i), fill.0, warmth);
        (link, self.headroom(now, self.rack(i), fill.1, 1.0))
    }

    /// Updates the estimates of a node's streams, link and uplink from its load report.
    pub(super) fn apply_load_report(&mut self, now: f64, i: usize, load: &LoadReport) {
        let (l, r, then) = (self.link(i), self.rack(i), now - REPORT_AGE);
        if let Some(streams) = load.streams {
            let others = (streams - self.nodes.streams[i]).max(0.0);
            blend(&mut self.nodes.other_streams[i], others, REPORT_WEIGHT);
            // Streams over fullness give the capacity, if the sessions of others have the same mean rate.
            let (own, count) = (self.links.own[l], self.nodes.streams[i]);
            if let Some(full) = load.link.filter(|&x| x > MIN_FILL_FOR_CAPACITY && count >= 2.0) {
                let capacity = own / count * (count + others) / full;
                let (old, before) = (self.links.capacity[l], self.demand(l));
                self.links.set_capacity(
                    l,
                    old + CAPACITY_WEIGHT * (capacity - old),
                    (MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO),
                );
                if self.links.measured_at[l] > f64::NEG_INFINITY {
                    // The measurement was of the fullness, so the fullness stays the same.
                    self.links.others[l] = before * self.links.capacity[l] / old - own;
                }
            }
        }
        if let Some(full) = load.link {
            self.links.measure(l, full.min(MAX_FULLNESS), then, REPORT_WEIGHT);
        }
        if let Some(full) = load.uplink {
            self.links.measure(r, full.min(MAX_FULLNESS), then, REPORT_WEIGHT);
        }
    }

    /// Updates the rung of a session or the estimate of a link. A measurement right after the start of a
    /// session is current, others are `seen_after` old.
    pub(super) fn apply_measurement(&mut self, now: f64, measurement: &Measurement) {
        match *measurement {
            Measurement::Rung { sess, rung } => self.recount(now, sess, rung),
            Measurement::Link { sess, node, asked } | Measurement::Uplink { sess, node, asked } => {
                let Some(&i) = self.nodes.index.get(&node) else { return };
                let since = match self.sessions.get(&sess).map(|s| s.stage) {
                    Some(Stage::Playing { since }) => since,
                    _ => f64::NEG_INFINITY,
                };
                let asked = asked.min(MAX_FULLNESS);
                let fresh = now - since + self.pause < FRESH_MEASUREMENT_TIME;
                let then = if fresh { now } else { now - self.terms.seen_after - self.pause };
                let uplink = matches!(measurement, Measurement::Uplink { .. });
                let l = if uplink { self.rack(i) } else { self.link(i) };
                self.links.measure(l, asked, then, MEASUREMENT_WEIGHT);
                if fresh {
                    self.links.exclusive_at[l] = then;
                }
                blend(&mut self.mean_fill[usize::from(uplink)], asked, MEAN_WEIGHT);
                if !uplink && !fresh {
                    self.handle_notification(now, i);
                }
            }
            Measurement::Delivered { node, share } => self.apply_delivery(now, node, share),
        }
    }

    /// Attributes a short delivery to the node's link if the load of the link explains it, else to the
    /// uplink.
    fn apply_delivery(&mut self, now: f64, node: NodeId, share: f64) {
        let share = share.max(1.0 / MAX_FULLNESS);
        let Some(&i) = self.nodes.index.get(&node) else { return };
        let (l, r, then) = (self.link(i), self.rack(i), now - self.terms.seen_after - self.pause);
        let short = share < SHORT_DELIVERY;
        if short && self.nodes.delivered[i] >= SHORT_DELIVERY {
            self.nodes.shortages[i] += 1.0;
        }
        (self.nodes.delivered[i], self.nodes.delivered_at[i]) = (share, now);
        self.nodes.shortfall[i] += (1.0 - share).max(0.0);
        if !short {
            return;
        }
        let wait = self.rise_wait();
        self.nodes.next_rise_at[i] = now + wait;
        let full = self.demand(l) / self.links.capacity[l];
        if then < self.links.relieved_at[l].max(self.links.relieved_at[r]) + RELIEF_SETTLE_TIME {
            return;
        }
        if self.terms.uplinks_told {
            let uplink = self.demand(r) / self.links.capacity[r];
            let worst = if uplink > full { r } else { l };
            if full.max(uplink) * share < 1.0 {
                self.links.measure(worst, 1.0 / share, then, REPORT_WEIGHT);
            }
        } else if !self.rack_is_short(now, r) {
            self.links.measure(l, 1.0 / share, then, REPORT_WEIGHT);
        } else {
            // The uplink delivers this share of its demand.
            let capacity = self.demand(r) * share;
            if capacity < self.links.capacity[r] {
                self.links.set_capacity(r, capacity, (MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO));
                self.links.measured_at[r] = then;
            }
        }
    }

    /// Whether most nodes of a rack with own sessions are short at once although their links were measured
    /// recently and are not full. A single node, or one whose link may explain it, says nothing about the
    /// uplink.
    fn rack_is_short(&self, now: f64, r: usize) -> bool {
        let ours = self.nodes.by_rack[r].iter().copied().filter(|&i| self.has_sessions(i));
        let (short, all) = ours.fold((0, 0), |(short, all), i| {
            let (l, share) = (self.link(i), self.nodes.delivered[i]);
            let recent = now - self.links.measured_at[l] < MAX_MEASUREMENT_AGE;
            let unexplained = self.demand(l) / self.links.capacity[l] * share < SETUP_FILL;
            (short + i32::from(share < SHORT_DELIVERY && recent && unexplained), all + 1)
        });
        short >= 2 && short * 2 > all
    }

    /// Moves estimates without new measurements towards the mean. A bad measurement must not last: without
    /// sessions there, no other comes, and the node would be excluded for good. A good one must not keep
    /// attracting sessions either.
    pub(super) fn decay_estimates(&mut self, now: f64) {
        let racks = self.terms.racks;
        let listed = self.nodes.listed.clone();
        // All directors that receive a measurement act on it: the more there are, the sooner and, up to a
        // limit, the faster it drifts.
        let many = (self.terms.directors / MAX_DIRECTORS_AT_BASE_DRIFT).max(1.0);
        // Each uplink, then each listed link, and whether its node just started.
        let nodes = listed.iter().map(|&i| (self.link(i), now < self.nodes.cold_until[i]));
        let links: Vec<(usize, bool)> = (0..racks).map(|r| (r, false)).chain(nodes).collect();
        for (l, started) in links {
            let (capacity, age) = (self.links.capacity[l], now - self.links.measured_at[l]);
            if l < racks && !self.terms.uplinks_told {
                // Not while any of its nodes is short: the uplink would be loaded again during the shortage.
                if self.nodes.by_rack[l].iter().any(|&i| self.nodes.delivered[i] < SHORT_DELIVERY) {
                    continue;
                }
                let max_capacity = self.links.listed_capacity[l] * MAX_CAPACITY_RATIO;
                self.links.capacity[l] =
                    (capacity * (1.0 + UPLINK_REGROWTH_PER_SECOND * ROUND_INTERVAL)).min(max_capacity);
            } else if age > MAX_MEASUREMENT_AGE / many && age < f64::INFINITY || started {
                // At once if a node just started, because all directors learn of it and fill it.
                let mean = (self.mean_fill(l) * capacity - self.links.own[l]).max(0.0);
                blend(
                    &mut self.links.others[l],
                    mean,
                    many.min(MAX_DRIFT_SPEEDUP) * ROUND_INTERVAL / DRIFT_TIME,
                );
            }
        }
        for i in listed {
            if now - self.nodes.delivered_at[i] > SHORTAGE_TIMEOUT {
                self.nodes.delivered[i] = 1.0;
            }
            // Reports come only with ends of own sessions; the sessions of others end unseen.
            blend(&mut self.nodes.other_streams[i], 0.0, ROUND_INTERVAL / (2.0 * DRIFT_TIME));
        }
    }
}
