//! Rung changes of playing sessions: step-downs on overloaded links and rises into free room.

use std::cell::Cell;

use super::Director;
use super::loads::{MAX_MEASUREMENT_AGE, SHORT_DELIVERY};
use crate::ids::SessId;
use crate::orders::Orders;
use crate::state::Session;

/// Part of a link that rises may fill; below `SETUP_FILL` so that new sessions find room.
const RISE_LINK_FILL: f64 = 0.80;
/// The same for an uplink.
const RISE_UPLINK_FILL: f64 = 0.88;
/// Part of a link; sessions step down when the demand is higher.
const RELIEF_START: f64 = 1.03;
/// Part of a link down to which they step, where no session is short.
const RELIEF_TARGET: f64 = 0.97;
/// Part of a link from which rungs with low utility step down if there are many directors.
const EARLY_RELIEF_START: f64 = 0.78;
/// Up to this many directors, sessions do not step down before a link is full: they are squeezed instead.
const MAX_DIRECTORS_WITHOUT_EARLY_RELIEF: f64 = 2.0;
/// Exponent of the effect of early relief, which is small with three or four directors and nearly full with
/// sixty.
const EARLY_RELIEF_EXPONENT: i32 = 3;
/// Times the need; a first step down that is larger than this is taken at random, with a probability of this
/// over its rate. Above 1, so that most of a real shortage ends.
const RELIEF_DRAW_WEIGHT: f64 = 3.0;
/// Part of a rate; actual rates differ from the ladder by up to a quarter, depending on the title.
pub(super) const RATE_MARGIN: f64 = 0.2;
/// Least part of the room measured at an own set-up that this director uses; the rest is for the next set-up.
const MIN_EXCLUSIVE_PART: f64 = 0.4;
/// s; bounds of the random wait before a rise, about the time until the next measurement.
pub(super) const MIN_RISE_WAIT: f64 = 0.5;
const MAX_RISE_WAIT: f64 = 2.0;
/// s; a session keeps its rung at least for this time, so that the change is worth its cost.
const MIN_RUNG_TIME: f64 = 6.0;

/// Sessions and their new rungs.
pub(super) type RungChanges = Vec<(SessId, u8)>;

impl Director {
    /// Moves the rungs of own playing sessions that `selects` matches: up where the utility per kB is
    /// highest, or down where it is lowest, while `allows` accepts a step by the kB moved so far, its own kB
    /// and its utility per kB. Returns the changes and the kB moved.
    pub(super) fn step_rungs(
        &self, selects: impl Fn(&Session) -> bool, up: bool, allows: impl Fn(f64, f64, f64) -> bool,
    ) -> (RungChanges, f64) {
        let mut rungs: Vec<(&Session, u8)> =
            self.sessions.values().filter(|s| s.is_playing() && selects(s)).map(|s| (s, s.rung)).collect();
        let mut moved = 0.0;
        loop {
            let step = rungs.iter().enumerate().filter_map(|(k, &(s, rung))| {
                let group = &self.terms.groups[s.request.group.0 as usize];
                let low = if up { rung } else { rung.checked_sub(1)? };
                if low + 1 > s.request.best_rung.min(group.top) || low < group.floor {
                    return None;
                }
                // A session that already moves has the cost of a change only once.
                let switch = if rung == s.rung { group.switch_cost / self.session_life } else { 0.0 };
                let (kb, density) = group.step(low, if up { -switch } else { switch });
                allows(moved, kb, density).then_some((k, if up { -density } else { density }, kb))
            });
            let Some((k, _, kb)) = step.min_by(|a, b| a.1.total_cmp(&b.1)) else { break };
            rungs[k].1 = if up { rungs[k].1 + 1 } else { rungs[k].1 - 1 };
            moved += kb;
        }
        (rungs.into_iter().filter(|(s, r)| *r != s.rung).map(|(s, r)| (s.request.sess, r)).collect(), moved)
    }

    pub(super) fn set_rung(&mut self, now: f64, sess: SessId, rung: u8, orders: &mut impl Orders) {
        self.recount(now, sess, rung);
        if let Some(s) = self.sessions.get_mut(&sess) {
            s.changed_at = now;
            orders.set_rung(sess, rung);
        }
    }

