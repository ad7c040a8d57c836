//! Follows the change log: carries out what the [`AttemptPlanner`] plans, and hands each event to the core once, in order.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kelpdoor_parts::CATCH_UP_TIME;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::TimedInput;
use super::change_stream::{AttemptError, Report, StreamContext, read_change_stream};
use crate::attempts::{Action, Activity, AttemptId, AttemptPlanner, AttemptState};
use crate::changes::FleetChange;
use crate::core::Input;

/// Maximum reports of attempts that wait to be handled; further attempts wait, and their peers with them.
const REPORT_QUEUE_LENGTH: usize = 4;
/// A wake-up that is later than this is a pause of the process: what lies in the sockets is read before limits apply.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(100);

/// What is known about the change log, for operators.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLogStatus {
    /// Number of the last event that was handed to the core.
    last_event: u64,
    /// When the last byte arrived from it.
    last_heard_at: Option<Instant>,
    /// The attempts in flight, each with its state and the time since which that lasts.
    attempts: Vec<(AttemptId, AttemptState, Instant)>,
}

impl fmt::Display for ChangeLogStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "last event {}, ", self.last_event)?;
        match self.last_heard_at {
            Some(at) => write!(f, "heard {:.1} s ago, ", at.elapsed().as_secs_f64())?,
            None => f.write_str("never heard, ")?,
        }
        write!(f, "{} attempts in flight", self.attempts.len())?;
        for (AttemptId(id), state, since) in &self.attempts {
            write!(f, "; {id} {state:?} for {:.1} s", since.elapsed().as_secs_f64())?;
        }
        Ok(())
    }
}

/// Ends its task when dropped.
struct RunningAttempt {
    address: SocketAddr,
    began_at: Instant,
    activity: Rc<RefCell<Activity>>,
    _task: JoinSet<()>,
}

/// Follows the change log from the last event received.
pub(super) struct ChangeLogFollower {
    /// The planner's times count from here.
    started_at: Instant,
    planner: AttemptPlanner,
    running: BTreeMap<AttemptId, RunningAttempt>,
    address: SocketAddr,
    /// Number of the last event that was handed to the core.
    last_event: u64,
    /// Number of the event that could not be read at the last try.
    unreadable: Option<u64>,
    is_following: bool,
    last_heard_at: Option<Instant>,
    /// Bytes of incomplete events, of all attempts.
    buffered_bytes: Rc<Cell<usize>>,
    report_tx: mpsc::Sender<(AttemptId, Report)>,
    input_tx: mpsc::Sender<TimedInput>,
    status_tx: watch::Sender<ChangeLogStatus>,
}

/// Runs until the task is dropped. Follows `address`, which may change, from the event after `last_event` on.
pub(super) async fn follow_change_log(
    mut address_rx: watch::Receiver<SocketAddr>, last_event: u64, input_tx: mpsc::Sender<TimedInput>,
    rng: fastrand::Rng, status_tx: watch::Sender<ChangeLogStatus>,
) {
    let (report_tx, mut report_rx) = mpsc::channel(REPORT_QUEUE_LENGTH);
    let mut follower = ChangeLogFollower {
        started_at: Instant::now(),
        planner: AttemptPlanner::new(rng),
        running: BTreeMap::new(),
        address: *address_rx.borrow_and_update(),
        last_event,
        unreadable: None,
        is_following: false,
        last_heard_at: None,
        buffered_bytes: Rc::default(),
        report_tx,
        input_tx,
        status_tx,
    };
    loop {
        let wake_at = follower.poll().await;
        // Each branch may be dropped: it takes nothing that it does not return.
        tokio::select! {
            biased;
            Some((id, report)) = report_rx.recv() => follower.handle_report(id, report).await,
            Ok(()) = address_rx.changed() => follower.follow_address(*address_rx.borrow_and_update()),
            () = sleep_until(wake_at.into()) => {}
        }
        if wake_at.elapsed() > MAX_WAKE_DELAY {
            sleep(CATCH_UP_TIME).await;
        }
        while let Ok((id, report)) = report_rx.try_recv() {
            follower.handle_report(id, report).await;
        }
    }
}

