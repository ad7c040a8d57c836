//! Viewer connections, their set-ups, and what is sent to them.

use std::collections::BTreeSet;

use kelpdoor::ids::{GroupId, NodeId, SessId};
use kelpdoor::round::{LoadReport, NewSession, SetupOutcome};

use super::repeats::Outcome;
use super::{
    ANSWER_MARGIN, CoreState, Effect, MAX_CANCELLED_SETUPS, MAX_SETUPS, MAX_SETUPS_PER_VIEWER, PeerEvidence,
    PendingMessage, SILENT_VIEWER_END_DELAY, Session, SessionEnd, Stage, Timer, UndeliveredEnd,
    ViewerConnection, ViewerPresence,
};
use crate::incarnations::Epoch;
use crate::viewer::{self, MessageError, Reply, SetupRequest, cause};

impl CoreState {
    pub(super) fn viewer_connected(&mut self, conn: u64) {
        if self.viewers.len() >= self.max_viewers {
            // Evicts the connection that has been without useful input for the longest; never one with open
            // set-ups.
            let idle = self.viewers.iter().filter(|(_, v)| v.open_setups.is_empty());
            let Some((&oldest, _)) = idle.min_by(|a, b| {
                (a.1.evidence, a.1.active_sessions > 0, a.1.last_active)
                    .partial_cmp(&(b.1.evidence, b.1.active_sessions > 0, b.1.last_active))
                    .unwrap_or(std::cmp::Ordering::Equal)
            }) else {
                return self.effects.push(Effect::CloseViewer { conn });
            };
            self.close_viewer(oldest);
        }
        let viewer = ViewerConnection {
            open_setups: BTreeSet::new(),
            last_active: self.now,
            evidence: PeerEvidence::Silent,
            active_sessions: 0,
            misbehaved: false,
        };
        self.viewers.insert(conn, viewer);
    }

    pub(super) fn handle_viewer_message(
        &mut self, conn: u64, waited: f64, message: Result<viewer::ViewerMessage, MessageError>,
    ) {
        if !self.viewers.contains_key(&conn) {
            return self.handle_late_message(conn, message);
        }
        match message {
            Ok(viewer::ViewerMessage::Start(sess, request)) => {
                self.start_session(conn, waited, sess, request);
                // A rejected set-up is no evidence.
                let misbehaved = self.viewers.get(&conn).is_none_or(|v| v.misbehaved);
                if !misbehaved {
                    self.raise_evidence(conn, PeerEvidence::Viewer);
                }
            }
            Ok(viewer::ViewerMessage::Finish(sess)) => {
                self.handle_finish(conn, sess);
                self.raise_evidence(conn, PeerEvidence::Viewer);
            }
            Ok(viewer::ViewerMessage::Echo(sess)) => {
                self.mark_active(conn);
                self.raise_evidence(conn, PeerEvidence::Viewer);
                let bytes = viewer::encode(Some(sess), Reply::Echoed);
                self.effects.push(Effect::SendViewer { conn, bytes });
            }
            Ok(viewer::ViewerMessage::Ignored) => self.raise_evidence(conn, PeerEvidence::Viewer),
            Err(error) => self.reject_message(conn, &error),
        }
    }

    /// Handles a message that was read after its connection was evicted or its peer had left. Such a set-up does not begin; it
    /// is refused if the connection can still take that. An end or a cancellation still counts.
    fn handle_late_message(&mut self, conn: u64, message: Result<viewer::ViewerMessage, MessageError>) {
        match message {
            Ok(viewer::ViewerMessage::Start(sess, request)) if request.at.is_none() => {
                self.refuse_busy(conn, sess)
            }
            Ok(viewer::ViewerMessage::Finish(sess)) => self.handle_finish(conn, sess),
            _ => {}
        }
    }