    /// Steps down this director's part of the excess demand on a link. All directors receive the same
    /// measurement, so each reduces its own part.
    pub(super) fn relieve(&mut self, now: f64, l: usize, orders: &mut impl Orders) {
        let asked = self.demand(l);
        let racks = self.terms.racks;
        // With few directors, sessions are squeezed instead.
        let full = asked / self.links.capacity[l];
        let from = RELIEF_START
            - (RELIEF_START - EARLY_RELIEF_START)
                * (1.0 - MAX_DIRECTORS_WITHOUT_EARLY_RELIEF / self.terms.directors)
                    .max(0.0)
                    .powi(EARLY_RELIEF_EXPONENT);
        if full <= from || self.links.own[l] <= 0.0 {
            return;
        }
        // Only on a new measurement; for an uplink, which all directors share, on one that shows the reaction
        // of the others.
        let delay = if l < racks { self.terms.seen_after } else { 0.0 };
        if self.links.measured_at[l] <= self.links.relieved_at[l] + delay {
            return;
        }
        let chance = self.rng.f64();
        let (target, max_loss, weight) = if full > RELIEF_START {
            (RELIEF_TARGET, f64::INFINITY, RELIEF_DRAW_WEIGHT)
        } else {
            (from, (full - from) / (RELIEF_START - from) * self.terms.lowest_rung_density, 1.0)
        };
        let need = self.links.own[l] * (full - target) / full;
        let at = |i: usize| {
            if l < racks { self.rack(i) == l } else { self.link(i) == l }
        };
        // A first step that is far larger than the need is taken at random: with many directors that each
        // have little there, rounding up would empty the link. The draw is for more than the need, because a
        // shortage costs more than unused capacity.
        let (changes, _) = self.step_rungs(
            |s| at(s.node),
            false,
            |freed, kb, loss| {
                loss <= max_loss && if freed == 0.0 { chance * kb < weight * need } else { freed < need }
            },
        );
        self.links.relieved_at[l] = now;
        for (sess, rung) in changes {
            let i = self.sessions[&sess].node;
            let wait = self.rise_wait();
            self.nodes.next_rise_at[i] = now + wait;
            self.set_rung(now, sess, rung, orders);
        }
    }

    pub(super) fn rise_wait(&mut self) -> f64 {
        let (least, most) = (MIN_RISE_WAIT, MAX_RISE_WAIT);
        least + self.rng.f64() * (most - least)
    }

    /// The part of the room on a link that this director may use until a measurement shows what the others
    /// did: all directors with sessions there know the same room, and each uses its part of the total load.
    fn own_part(&self, l: usize, room: f64) -> f64 {
        // A measurement at a set-up, however, reaches only this director.
        let exclusive = self.links.exclusive_at[l] == self.links.measured_at[l];
        let part = (self.links.own[l] / self.demand(l).max(1e-9))
            .clamp(if exclusive { MIN_EXCLUSIVE_PART } else { 0.0 }, 1.0);
        (room + self.links.rise_used[l]) * part - self.links.rise_used[l]
    }

    /// Raises rungs of own sessions at a node after a random wait, highest utility first, within this
    /// director's part of the room. A step larger than that part is taken with the probability of the part,
    /// so that all directors together use the room. An old measurement is enough only if nodes send no
    /// measurements.
    pub(super) fn rise(&mut self, now: f64, i: usize, orders: &mut impl Orders) {
        let (l, r) = (self.link(i), self.rack(i));
        let stale = now - self.links.measured_at[l] > MAX_MEASUREMENT_AGE && self.terms.told_every > 0.0;
        if now < self.nodes.next_rise_at[i] || self.nodes.delivered[i] < SHORT_DELIVERY || stale {
            return;
        }
        self.nodes.next_rise_at[i] = now + self.rise_wait();
        let (link, uplink) = self.node_headroom(now, i, (RISE_LINK_FILL, RISE_UPLINK_FILL));
        let (whole, own) = (link.min(uplink), self.own_part(l, link).min(self.own_part(r, uplink)));
        if own <= 0.0 {
            return;
        }
        let (chance, drawn) = (self.rng.f64(), Cell::new(false));
        let selects = |s: &Session| s.node == i && now - s.changed_at > MIN_RUNG_TIME;
        let (rises, kb) = self.step_rungs(selects, true, |used, kb, gain| {
            drawn.set(drawn.get() || gain > 0.0);
            let fits = |kb: f64, room: f64| (used + kb) * (1.0 + RATE_MARGIN) <= room;
            gain > 0.0 && fits(kb, whole) && fits(chance * kb, own)
        });
        for (sess, rung) in rises {
            self.set_rung(now, sess, rung, orders);
        }
        // The part counts as used even if the random draw was lost.
        let used = if kb > 0.0 { kb * (1.0 + RATE_MARGIN) } else { whole };
        if drawn.get() {
            for l in [l, r] {
                (self.links.rise_used[l], self.links.last_rise_at[l]) = (self.links.rise_used[l] + used, now);
            }
        }
    }
}
