//! Whether a media node with sessions of ours is still there. Its process may die (connections reset, new ones refused) or
//! its machine may vanish (open connections stay quiet, new ones never come up); a reset of one connection is neither. The
//! one proof that there is, in all three, is whether a new connection comes up, so one is tried when there is doubt.
//!
//! Decides when to try and when to take the node's sessions for over. No I/O; times are seconds, passed in.

/// s; a node that says nothing for so long is tried. Under half of the gap of notes, so that what vanished is known in time.
const QUIET: f64 = 1.5;
/// s; between tries while they fail. Two fit into the shortest time in which a process is back.
const AGAIN: f64 = 0.3;
/// s of tries that fail until what stood there counts as over: viewers are owed word of it within 8 s of the end, and it
/// took QUIET and a connect's time to begin. Harm: a node cut off for longer loses its sessions though it ran on.
const GIVE_UP: f64 = 3.5;
/// Refusals in a row, with no connection open, that prove that the process is gone: one may be a full backlog.
const REFUSALS: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    heard: f64,
    tried: f64,
    failing_since: Option<f64>,
    refusals: u32,
}

impl Pulse {
    pub fn new(now: f64) -> Self {
        Pulse { heard: now, tried: f64::NEG_INFINITY, failing_since: None, refusals: 0 }
    }

    /// Something came from the node, or a connection to it came up.
    pub fn heard(&mut self, now: f64) {
        *self = Pulse { heard: now, tried: self.tried, failing_since: None, refusals: 0 };
    }

    pub fn tried(&mut self, now: f64) {
        self.tried = now;
    }

    /// A connection did not come up. One refused beside an open one may be a full node, so it counts as one that timed out:
    /// a full node speaks on the open ones before GIVE_UP is over, a process that went and left them open does not.
    pub fn failed(&mut self, now: f64, refused: bool, linked: bool) {
        self.failing_since.get_or_insert(now);
        self.refusals = if refused && !linked { self.refusals + 1 } else { 0 };
    }

    /// Whether to try a connection now; `linked`: one is open.
    pub fn wants_try(&self, now: f64, linked: bool) -> bool {
        let quiet = if linked && self.failing_since.is_none() { QUIET } else { 0.0 };
        now - self.heard >= quiet && now - self.tried >= AGAIN.max(quiet)
    }

    /// Whether what stood at the node is over.
    pub fn over(&self, now: f64) -> bool {
        self.refused() || self.failing_since.is_some_and(|since| now - since >= GIVE_UP)
    }

    /// Whether the process is known to be gone, and all it had with it.
    pub fn refused(&self) -> bool {
        self.refusals >= REFUSALS
    }

    /// Whether the last tries failed.
    pub fn failing(&self) -> bool {
        self.failing_since.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dead_process_is_known_by_two_refusals() {
        let mut p = Pulse::new(0.0);
        assert!(p.wants_try(0.1, false));
        p.tried(0.1);
        p.failed(0.1, true, false);
        assert!(!p.over(0.1) && !p.wants_try(0.2, false) && p.wants_try(0.5, false));
        p.failed(0.5, true, false);
        assert!(p.over(0.5));
    }

    #[test]
    fn a_silent_machine_is_known_in_time_and_a_quiet_one_is_not_taken_for_it() {
        let mut p = Pulse::new(0.0);
        assert!(!p.wants_try(1.0, true));
        assert!(p.wants_try(1.6, true));
        p.tried(1.6);
        p.failed(1.85, false, true);
        assert!(p.wants_try(2.0, true) && !p.over(5.3) && p.over(5.4) && !p.refused());
        p.heard(5.5);
        assert!(!p.over(9.0));
    }

    #[test]
    fn a_full_node_that_speaks_is_not_dead_and_a_process_that_left_its_connections_open_is() {
        let mut p = Pulse::new(0.0);
        for k in 0..9 {
            p.failed(f64::from(k) * 2.0 + 0.5, true, true);
            assert!(!p.over(f64::from(k) * 2.0 + 2.0));
            p.heard(f64::from(k) * 2.0 + 2.0);
        }
        (0..12).for_each(|k| p.failed(30.0 + 0.3 * f64::from(k), true, true));
        assert!(!p.over(33.4) && p.over(33.6));
    }
}
