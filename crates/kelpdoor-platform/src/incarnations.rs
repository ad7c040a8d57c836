//! The incarnations of a media node, and which of them holds a session. An incarnation is one run of the node's process: its
//! sessions end with it, and the next one knows nothing of them.
//!
//! A connection that opens proves that some process answers at the address, not which one. It begins an *epoch*. Epochs are
//! merged into one incarnation once a message proves that a single process spans them:
//!
//! - a message on a connection of an earlier epoch, after a later one began: its process still runs, and one process runs at an
//!   address at a time;
//! - a message about a session of an earlier epoch, on a connection of a later one: only the process that runs a session knows it;
//! - any sign of it less than [`MIN_RESTART_TIME`] before the later epoch began, unless a connection was lost in between.
//!
//! Nothing here does I/O. Times are seconds, passed in.

use std::collections::BTreeMap;

/// s; a process that ends is not replaced by the next one within this time.
pub const MIN_RESTART_TIME: f64 = 0.5;

/// Number of an epoch. Those of one node increase with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(u32);

/// Epochs that belong to one process. Its first epoch is its key in [`Incarnations`].
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    last_epoch: Epoch,
    /// When its first epoch began.
    began_at: f64,
    /// Number of active sessions that were set up in it.
    sessions: usize,
    /// The last time at which its process is proven to have run.
    proven_at: f64,
    /// When a connection first opened again after attempts failed, if that is later than the last proof.
    reachable_again_at: Option<f64>,
    /// Its first epoch began at another address than the one before, where an earlier process may still run.
    at_new_address: bool,
}

/// What is known about the incarnations of one node.
#[derive(Clone, Debug)]
pub struct Incarnations {
    known: BTreeMap<Epoch, Incarnation>,
    latest: Epoch,
    /// A connection was lost since the latest epoch began, maybe with its process.
    connection_lost: bool,
    /// The address has changed since the latest epoch began.
    address_changed: bool,
}

impl Incarnations {
    /// Begins the first epoch, without a connection.
    pub fn new(now: f64) -> Self {
        let mut incarnations = Incarnations {
            known: BTreeMap::new(),
            latest: Epoch(0),
            connection_lost: false,
            address_changed: false,
        };
        incarnations.insert_epoch(now, false);
        incarnations
    }

    fn insert_epoch(&mut self, now: f64, at_new_address: bool) {
        let incarnation = Incarnation {
            last_epoch: self.latest,
            began_at: now,
            sessions: 0,
            proven_at: now,
            reachable_again_at: None,
            at_new_address,
        };
        self.known.insert(self.latest, incarnation);
    }

    /// A connection opened. Returns its epoch. `was_failing`: attempts to connect failed before.
    pub fn connection_opened(&mut self, now: f64, was_failing: bool) -> Epoch {
        if was_failing {
            self.known.values_mut().for_each(|i| i.reachable_again_at = i.reachable_again_at.or(Some(now)));
        }
        let at_new_address = std::mem::take(&mut self.address_changed);
        self.begin_epoch(now, at_new_address)
    }

    /// A session that an earlier process of this director set up is active at the node now. Returns its epoch.
    pub fn session_handed_over(&mut self, now: f64) -> Epoch {
        self.begin_epoch(now, false)
    }

    fn begin_epoch(&mut self, now: f64, at_new_address: bool) -> Epoch {
        let is_separate = std::mem::take(&mut self.connection_lost) || at_new_address;
        let earlier = self.latest;
        let just_seen = self
            .first_epoch(earlier)
            .and_then(|first| self.known.get(&first))
            .is_some_and(|i| now - i.proven_at < MIN_RESTART_TIME);
        self.latest = Epoch(earlier.0.wrapping_add(1));
        self.insert_epoch(now, at_new_address);
        if just_seen && !is_separate {
            self.merge(earlier, self.latest, now);
        }
        self.latest
    }

    /// The node ended a connection, or it broke.
    pub fn connection_lost(&mut self) {
        self.connection_lost = true;
    }

    /// The node's address changed. Connections that open from now on may reach a process that runs beside the earlier one.
    pub fn address_changed(&mut self) {
        self.address_changed = true;
    }

    /// Forgets incarnations that hold no session, except those of the given open connections and the latest.
    pub fn prune(&mut self, connections: &[Epoch]) {
        let latest = self.latest;
        self.known.retain(|&first, i| {
            let is_in_use = |epoch: &Epoch| (first..=i.last_epoch).contains(epoch);
            i.sessions > 0 || is_in_use(&latest) || connections.iter().any(is_in_use)
        });
    }

    /// The first epoch of the incarnation of `epoch`, which identifies it.
    fn first_epoch(&self, epoch: Epoch) -> Option<Epoch> {
        let (&first, incarnation) = self.known.range(..=epoch).next_back()?;
        (epoch <= incarnation.last_epoch).then_some(first)
    }

    fn incarnation_mut(&mut self, epoch: Epoch) -> Option<&mut Incarnation> {
        let first = self.first_epoch(epoch)?;
        self.known.get_mut(&first)
    }

