//! Code that both directors share: timers for their state machines, and the detection of pauses of the process for
//! their event loops.

use std::collections::BTreeMap;
use std::time::Duration;

/// Longest delay of a round that is not taken as a pause of the process. After a pause the sockets are read before the
/// timers run; otherwise timeouts would fire although the responses are already in the sockets.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(500);
/// How long the sockets are read after a pause before timers run.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Whether the process was paused: it intended to wait for `wait`, and `gap` has passed since its last round.
pub fn was_paused(gap: Duration, wait: Duration) -> bool {
    gap > MAX_ROUND_DELAY + wait
}

/// Identifies a timer that was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(u64, u64);

/// A queue of timers with values of type `T`. A timer that is no longer needed is cancelled, or its owner ignores it when
/// it fires.
pub struct Timers<T> {
    /// By due time in microseconds and serial number.
    timers: BTreeMap<(u64, u64), T>,
    last_serial: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { timers: BTreeMap::new(), last_serial: 0 }
    }
}

fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl<T> Timers<T> {
    /// Sets a timer that is due at `at` seconds.
    pub fn set(&mut self, at: f64, timer: T) -> TimerId {
        self.last_serial += 1;
        let id = TimerId(micros(at), self.last_serial);
        self.timers.insert((id.0, id.1), timer);
        id
    }

    /// Cancels a timer; does nothing if it has fired or was cancelled before.
    pub fn cancel(&mut self, id: TimerId) {
        self.timers.remove(&(id.0, id.1));
    }

    /// Removes the earliest timer that is due at `now`, in seconds.
    pub fn pop(&mut self, now: f64) -> Option<T> {
        let first = self.timers.first_entry()?;
        (first.key().0 <= micros(now)).then(|| first.remove())
    }

    /// The time in seconds from which [`pop`](Self::pop) returns the earliest timer.
    pub fn next_timer_at(&self) -> Option<f64> {
        // One microsecond later than stored, so that rounding cannot put this time before the timer is due.
        self.timers.first_key_value().map(|((micros, _), _)| (*micros + 1) as f64 / 1e6)
    }

    pub fn len(&self) -> usize {
        self.timers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }
}
