//! What the directors' cores without I/O share: timers by due time. One that is no longer wanted is told by what it
//! names having moved on, not taken out.

use std::collections::BTreeMap;

/// Timers of kind `T`.
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
    pub fn set(&mut self, at: f64, timer: T) {
        self.count += 1;
        self.due.insert((micros(at), self.count), timer);
    }

    pub fn pop(&mut self, now: f64) -> Option<T> {
        let first = self.due.first_entry()?;
        (first.key().0 <= micros(now)).then(|| first.remove())
    }

    pub fn next(&self) -> Option<f64> {
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