    /// Merges the incarnations from that of `earlier` to that of `later`, whose process is proven to have run at `proven_at`.
    fn merge(&mut self, earlier: Epoch, later: Epoch, proven_at: f64) {
        let (Some(first), Some(last)) = (self.first_epoch(earlier), self.first_epoch(later)) else { return };
        let merged: Vec<Epoch> = self.known.range(first..=last).map(|(&key, _)| key).collect();
        let parts: Vec<Incarnation> = merged.iter().filter_map(|key| self.known.remove(key)).collect();
        let (Some(oldest), Some(newest)) = (parts.first(), parts.last()) else { return };
        let incarnation = Incarnation {
            last_epoch: newest.last_epoch,
            sessions: parts.iter().map(|i| i.sessions).sum(),
            proven_at: parts.iter().map(|i| i.proven_at).fold(proven_at, f64::max),
            reachable_again_at: None,
            ..*oldest
        };
        self.known.insert(first, incarnation);
    }

    /// A message arrived on a connection of `connection`: its process has run since that epoch, and still ran at `sent_after`,
    /// when nothing had arrived yet.
    pub fn message_received(&mut self, connection: Epoch, sent_after: f64) {
        let Some(first) = self.first_epoch(connection) else { return };
        let later = self.known.range(first..).skip(1);
        let spanned = later.take_while(|(_, i)| i.began_at <= sent_after && !i.at_new_address);
        let last = spanned.last().map_or(first, |(&key, _)| key);
        self.merge(first, last, sent_after);
    }

    /// A message about a session of `session` arrived on a connection of `connection`: the process that runs the session spans
    /// both epochs, and still ran at `sent_after`.
    pub fn session_confirmed(&mut self, session: Epoch, connection: Epoch, sent_after: f64) {
        self.merge(session.min(connection), session.max(connection), sent_after);
    }

    /// A session of `epoch` became active.
    pub fn session_began(&mut self, epoch: Epoch) {
        if let Some(incarnation) = self.incarnation_mut(epoch) {
            incarnation.sessions += 1;
        }
    }

    /// A session of `epoch` ended.
    pub fn session_ended(&mut self, epoch: Epoch) {
        if let Some(incarnation) = self.incarnation_mut(epoch) {
            incarnation.sessions = incarnation.sessions.saturating_sub(1);
        }
    }

    /// Whether both epochs are proven to belong to the same incarnation.
    pub fn is_same(&self, a: Epoch, b: Epoch) -> bool {
        a == b || self.first_epoch(a).is_some_and(|first| self.first_epoch(b) == Some(first))
    }

    /// The last time at which the process of `epoch` is proven to have run; negative infinity if it is forgotten.
    pub fn proven_at(&self, epoch: Epoch) -> f64 {
        let incarnation = self.first_epoch(epoch).and_then(|first| self.known.get(&first));
        incarnation.map_or(f64::NEG_INFINITY, |i| i.proven_at)
    }

    /// Whether the incarnation of `epoch` holds active sessions.
    pub fn has_sessions(&self, epoch: Epoch) -> bool {
        self.first_epoch(epoch).and_then(|first| self.known.get(&first)).is_some_and(|i| i.sessions > 0)
    }

    /// Number of active sessions that no message has confirmed since `then`.
    pub fn sessions_unconfirmed_since(&self, then: f64) -> usize {
        self.known.values().filter(|i| i.proven_at < then).map(|i| i.sessions).sum()
    }

    /// Whether an incarnation that holds sessions counts as ended, by the proof that it lacks.
    pub fn has_overdue(&self, now: f64, deadlines: &ProofDeadlines) -> bool {
        self.known.values().any(|i| i.is_overdue(now, deadlines))
    }

    /// Whether the incarnation of `epoch` holds sessions and counts as ended, by the proof that it lacks.
    pub fn is_overdue(&self, epoch: Epoch, now: f64, deadlines: &ProofDeadlines) -> bool {
        let incarnation = self.first_epoch(epoch).and_then(|first| self.known.get(&first));
        incarnation.is_some_and(|i| i.is_overdue(now, deadlines))
    }
}

impl Incarnation {
    fn is_overdue(&self, now: f64, deadlines: &ProofDeadlines) -> bool {
        let unproven_until = self.proven_at + deadlines.since_proof;
        let deadline = match self.reachable_again_at {
            _ if !deadlines.restarts_are_listed => unproven_until,
            Some(at) => unproven_until.max(at + deadlines.since_outage),
            None => return false,
        };
        self.sessions > 0 && now >= deadline
    }
}

/// How long an incarnation may go without proof while its node can be reached, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ProofDeadlines {
    /// The node list is being followed and reports each restart. Then only a node that was out of reach has to prove its
    /// incarnation, and has time for it once it can be reached again.
    pub restarts_are_listed: bool,
    /// Since the last proof.
    pub since_proof: f64,
    /// Since the node could be reached again.
    pub since_outage: f64,
}

#[cfg(test)]
mod tests;
