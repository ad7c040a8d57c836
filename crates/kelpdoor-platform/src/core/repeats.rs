//! Requests that are repeated. A set-up that crosses the end of its connection is sent again under its id, on another
//! connection. It gets the outcome of the first one and does not run again.
//!
//! | state of the session | repeated on another connection | other use of the id |
//! | --- | --- | --- |
//! | set-up open | its answer goes there | rejected; on its own connection the set-up fails |
//! | SETUP out, its connection was lost a moment ago | its answer goes there | rejected |
//! | active, recently answered (or about to be) | the answer is sent there | rejected |
//! | active for longer | rejected | rejected |
//! | withdrawn, and its SETUP may have run | fails, or is refused if its group may be repeated freely | the same |
//! | refused, failed or ended recently | the recorded outcome is sent | rejected |
//! | never ran, or unknown | a new set-up | a new set-up |

use std::collections::{BTreeMap, VecDeque};

use kelpdoor::ids::{GroupId, NodeId, SessId};
use kelpdoor::terms::Repeat;

use super::{
    CoreState, Effect, LoadReport, PeerEvidence, PendingMessage, SetupOutcome, Stage, Timer, ViewerPresence,
};
use crate::viewer::{self, MessageError, Reply, RequestDigest, SetupRequest, cause};

/// s; how long the outcome of a SETUP is awaited for a viewer whose connection was lost. A request that crosses the
/// end of its connection is repeated within 50 ms, and time limits are 50 ms longer on sockets.
const RETURN_TIME: f64 = 0.1;
/// s; how long an outcome can be sent again. A request is repeated within 50 ms, and its new connection may take a
/// second if its first packet is lost.
const REPEAT_WINDOW: f64 = 2.0;
/// Maximum recorded outcomes of requests that may have run; set-ups are refused beyond it.
const MAX_RECORDED_RUNS: usize = 4096;
/// Maximum recorded outcomes of requests that never ran. The oldest are dropped beyond it, as running such a request
/// again is harmless.
const MAX_RECORDED_REFUSALS: usize = 1024;

/// The outcome of a request whose session is not held any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Outcome {
    /// It got this final answer.
    Answered { cause: u32, wait: Option<f64> },
    /// It got no answer, as its viewer was gone. It may have run.
    Withdrawn,
}

struct RecordedOutcome {
    digest: RequestDigest,
    outcome: Outcome,
    until: f64,
}

/// Outcomes of recent requests, in two queues by whether the requests may have run.
#[derive(Default)]
pub(super) struct RecentOutcomes {
    by_session: BTreeMap<SessId, RecordedOutcome>,
    runs: VecDeque<(f64, SessId)>,
    refusals: VecDeque<(f64, SessId)>,
}

impl RecentOutcomes {
    fn insert(&mut self, sess: SessId, recorded: RecordedOutcome, may_have_run: bool) {
        let queue = if may_have_run { &mut self.runs } else { &mut self.refusals };
        queue.push_back((recorded.until, sess));
        self.by_session.insert(sess, recorded);
        if self.refusals.len() > MAX_RECORDED_REFUSALS
            && let Some((until, oldest)) = self.refusals.pop_front()
        {
            self.remove(oldest, until);
        }
    }

    /// Removes an outcome, unless a later one of the same id has replaced it.
    fn remove(&mut self, sess: SessId, until: f64) {
        if self.by_session.get(&sess).is_some_and(|recorded| recorded.until <= until) {
            self.by_session.remove(&sess);
        }
    }

