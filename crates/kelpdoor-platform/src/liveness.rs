//! Liveness of a media node with active sessions. Its process may die (connections are reset and new ones
//! refused) or its machine may vanish (open connections stay silent and new ones never open); a reset of a
//! single connection means neither. The only proof that covers all three is whether a new connection opens,
//! so one is attempted when there is doubt.
//!
//! A connection that opens shows that the node can be reached, but not that the process that it held is still
//! the same; [`incarnations`](crate::incarnations) tracks that.
//!
//! Decides when to attempt a connection and when a node counts as lost. It does no I/O; times are seconds,
//! passed in.

/// s; a connection to a node that is silent for this long is attempted. Less than half of the interval of the
/// node's notifications, so that a vanished machine is detected in time.
const QUIET_TIMEOUT: f64 = 1.5;
/// s; interval between failing attempts. Two fit into the shortest time in which a process restarts.
const RETRY_INTERVAL: f64 = 0.3;
/// s; interval between attempts that only serve to release cancelled sessions, for which nobody waits.
pub const RELEASE_RETRY_INTERVAL: f64 = 2.0;
/// s; failures further apart are separate: nothing was attempted in between, or this process was paused.
const MAX_FAILURE_GAP: f64 = 2.5;
/// s; viewers must be notified within 8 s of the end of their sessions, which may follow the last sign of the
/// node at once. A node that is cut off for longer loses its sessions though it runs.
pub const END_DEADLINE: f64 = 7.4;
/// s; minimum time of failures before a node counts as lost, as the last sign of it may be old after a pause
/// of this process.
const MIN_FAILURE_TIME: f64 = 3.5;
/// Consecutive refusals without an open connection that prove the process gone; a single one may be a full
/// accept backlog.
const MIN_REFUSALS: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    /// When the node last sent something or accepted a connection.
    last_contact: f64,
    last_attempt: f64,
    /// Times of the first and the last of the current consecutive failures.
    failures: Option<(f64, f64)>,
    consecutive_refusals: u32,
}

impl Liveness {
    pub fn new(now: f64) -> Self {
        Liveness {
            last_contact: now,
            last_attempt: f64::NEG_INFINITY,
            failures: None,
            consecutive_refusals: 0,
        }
    }

    /// The node sent something, or a connection to it opened.
    pub fn record_contact(&mut self, now: f64) {
        *self = Liveness {
            last_contact: now,
            last_attempt: self.last_attempt,
            failures: None,
            consecutive_refusals: 0,
        };
    }

    pub fn record_attempt(&mut self, now: f64) {
        self.last_attempt = now;
    }

    /// A connection attempt failed. A refusal while another connection is open may come from a node at its
    /// limit and counts like a timeout: such a node sends something on its open connections within
    /// END_DEADLINE, whereas a process that exited and left them open does not.
    pub fn record_failure(&mut self, now: f64, refused: bool, connected: bool) {
        let first =
            self.failures.filter(|(_, last)| now - last <= MAX_FAILURE_GAP).map_or(now, |(first, _)| first);
        self.failures = Some((first, now));
        self.consecutive_refusals = if refused && !connected { self.consecutive_refusals + 1 } else { 0 };
    }

    /// Whether to attempt a connection now. `connected`: one is open; `in_use`: sessions are active or in
    /// doubt there.
    pub fn should_connect(&self, now: f64, connected: bool, in_use: bool) -> bool {
        let min_silence = if connected && self.failures.is_none() { QUIET_TIMEOUT } else { 0.0 };
        let retry_interval = if in_use { RETRY_INTERVAL } else { RELEASE_RETRY_INTERVAL };
        now - self.last_contact >= min_silence && now - self.last_attempt >= retry_interval.max(min_silence)
    }

    /// Whether the node is lost: its process is gone, or it has been out of reach until END_DEADLINE.
    pub fn is_lost(&self, now: f64) -> bool {
        let out_of_reach = self
            .failures
            .is_some_and(|(first, last)| last - first >= MIN_FAILURE_TIME && now - last <= MAX_FAILURE_GAP);
        self.process_is_gone() || out_of_reach && now - self.last_contact >= END_DEADLINE
    }

    /// Whether the node has sent anything since `then`.
    pub fn heard_since(&self, then: f64) -> bool {
        self.last_contact > then
    }

    /// Whether the process is known to be gone, and all its sessions with it.
    pub fn process_is_gone(&self) -> bool {
        self.consecutive_refusals >= MIN_REFUSALS
    }

    /// Whether the latest attempts failed.
    pub fn is_failing(&self) -> bool {
        self.failures.is_some()
    }
}

#[cfg(test)]
mod tests;
