//! Placement of sessions: eligible nodes, choice of node and rung, SETUPs and final answers.

use fastrand::Rng;

use super::loads::MAX_MEASUREMENT_AGE;
use super::rung_steps::{RATE_MARGIN, RungChanges};
use super::{Director, ROUND_INTERVAL};
use crate::ids::SessId;
use crate::orders::Orders;
use crate::round::Phase;
use crate::state::{Session, Stage};
use crate::terms::{Reach, Repeat};

/// Part of a link or uplink that set-ups may fill; the rest covers load that is not visible yet.
pub(super) const SETUP_FILL: f64 = 0.90;
/// Utility per kB of a step over that of the steps it displaces; above 1 because the estimates have errors.
const SQUEEZE_GAIN: f64 = 1.3;
/// s; initial estimate of the set-up time, and the shortest time-out.
pub(super) const INITIAL_SETUP_TIME: f64 = 0.3;
/// Deviations; a SETUP that takes this much longer than the mean is lost.
const SETUP_TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Part of the time to the start target that one SETUP may take, so that another can still start in time.
const SETUP_TIMEOUT_PART: f64 = 0.45;

impl Director {
    /// The parts of a link and of an uplink that set-ups fill; a link only to where its node would reply
    /// busy.
    fn setup_fill(&self) -> (f64, f64) {
        (SETUP_FILL.min(self.terms.refuses_from), SETUP_FILL)
    }

    /// Whether another SETUP after the first one of a session fits the budget; a round interval of
    /// uncertainty counts against it.
    fn further_setup_fits(&self, now: f64) -> bool {
        let Some(budget) = self.terms.further else { return true };
        let accepted =
            self.accepted_at.iter().filter(|&&t| t > now - budget.span + ROUND_INTERVAL).count() as f64;
        let further =
            self.further_sent_at.iter().filter(|&&t| t >= now - budget.span - ROUND_INTERVAL).count() as f64;
        further + 1.0 <= budget.free + budget.per_taken * accepted
    }

    /// The nodes that may take this session now.
    fn eligible_nodes(&self, now: f64, s: &Session) -> Vec<usize> {
        let (n, terms) = (&self.nodes, &self.terms);
        let group = &terms.groups[s.request.group.0 as usize];
        let presumed_cold_allowed = self.presumed_cold_budget_allows(now);
        let fits = |&i: &usize| {
            let off =
                (n.cell[i] % terms.cells + terms.cells - s.request.first_cell % terms.cells) % terms.cells;
            let reach = match (s.maybe_ran, group.repeat) {
                (Some((zone, cell, _)), Repeat::Within(reach)) => {
                    reach.joins((zone, cell), (n.zone[i], n.cell[i]))
                }
                _ => true,
            };
            off < s.request.cells
                && n.phase[i] == Phase::Ready
                && now >= n.ejected_until[i].max(n.backed_off_until[i])
                && !s.tried.contains(&n.id[i])
                && n.streams[i] + n.other_streams[i] + 1.0 <= n.places[i]
                && (now >= n.cold_until[i]
                    || self.cold_slot_open(now, i) && (presumed_cold_allowed || !self.is_presumed_cold(i)))
                && reach
        };
        self.nodes.listed.iter().copied().filter(fits).collect()
    }

    /// Sends a SETUP for a pending session, or gives it up at once.
    pub(super) fn place(&mut self, now: f64, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sessions.get(&sess).filter(|s| s.stage == Stage::Pending) else { return };
        let (setups, left) = (s.setups, s.deadline - now);
        let (title, g) = (s.request.title, s.request.group.0);
        let group = &self.terms.groups[g as usize];
        let repeat_ok = match (s.maybe_ran, group.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (_, Repeat::Never) => false,
            (Some((_, _, sent)), Repeat::Within(_)) => now - sent < group.repeat_window - ROUND_INTERVAL,
        };
        let seats_ok = group.seats == 0 || self.seats.get(&(title, g)).copied().unwrap_or(0) < group.seats;
        let time_ok = setups == 0 || left > ROUND_INTERVAL;
        let may = repeat_ok && seats_ok && time_ok && setups < self.terms.max_setups;
        let found = if may && (setups == 0 || self.further_setup_fits(now)) {
            self.choose_node(now, sess)
        } else {
            None
        };
        let Some((i, rung, changes)) = found else { return self.give_up(sess, orders) };
        for (other, lower) in changes {
            self.set_rung(now, other, lower, orders);
        }
        self.nodes.last_setup_at[i] = now;
        if now < self.nodes.cold_until[i] && self.is_presumed_cold(i) {
            self.presumed_cold_setups += 1.0;
        }
        if setups > 0 {
            self.further_sent_at.push_back(now);
        }
        let more = setups + 1 < self.terms.max_setups;
        let late = self.setup_time_mean + SETUP_TIMEOUT_DEVIATIONS * self.setup_time_dev;
        let s = self.sessions.get_mut(&sess).expect("the session existed at the start of this call");
        // Before the start target, a part of the time left to it; later, half of the time left to the viewer.
        let part = if now < s.start_by { SETUP_TIMEOUT_PART * (s.start_by - now) } else { left / 2.0 };
        let wait = late.min(part).max(INITIAL_SETUP_TIME);
        s.node = i;
        s.rung = rung;
        s.stage = Stage::SetupSent;
        s.setups += 1;
        s.changed_at = now;
        let id = self.nodes.id[i];
        self.acquire(now, sess);
        orders.set_rung(sess, rung);
        orders.send_setup(sess, id, (more && wait < left).then_some(wait));
    }