    pub(super) fn mark_active(&mut self, conn: u64) {
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.last_active = self.now;
        }
    }

    /// Records what a message shows about a connection's peer. Undelivered ends are sent on it if that makes it fit
    /// for them.
    pub(super) fn raise_evidence(&mut self, conn: u64, evidence: PeerEvidence) {
        let Some(v) = self.viewers.get_mut(&conn).filter(|v| v.evidence < evidence) else { return };
        v.evidence = evidence;
        self.send_undelivered_ends();
    }

    /// Rejects an invalid message, and closes its connection once no set-up is open on it. If the message names a held
    /// session, the error does not, as it would report the end of that session.
    pub(super) fn reject_message(&mut self, conn: u64, error: &MessageError) {
        self.push_log(format!("viewer connection {conn}: {}", error.why));
        match error.sess {
            Some(sess) if self.fails_own_setup(conn, sess) => self.fail_ambiguous_setup(conn, sess),
            Some(sess) if self.sessions.contains_key(&sess) => {
                self.send_finish(conn, None, error.cause, None)
            }
            sess => self.send_finish(conn, sess, error.cause, None),
        }
        self.close_when_idle(conn);
    }

    /// Whether a message with the id of a set-up that is open on the same connection makes that one fail, as the two cannot
    /// be distinguished. A session that arrived on another connection is not affected.
    fn fails_own_setup(&self, conn: u64, sess: SessId) -> bool {
        self.sessions
            .get(&sess)
            .is_some_and(|s| s.conn == conn && s.stage != Stage::Active && s.viewer != ViewerPresence::Gone)
    }

    fn fail_ambiguous_setup(&mut self, conn: u64, sess: SessId) {
        self.send_finish(conn, Some(sess), cause::INVALID_CONTENTS, None);
        self.viewer_departed(sess);
        self.remove_open_setup(conn, sess);
    }

    pub(super) fn close_when_idle(&mut self, conn: u64) {
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.misbehaved = true;
        if v.open_setups.is_empty() {
            self.close_viewer(conn);
        }
    }

    /// Closes a viewer connection; nobody is left to answer for its open set-ups.
    pub(super) fn close_viewer(&mut self, conn: u64) {
        let Some(v) = self.viewers.remove(&conn) else { return };
        self.open_setups -= v.open_setups.len();
        v.open_setups.into_iter().for_each(|sess| self.viewer_departed(sess));
        self.effects.push(Effect::CloseViewer { conn });
    }

    /// A viewer connection ended, not by this side. Its viewer may repeat the set-ups that are open.
    pub(super) fn viewer_disconnected(&mut self, conn: u64) {
        let Some(v) = self.viewers.remove(&conn) else { return };
        v.open_setups.into_iter().for_each(|sess| self.await_return(sess));
    }

    pub(super) fn start_session(&mut self, conn: u64, waited: f64, sess: SessId, request: Box<SetupRequest>) {
        let invalid = |why: &str| MessageError {
            sess: Some(sess),
            cause: cause::INVALID_CONTENTS,
            why: why.to_owned(),
        };
        let Some(group) = self.names.groups.iter().position(|g| *g == request.class) else {
            return self.reject_message(conn, &invalid("unknown class"));
        };
        if request.first_cell >= self.cells
            || !(1..=self.cells).contains(&request.cells)
            || request.best_rung >= self.rungs
        {
            return self.reject_message(conn, &invalid("home, copies or top out of range"));
        }
        let group = GroupId(group as u8);
        if request.at.is_some() && self.sessions.contains_key(&sess) {
            return self.mark_active(conn);
        }
        if request.at.is_none() && self.handle_repeat(conn, sess, &request, group) {
            return;
        }
        let wanted = NewSession {
            sess,
            group,
            title: request.title,
            setup_timeout: request.time_left - waited - ANSWER_MARGIN,
            first_cell: request.first_cell,
            cells: request.cells,
            best_rung: request.best_rung,
        };
        let mut session = Session {
            conn,
            stage: Stage::Requested,
            node: NodeId(0),
            epoch: Epoch::default(),
            link: 0,
            rung: 0,
            answer_deadline: self.now + wanted.setup_timeout,
            setup_deadline: self.now,
            setup_sent_at: self.now,
            viewer: ViewerPresence::Connected,
            may_have_run: false,
            digest: request.digest(),
            answer: None,
            answer_timer: None,
            setup_timer: None,
            request: None,
        };
        if let Some(at) = &request.at {
            self.mark_active(conn);
            let Some(&node) = self.node_ids.get(at).filter(|_| self.active_sessions < self.max_sessions)
            else {
                return self.push_log(format!(
                    "ignored a session handed over at {at}: unknown node or too many sessions"
                ));
            };
            // It was set up by a previous process of the director, and is active at its node now.
            (session.stage, session.node) = (Stage::Active, node);
            let now = self.now;
            let epoch = self
                .nodes
                .get_mut(&node)
                .map(|n| n.incarnations.session_handed_over(now))
                .unwrap_or_default();
            self.sessions.insert(sess, session);
            self.activate_session(sess, node, epoch);
            self.round.handed_over.push((wanted, node));
            return self.raise_evidence(conn, PeerEvidence::HandedOver);
        }
        self.setups_received += 1;
        let full = self.open_setups >= MAX_SETUPS
            || self.cancelled_setups.len() >= MAX_CANCELLED_SETUPS
            || self.recent_outcomes.is_full()
            || self.active_sessions >= self.max_sessions
            || self.description_bytes + request.blob.len() > self.max_description_bytes
            || self.viewers.get(&conn).is_some_and(|v| v.open_setups.len() >= MAX_SETUPS_PER_VIEWER);
        // The session logic ignores an id that departs in the same round.
        let departed = self.round.departures.contains(&sess);
        if full || departed || self.refusing_setups || wanted.setup_timeout <= 0.0 {
            return self.refuse_busy(conn, sess);
        }
        self.description_bytes += request.blob.len();
        session.request = Some(request);
        let latest = session.answer_deadline + ANSWER_MARGIN / 2.0;
        session.answer_timer = Some(self.timers.set(latest, Timer::Answer { sess }));
        self.sessions.insert(sess, session);
        self.add_open_setup(conn, sess);
        self.round.new_sessions.push(wanted);
    }

    pub(super) fn refuse_busy(&mut self, conn: u64, sess: SessId) {
        self.mark_active(conn);
        self.answer_counts[1] += 1;
        self.send_finish(conn, Some(sess), cause::CONGESTION, self.come_back);
    }

    /// The session logic never answered this set-up, which is a fault in it; the set-up fails at its
    /// deadline.
    pub(super) fn answer_deadline_passed(&mut self, sess: SessId) {
        let Some(s) =
            self.sessions.get(&sess).filter(|s| s.stage != Stage::Active && s.viewer != ViewerPresence::Gone)
        else {
            return;
        };
        let conn = s.conn;
        self.push_log(format!("session {} had no answer by its deadline", viewer::format_session_id(sess)));
        self.answer_counts[2] += 1;
        self.send_finish(conn, Some(sess), cause::TEMPORARY_FAILURE, None);
        self.record_outcome(sess, Outcome::Answered { cause: cause::TEMPORARY_FAILURE, wait: None });
        self.viewer_departed(sess);
        self.remove_open_setup(conn, sess);
    }

    /// Removes a session with its timers.
    pub(super) fn remove_session(&mut self, sess: SessId) -> Option<Session> {
        let s = self.sessions.remove(&sess)?;
        self.description_bytes -= s.request.as_ref().map_or(0, |a| a.blob.len());
        self.description_bytes -= s.answer.as_ref().map_or(0, |a| a.blob.len());
        if let ViewerPresence::MayReturn(timer) = s.viewer {
            self.open_setups -= 1;
            self.timers.cancel(timer);
        }
        [s.answer_timer, s.setup_timer].into_iter().flatten().for_each(|timer| self.timers.cancel(timer));
        Some(s)
    }

    pub(super) fn add_open_setup(&mut self, conn: u64, sess: SessId) {
        let now = self.now;
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.last_active = now;
            self.open_setups += usize::from(v.open_setups.insert(sess));
        }
    }

    /// A viewer cancels a set-up or ends an active session.
    pub(super) fn handle_finish(&mut self, conn: u64, sess: SessId) {
        let Some(s) = self.sessions.get(&sess) else { return };
        if s.stage == Stage::Active {
            let node = s.node;
            self.mark_active(conn);
            self.end_session(sess, node, SetupOutcome::Withdrawn, LoadReport::default());
            self.send_or_queue(node, PendingMessage::Release(sess, cause::NORMAL_CLEARING));
        } else if s.conn == conn && s.viewer != ViewerPresence::Gone
            || matches!(s.viewer, ViewerPresence::MayReturn(_))
        {
            self.viewer_departed(sess);
            self.remove_open_setup(conn, sess);
        }
    }

    /// The viewer of a set-up gave up or disconnected and expects no answer.
    pub(super) fn viewer_departed(&mut self, sess: SessId) {
        self.end_wait_for_return(sess, ViewerPresence::Gone);
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.viewer = ViewerPresence::Gone;
        self.round.departures.push(sess);
        match s.stage {
            // No SETUP is pending, so no later event would remove the session.
            Stage::Requested => drop(self.remove_session(sess)),
            // Its link may open before the session logic runs, and a cancellation must not affect SETUPs that
            // were sent.
            Stage::WaitingForLink => self.finish_setup(sess, SetupOutcome::NeverSent, LoadReport::default()),
            Stage::SetupSent | Stage::InDoubt | Stage::Active => {}
        }
    }

    pub(super) fn remove_open_setup(&mut self, conn: u64, sess: SessId) {
        let now = self.now;
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.last_active = now;
        if v.open_setups.remove(&sess) {
            self.open_setups -= 1;
        }
        if v.misbehaved && v.open_setups.is_empty() {
            self.close_viewer(conn);
        }
    }

    /// Sends the final answer to a set-up that does not become a session, and removes it.
    pub(super) fn send_final_answer(&mut self, sess: SessId, cause: u32, wait: Option<f64>) {
        let Some(s) = self.sessions.get(&sess) else { return };
        let conn = s.conn;
        self.send_finish(conn, Some(sess), cause, wait);
        self.remove_open_setup(conn, sess);
        self.record_outcome(sess, Outcome::Answered { cause, wait });
        self.remove_session(sess);
    }

    pub(super) fn send_finish(&mut self, conn: u64, sess: Option<SessId>, cause: u32, wait: Option<f64>) {
        let bytes = viewer::encode(sess, Reply::Finish { cause, wait });
        self.effects.push(Effect::SendViewer { conn, bytes });
    }

    /// Reports the end of a session: on its own connection if that is open, else on the one with the strongest
    /// evidence of a viewer, else on the next one that is fit for it.
    pub(super) fn report_end(&mut self, end: SessionEnd, own: Option<u64>) {
        let at = own.filter(|conn| self.may_report_on(*conn, PeerEvidence::Viewer));
        match at.or_else(|| self.best_connection_for_ends(PeerEvidence::Viewer)) {
            Some(conn) => self.send_end(conn, end),
            None => self.queue_end(UndeliveredEnd { end, since: self.now }),
        }
    }

    fn may_report_on(&self, conn: u64, least: PeerEvidence) -> bool {
        self.viewers.get(&conn).is_some_and(|v| v.evidence >= least && !v.misbehaved)
    }

    fn best_connection_for_ends(&self, least: PeerEvidence) -> Option<u64> {
        let fit = self.viewers.iter().filter(|(conn, _)| self.may_report_on(**conn, least));
        fit.max_by_key(|(conn, v)| (v.evidence, **conn)).map(|(&conn, _)| conn)
    }

    fn send_end(&mut self, conn: u64, end: SessionEnd) {
        let bytes = viewer::encode(Some(end.sess), Reply::Finish { cause: end.cause, wait: None });
        self.effects.push(Effect::ReportEnd { conn, bytes, end });
    }

    fn queue_end(&mut self, undelivered: UndeliveredEnd) {
        if self.undelivered_ends.len() >= self.max_sessions {
            self.undelivered_ends.pop_front();
        }
        self.undelivered_ends.push_back(undelivered);
    }

    /// Sends the undelivered ends for which a connection is open now. An end that has waited for too long is sent on
    /// a silent connection too.
    pub(super) fn send_undelivered_ends(&mut self) {
        if self.undelivered_ends.is_empty() {
            return;
        }
        let viewer = self.best_connection_for_ends(PeerEvidence::Viewer);
        let any = self.best_connection_for_ends(PeerEvidence::Silent);
        for undelivered in std::mem::take(&mut self.undelivered_ends) {
            let waited = self.now - undelivered.since;
            let at = if waited < SILENT_VIEWER_END_DELAY { viewer } else { any };
            match at {
                Some(conn) => self.send_end(conn, undelivered.end),
                None => self.queue_end(undelivered),
            }
        }
    }
}