impl ChangeLogFollower {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn instant(&self, seconds: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Carries out what is due, and returns when the next call is.
    async fn poll(&mut self) -> Instant {
        for (&id, attempt) in &self.running {
            let activity = *attempt.activity.borrow();
            self.planner.set_activity(id, activity);
            let heard_at = activity.last_byte_at().map(|at| self.instant(at));
            self.last_heard_at = self.last_heard_at.max(heard_at);
        }
        let actions = self.planner.poll(self.now());
        self.apply(actions);
        self.report_following().await;
        self.publish_status();
        let now = self.now();
        self.instant(self.planner.next_poll_at(now))
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Begin(id) => self.begin(id),
                Action::Close(id) => self.close(id),
            }
        }
    }

    fn begin(&mut self, id: AttemptId) {
        let in_flight = self.planner.in_flight();
        tracing::debug!(attempt = id.0, address = %self.address, last = self.last_event, in_flight, "change log: attempt begins");
        if in_flight > 1 {
            tracing::warn!(
                in_flight,
                "change log: slow or silent; beginning another attempt beside the others"
            );
        }
        let activity = Rc::<RefCell<Activity>>::default();
        let context = StreamContext {
            address: self.address,
            last_event: self.last_event,
            started_at: self.started_at,
            activity: activity.clone(),
            buffered_bytes: self.buffered_bytes.clone(),
        };
        let mut task = JoinSet::new();
        let report_tx = self.report_tx.clone();
        task.spawn_local(async move {
            let error = read_change_stream(context, id, &report_tx).await;
            let _ = report_tx.send((id, Report::Ended(error))).await;
        });
        let running =
            RunningAttempt { address: self.address, began_at: Instant::now(), activity, _task: task };
        self.running.insert(id, running);
    }

    /// Closes an attempt that is no longer needed. The planner has forgotten it.
    fn close(&mut self, id: AttemptId) {
        if let Some(attempt) = self.running.remove(&id) {
            let (milliseconds, in_flight) =
                (attempt.began_at.elapsed().as_millis(), self.planner.in_flight());
            tracing::info!(
                attempt = id.0,
                milliseconds,
                in_flight,
                "change log: attempt closed in favour of others"
            );
        }
    }

    async fn handle_report(&mut self, id: AttemptId, report: Report) {
        let now = self.now();
        match report {
            Report::Connected => self.planner.connected(id, now),
            Report::Answered => self.planner.answered(id, now),
            Report::Event(change) => self.hand_over(id, change).await,
            Report::Ended(error) => self.end(id, &error),
        }
    }

    /// Hands an event to the core, unless it has it already. The position moves only once the core has the event.
    async fn hand_over(&mut self, id: AttemptId, change: FleetChange) {
        if change.number <= self.last_event {
            return;
        }
        let Ok(permit) = self.input_tx.reserve().await else { return };
        self.last_event = change.number;
        permit.send((Instant::now(), Input::Change(change)));
        let actions = self.planner.new_event_delivered(id);
        self.apply(actions);
    }

    fn end(&mut self, id: AttemptId, error: &AttemptError) {
        let Some(attempt) = self.running.remove(&id) else { return };
        let (now, in_flight) = (self.now(), self.planner.in_flight());
        let (state, since) = self.planner.state(id).unwrap_or((AttemptState::Connecting, now));
        let (milliseconds, in_state) = (attempt.began_at.elapsed().as_millis(), ((now - since) * 1e3) as u64);
        let (address, last) = (attempt.address, self.last_event);
        tracing::warn!(attempt = id.0, %address, last, ?state, milliseconds, in_state, in_flight, "change log: {error}; reconnecting");
        if let AttemptError::Unreadable { number, .. } = error {
            self.skip_if_unreadable_twice(*number);
        }
        self.planner.ended(id, now);
    }

    /// An event that was unreadable twice would be so again.
    fn skip_if_unreadable_twice(&mut self, number: Option<u64>) {
        if number.is_some() && self.unreadable == number {
            self.last_event = self.last_event.max(number.unwrap_or(0));
        }
        self.unreadable = number;
    }

    fn follow_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        let actions = self.planner.address_changed(self.now());
        self.apply(actions);
    }

    /// Tells the core whether the change log is being followed, if that has changed.
    async fn report_following(&mut self) {
        let is_following = self.planner.is_following(self.now());
        if is_following != self.is_following
            && let Ok(permit) = self.input_tx.reserve().await
        {
            self.is_following = is_following;
            permit.send((Instant::now(), Input::ChangeLogFollowed(is_following)));
        }
    }

    fn publish_status(&self) {
        let state =
            |id: &AttemptId| self.planner.state(*id).map(|(state, since)| (*id, state, self.instant(since)));
        self.status_tx.send_replace(ChangeLogStatus {
            last_event: self.last_event,
            last_heard_at: self.last_heard_at,
            attempts: self.running.keys().filter_map(state).collect(),
        });
    }
}

#[cfg(test)]
mod tests;