    fn remove_expired(&mut self, now: f64) {
        let expired = |queue: &mut VecDeque<(f64, SessId)>| queue.pop_front_if(|(until, _)| *until <= now);
        while let Some((until, sess)) = expired(&mut self.runs).or_else(|| expired(&mut self.refusals)) {
            self.remove(sess, until);
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.runs.len() >= MAX_RECORDED_RUNS
    }

    pub(super) fn len(&self) -> usize {
        self.runs.len() + self.refusals.len()
    }
}

/// The answer that made a session active, for a repeated request.
pub(super) struct RecordedAnswer {
    pub(super) blob: String,
    until: f64,
}

impl CoreState {
    /// Handles a START whose id is known; returns whether it is.
    pub(super) fn handle_repeat(
        &mut self, conn: u64, sess: SessId, request: &SetupRequest, group: GroupId,
    ) -> bool {
        if self.sessions.contains_key(&sess) {
            self.handle_id_in_use(conn, sess, request, group);
            return true;
        }
        if let Some(recorded) = self.recent_outcomes.by_session.get(&sess) {
            let outcome = recorded.outcome;
            if recorded.digest == request.digest() {
                self.send_outcome(conn, sess, outcome, group);
            } else {
                self.reject_message(conn, &id_in_use(sess));
            }
            return true;
        }
        if self.is_cancelled_at_a_node(sess) {
            self.send_outcome(conn, sess, Outcome::Withdrawn, group);
            return true;
        }
        false
    }

    fn handle_id_in_use(&mut self, conn: u64, sess: SessId, request: &SetupRequest, group: GroupId) {
        let Some(held) = self.sessions.get(&sess) else { return };
        let is_repeat = held.conn != conn && held.digest == request.digest();
        if held.viewer == ViewerPresence::Gone {
            // Its SETUP is being cancelled; nobody else expects an answer under this id.
            let outcome = self.withdrawn_outcome(sess);
            self.send_outcome(conn, sess, outcome, group);
        } else if is_repeat && held.stage != Stage::Active {
            self.move_setup(conn, sess);
        } else if is_repeat && held.answer.is_some() {
            self.repeat_answer(conn, sess);
        } else {
            self.reject_message(conn, &id_in_use(sess));
        }
    }

    /// The outcome of a request whose viewer is gone, but whose session is held.
    fn withdrawn_outcome(&self, sess: SessId) -> Outcome {
        let sent = |stage| matches!(stage, Stage::SetupSent | Stage::InDoubt | Stage::Active);
        let may_have_run = self.sessions.get(&sess).is_some_and(|s| s.may_have_run || sent(s.stage));
        if may_have_run {
            Outcome::Withdrawn
        } else {
            Outcome::Answered { cause: cause::CONGESTION, wait: self.come_back }
        }
    }

    /// Whether a SETUP of this id was cancelled at a node and may have run there.
    fn is_cancelled_at_a_node(&self, sess: SessId) -> bool {
        let all_nodes = (sess, NodeId(0))..=(sess, NodeId(u32::MAX));
        self.cancelled_setups.range(all_nodes).next().is_some()
    }

    fn send_outcome(&mut self, conn: u64, sess: SessId, outcome: Outcome, group: GroupId) {
        self.mark_active(conn);
        let repeat = self.group_repeats.get(usize::from(group.0)).copied().unwrap_or(Repeat::Never);
        let (cause, wait) = match outcome {
            Outcome::Answered { cause, wait } => (cause, wait),
            Outcome::Withdrawn if repeat == Repeat::Freely => (cause::CONGESTION, self.come_back),
            // A refusal would state that it did not run.
            Outcome::Withdrawn => (cause::TEMPORARY_FAILURE, None),
        };
        self.send_finish(conn, Some(sess), cause, wait);
    }

    /// An open set-up is repeated on a new connection after the old one closed; the answer goes to the new one.
    fn move_setup(&mut self, conn: u64, sess: SessId) {
        self.end_wait_for_return(sess, ViewerPresence::Connected);
        let Some(held) = self.sessions.get_mut(&sess) else { return };
        let old = std::mem::replace(&mut held.conn, conn);
        if self.viewers.get_mut(&old).is_some_and(|v| v.open_setups.remove(&sess)) {
            self.open_setups -= 1;
        }
        self.add_open_setup(conn, sess);
    }

