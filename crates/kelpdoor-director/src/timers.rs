//! Timers by due time. One that is no longer wanted is told by what it names having moved on, not taken out.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The wait for a session's SETUP of that number is over.
    SetupDue {
        sess: u64,
        number: u8,
    },
    /// A session's answer is due.
    AnswerDue {
        sess: u64,
    },
    /// A session without a socket is over, if it lost the socket with that number of losses.
    Resume {
        sess: u64,
        losses: u32,
    },
    /// A session's token runs out soon, unless it was renewed since.
    SeatEnds {
        sess: u64,
    },
    /// No answer came to a TEARDOWN.
    TornDown {
        sess: u64,
    },
    /// A finished session's answer is forgotten.
    Forget {
        sess: u64,
    },
    ConnectDue {
        node: u32,
        link: u64,
    },
    Redial {
        node: u32,
        link: u64,
    },
    Look {
        node: u32,
        link: u64,
    },
    /// Too much is out on a link: it is closed, with nothing else half done.
    Choked {
        node: u32,
        link: u64,
    },
    SaveList,
}

#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(u64, u64), Timer>,
    count: u64,
}

fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl Timers {
    pub fn set(&mut self, at: f64, timer: Timer) {
        self.count += 1;
        self.due.insert((micros(at), self.count), timer);
    }

    pub fn pop(&mut self, now: f64) -> Option<Timer> {
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
}
