//! What the directors share: timers by due time for their cores, and what a pause of the process is for their shells.

use std::collections::BTreeMap;
use std::time::Duration;

/// A gap between rounds longer than this is a pause of the process: what came meanwhile is read first, or every time-out
/// would fire on answers that lie in the sockets.
const PAUSE: Duration = Duration::from_millis(500);
/// How long readers get for that.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Whether a process that meant to wait for `wait` stood still, as `gap` went by since its last round.
pub fn was_paused(gap: Duration, wait: Duration) -> bool {
    gap > PAUSE + wait
}

/// Names a timer that was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(u64, u64);

/// Timers of kind `T`. One that is no longer wanted is taken out, or told by what it names having moved on.
pub struct Timers<T> {
    due: BTreeMap<(u64, u64), T>,
    count: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { due: BTreeMap::new(), count: 0 }
    }
}

fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: f64, timer: T) -> TimerId {
        self.count += 1;
        let due = TimerId(micros(at), self.count);
        self.due.insert((due.0, due.1), timer);
        due
    }

    /// Takes a timer out; one that fired or was taken out before is none any more.
    pub fn cancel(&mut self, due: TimerId) {
        self.due.remove(&(due.0, due.1));
    }

    pub fn pop(&mut self, now: f64) -> Option<T> {
        let first = self.due.first_entry()?;
        (first.key().0 <= micros(now)).then(|| first.remove())
    }

    pub fn next_timer_at(&self) -> Option<f64> {
        // A micro later than written, so that it is due when the time comes.
        self.due.first_key_value().map(|((at, _), _)| (*at + 1) as f64 / 1e6)
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