    /// Sends the answer of an active session again, on a new connection; the one that it was sent on ended before
    /// the viewer had read it.
    fn repeat_answer(&mut self, conn: u64, sess: SessId) {
        self.end_wait_for_return(sess, ViewerPresence::Connected);
        let Some(held) = self.sessions.get_mut(&sess) else { return };
        let Some(answer) = &held.answer else { return };
        let bytes = viewer::encode(Some(sess), Reply::Started(&answer.blob));
        let old = std::mem::replace(&mut held.conn, conn);
        if let Some(v) = self.viewers.get_mut(&old) {
            v.active_sessions -= 1;
        }
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.active_sessions += 1;
        }
        self.mark_active(conn);
        self.effects.push(Effect::SendViewer { conn, bytes });
        self.raise_evidence(conn, PeerEvidence::Served);
    }

    /// The connection of an open set-up was lost. If a SETUP is out, its outcome is kept for the viewer, who may repeat the
    /// request on another connection at any moment: cancelling the SETUP now would leave no way to set the session up
    /// without running it twice.
    pub(super) fn await_return(&mut self, sess: SessId) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        if matches!(s.stage, Stage::SetupSent | Stage::InDoubt) {
            let timer = self.timers.set(self.now + RETURN_TIME, Timer::Return { sess });
            s.viewer = ViewerPresence::MayReturn(timer);
        } else {
            self.open_setups -= 1;
            self.viewer_departed(sess);
        }
    }

    /// Ends the wait for a viewer's return, if there is one.
    pub(super) fn end_wait_for_return(&mut self, sess: SessId, presence: ViewerPresence) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        if let ViewerPresence::MayReturn(timer) = s.viewer {
            s.viewer = presence;
            self.timers.cancel(timer);
            self.open_setups -= 1;
        }
    }

    /// The viewer did not return in time: its SETUP is cancelled, or its session is released.
    pub(super) fn return_deadline_passed(&mut self, sess: SessId) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        if s.stage != Stage::Active {
            return self.viewer_departed(sess);
        }
        s.may_have_run = true;
        let node = s.node;
        self.record_outcome(sess, Outcome::Withdrawn);
        self.end_session(sess, node, SetupOutcome::Withdrawn, LoadReport::default());
        self.send_or_queue(node, PendingMessage::Release(sess, cause::NORMAL_CLEARING));
    }

    /// Keeps the answer of a session that became active.
    pub(super) fn record_answer(&mut self, sess: SessId, blob: String) {
        let until = self.now + REPEAT_WINDOW;
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        self.description_bytes += blob.len();
        s.answer = Some(RecordedAnswer { blob, until });
        self.recent_answers.push_back((until, sess));
    }

    /// Records the final answer of a request whose session is about to be removed.
    pub(super) fn record_outcome(&mut self, sess: SessId, outcome: Outcome) {
        let Some(s) = self.sessions.get(&sess) else { return };
        let recorded = RecordedOutcome { digest: s.digest, outcome, until: self.now + REPEAT_WINDOW };
        self.recent_outcomes.insert(sess, recorded, s.may_have_run);
    }

    /// Records that a session is about to end. A request that is repeated afterwards fails, as there is nothing left to
    /// answer it with.
    pub(super) fn record_end(&mut self, sess: SessId) {
        if let Some(s) = self.sessions.get_mut(&sess).filter(|s| s.answer.is_some()) {
            s.may_have_run = true;
            self.record_outcome(sess, Outcome::Answered { cause: cause::TEMPORARY_FAILURE, wait: None });
        }
    }

    /// Forgets the answers and outcomes whose requests cannot be repeated any more.
    pub(super) fn forget_old_outcomes(&mut self) {
        let now = self.now;
        self.recent_outcomes.remove_expired(now);
        while let Some((_, sess)) = self.recent_answers.pop_front_if(|(until, _)| *until <= now) {
            let Some(s) = self.sessions.get_mut(&sess) else { continue };
            if let Some(answer) = s.answer.take_if(|answer| answer.until <= now) {
                self.description_bytes -= answer.blob.len();
            }
        }
    }
}

fn id_in_use(sess: SessId) -> MessageError {
    let why = "session id is already in use".to_owned();
    MessageError { sess: Some(sess), cause: cause::INVALID_CONTENTS, why }
}