    /// Sends the final answer when no SETUP can be sent: busy where allowed, so that the viewer may return.
    fn give_up(&mut self, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sessions.remove(&sess) else { return };
        let repeat = self.terms.groups[s.request.group.0 as usize].repeat;
        if s.maybe_ran.is_none() || matches!(repeat, Repeat::Freely | Repeat::Within(Reach::Anywhere)) {
            orders.reply_busy(sess, self.terms.come_back);
        } else {
            orders.reply_failed(sess);
        }
    }

    /// Chooses the node and rung for a session, and the rung changes that make room for it: a random draw,
    /// weighted by shares, among the nodes with room for the highest rung that any of them has room for.
    fn choose_node(&mut self, now: f64, sess: SessId) -> Option<(usize, u8, RungChanges)> {
        let s = &self.sessions[&sess];
        let group = &self.terms.groups[s.request.group.0 as usize];
        let best = s.request.best_rung.min(group.top);
        if best < group.floor {
            return None;
        }
        let fits = |i: usize| {
            let (link, uplink) = self.node_headroom(now, i, self.setup_fill());
            let room = link.min(uplink);
            let adds = |r: u8| {
                // A viewer that joins a stream of the same title adds only a part of the rate.
                let part = if self.joins_stream(i, &s.request, r) { group.join } else { 1.0 };
                part * group.rates[r as usize] * (1.0 + RATE_MARGIN)
            };
            let rung = (group.floor..=best).rev().find(|&r| adds(r) <= room);
            // An estimate without a recent measurement does not justify a busy reply.
            let blind = self.links.measured_at[self.link(i)] < now - MAX_MEASUREMENT_AGE;
            rung.map_or(if blind { group.floor.into() } else { -1 }, i16::from)
        };
        let eligible = self.eligible_nodes(now, s);
        let mut offers: Vec<_> = eligible.iter().map(|&i| (i, fits(i), Vec::new())).collect();
        if offers.iter().all(|o| o.1 < best.into()) {
            // No node has room for the best rung: look for room in steps with less utility.
            for offer in &mut offers {
                let (rung, changes) = self.squeeze(now, offer.0, s, offer.1, best);
                (offer.1, offer.2) = (rung, changes);
            }
        }
        let wanted = offers.iter().map(|o| o.1).max().filter(|&r| r >= 0)?;
        offers.retain(|o| o.1 == wanted);
        if self.terms.prefer_own_zone && offers.iter().any(|o| self.nodes.zone[o.0] == self.terms.zone) {
            offers.retain(|o| self.nodes.zone[o.0] == self.terms.zone);
        }
        if group.join < 1.0 {
            // Viewers of a live title share a stream if they meet at a node. So all directors choose by a
            // hash of title and node ids, weighted by shares, and mostly choose the same node. The cost: all
            // viewers of the title are interrupted when that node dies.
            let title = s.request.title.0;
            let distance = |i: usize| {
                let id = u64::from(self.nodes.id[i].0);
                -Rng::with_seed(title ^ id.rotate_left(32)).f64().ln() / self.nodes.share[i].max(1e-9)
            };
            return offers
                .into_iter()
                .min_by(|a, b| distance(a.0).total_cmp(&distance(b.0)))
                .map(|(i, rung, changes)| (i, rung as u8, changes));
        }
        let sum: f64 = offers.iter().map(|o| self.nodes.share[o.0]).sum();
        let mut draw = self.rng.f64() * sum;
        let last = offers.len() - 1;
        for (k, (i, rung, changes)) in offers.into_iter().enumerate() {
            draw -= self.nodes.share[i];
            if draw < 0.0 || k == last {
                return Some((i, rung as u8, changes));
            }
        }
        None
    }

    /// The rung that a new session could have at node `i` if steps of own sessions with clearly less utility
    /// per kB made room for it.
    fn squeeze(&self, now: f64, i: usize, s: &Session, from: i16, best: u8) -> (i16, RungChanges) {
        let group = &self.terms.groups[s.request.group.0 as usize];
        let (link, uplink) = self.node_headroom(now, i, self.setup_fill());
        let (mut reached, mut changes) = (from, Vec::new());
        for next in (from + 1).max(group.floor.into())..=best.into() {
            let next = next as usize;
            let below =
                if reached < 0 { (0.0, 0.0) } else { (group.utility[next - 1], group.rates[next - 1]) };
            let density = (group.utility[next] - below.0) / (group.rates[next] - below.1).max(1e-9);
            let kb = group.rates[next] * (1.0 + RATE_MARGIN);
            let on_link = kb > link;
            let need = kb - link.min(uplink);
            let at = |o: usize| if on_link { o == i } else { self.rack(o) == self.rack(i) };
            let max_loss = density / SQUEEZE_GAIN;
            let (steps, freed) =
                self.step_rungs(|s| at(s.node), false, |freed, _, loss| freed < need && loss <= max_loss);
            if freed < need {
                break;
            }
            (reached, changes) = (next as i16, steps);
        }
        (reached, changes)
    }
}
