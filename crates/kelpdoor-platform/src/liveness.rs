//! Whether a media node with sessions of ours is still there. Its process may die (connections reset, new ones refused) or
//! its machine may vanish (open connections stay quiet, new ones never come up); a reset of one connection is neither. The
//! one proof that there is, in all three, is whether a new connection comes up, so one is tried when there is doubt.
//!
//! Decides when to try and when to take the node's sessions for over. No I/O; times are seconds, passed in.

/// s; a node that says nothing for so long is tried. Under half of the gap of notes, so that what vanished is known in time.
const QUIET: f64 = 1.5;
/// s; between tries while they fail. Two fit into the shortest time in which a process is back.
const AGAIN: f64 = 0.3;
/// s; between tries only to release what was given up there: nobody waits for it.
pub const RELEASE_RETRY_INTERVAL: f64 = 2.0;
/// s; failures further apart are not in a row: nobody tried meanwhile, or we stood still ourselves.
const IN_A_ROW: f64 = 2.5;
/// s of tries that fail until what stood there counts as over: viewers are owed word of it within 8 s of the end, and it
/// took QUIET and a connect's time to begin. Harm: a node cut off for longer loses its sessions though it ran on.
const GIVE_UP: f64 = 3.5;
/// Refusals in a row, with no connection open, that prove that the process is gone: one may be a full backlog.
const REFUSALS: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    heard: f64,
    tried: f64,
    /// Of failures in a row, when the first and the last were.
    failing: Option<(f64, f64)>,
    refusals: u32,
}

impl Liveness {
    pub fn new(now: f64) -> Self {
        Liveness { heard: now, tried: f64::NEG_INFINITY, failing: None, refusals: 0 }
    }

    /// Something came from the node, or a connection to it came up.
    pub fn heard(&mut self, now: f64) {
        *self = Liveness { heard: now, tried: self.tried, failing: None, refusals: 0 };
    }

    pub fn tried(&mut self, now: f64) {
        self.tried = now;
    }

    /// A connection did not come up. One refused beside an open one may be a full node, so it counts as one that timed out:
    /// a full node speaks on the open ones before GIVE_UP is over, a process that went and left them open does not.
    pub fn failed(&mut self, now: f64, refused: bool, linked: bool) {
        let first = self.failing.filter(|(_, last)| now - last <= IN_A_ROW).map_or(now, |(first, _)| first);
        self.failing = Some((first, now));
        self.refusals = if refused && !linked { self.refusals + 1 } else { 0 };
    }

    /// Whether to try a connection now; `linked`: one is open; `waited_for`: something stands there or is in doubt.
    pub fn wants_try(&self, now: f64, linked: bool, waited_for: bool) -> bool {
        let quiet = if linked && self.failing.is_none() { QUIET } else { 0.0 };
        let again = if waited_for { AGAIN } else { RELEASE_RETRY_INTERVAL };
        now - self.heard >= quiet && now - self.tried >= again.max(quiet)
    }

    /// Whether what stood at the node is over.
    pub fn over(&self) -> bool {
        self.refused() || self.failing.is_some_and(|(first, last)| last - first >= GIVE_UP)
    }

    /// Whether anything came from the node since then.
    pub fn heard_since(&self, then: f64) -> bool {
        self.heard > then
    }

    /// Whether the process is known to be gone, and all it had with it.
    pub fn refused(&self) -> bool {
        self.refusals >= REFUSALS
    }

    /// Whether the last tries failed.
    pub fn failing(&self) -> bool {
        self.failing.is_some()
    }
}

#[cfg(test)]
mod tests;
