//! The pace of SETUPs to nodes that are cold or presumed cold.

use super::Director;

/// Part of the cold budget that all directors together use, because SETUPs differ in weight.
const COLD_BUDGET_USE: f64 = 0.8;
/// Part of a slot in which it is open, for slots of two windows: a window that bears few SETUPs then gets
/// one.
const WIDE_SLOT_OPEN_PART: f64 = 0.35;

impl Director {
    /// The part of its capacity that a node is estimated to have during its warm-up.
    pub(crate) fn warmth(&self, now: f64, i: usize) -> f64 {
        let terms = &self.terms;
        if now >= self.nodes.cold_until[i] {
            return 1.0;
        }
        let part = ((now - self.nodes.cold_since[i]) / terms.warm_within.max(1e-3)).clamp(0.0, 1.0);
        (terms.cold_from + (1.0 - terms.cold_from) * part).min(1.0)
    }

    /// Whether a node that may be cold takes a SETUP of this director now.
    ///
    /// All directors share a clock and know their number, so each has time slots of its own and no window can
    /// exceed its budget. For a node that is only presumed cold, as after the start of this director, a
    /// minimum gap that grows with the number of directors is enough: one SETUP of each when many restart
    /// together, as few of their sessions meet at one node that also just started.
    pub(super) fn cold_slot_open(&self, now: f64, i: usize) -> bool {
        let (terms, last) = (&self.terms, self.nodes.last_setup_at[i]);
        let budget = COLD_BUDGET_USE * terms.cold_budget * self.nodes.places[i] * self.warmth(now, i);
        if self.is_presumed_cold(i) {
            return now - last >= (terms.directors - 1.0).max(2.0) * terms.fall_window / budget.max(1e-3);
        }
        // Slots become shorter while the node warms up. If a window holds few SETUPs, one more at such a
        // change could exceed the budget. So slots only halve, and the number of slots follows the budget of
        // one window ago, so that a window spans at most one change. The budget covers one SETUP per slot,
        // one for the edge of the window and one for the change.
        let before = budget * self.warmth(now - terms.fall_window, i) / self.warmth(now, i).max(1e-9);
        let slots = (before - 1.0).min(before / COLD_BUDGET_USE - 2.0).max(0.5).log2().floor().exp2();
        let few = slots < 1.0;
        let slot = (terms.fall_window / slots).max(1e-3);
        let turn = (now / slot).floor();
        let own = turn.rem_euclid(terms.directors) == terms.me as f64
            && (!few || now / slot - turn < WIDE_SLOT_OPEN_PART);
        own && (last / slot).floor() != turn
    }

    /// Whether this director's part of what all presumed cold nodes bear allows another SETUP to any of them.
    ///
    /// This protects a fleet that restarts together with its directors into a crowd of viewers: each director
    /// assumes that the others are as loaded as itself. A part of a window is available at once, the rest
    /// comes with time, and fractions of a SETUP are distributed by the index of the director. The cost: when
    /// sessions return in a crowd after only this director restarted, some are refused for a second or two.
    pub(super) fn presumed_cold_budget_allows(&self, now: f64) -> bool {
        let (n, terms) = (&self.nodes, &self.terms);
        let budget = |&i: &usize| terms.cold_budget * n.places[i] * self.warmth(now, i);
        let all: f64 = n.listed.iter().filter(|&&i| self.is_presumed_cold(i)).map(budget).sum();
        let windows =
            1.0 - COLD_BUDGET_USE + COLD_BUDGET_USE * (now - self.started_at) / terms.fall_window.max(1e-3);
        let phase = (terms.me as f64 + 0.5) / terms.directors;
        // Without a configured pace there is no budget to divide.
        terms.cold_budget == 0.0 || all / terms.directors * windows >= self.presumed_cold_setups + phase
    }
}
