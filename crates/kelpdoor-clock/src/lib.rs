//! The decisions' clock: wall time at the start, monotonic from there, slewed gently towards wall time, so that
//! directors' slots for cold nodes stay in common. A step of the wall clock, a suspended process and a slow round
//! are told apart: the first shows in wall time alone, the others in both.

use std::path::PathBuf;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Of elapsed time; the fastest that the clock runs off its rate. 1 s of error goes within some 200 s.
const SLEW: f64 = 0.005;
/// s; wall time further off than this was stepped, which is reported.
const STEP: f64 = 1.0;
/// s; a file that steps the wall clock in trials is read so often.
const REREAD: f64 = 0.2;

/// The arithmetic alone, with both times passed in.
#[derive(Clone, Copy, Debug)]
pub struct SlewedTime {
    mono: f64,
    now: f64,
    offset: f64,
}

impl SlewedTime {
    /// `mono` and `wall` are seconds read at the same moment.
    pub fn new(mono: f64, wall: f64) -> Self {
        SlewedTime { mono, now: wall, offset: 0.0 }
    }

    /// The time now, never less than before, and by how much wall time was stepped since the last call.
    pub fn now(&mut self, mono: f64, wall: f64) -> (f64, Option<f64>) {
        let gone = (mono - self.mono).max(0.0);
        let free = self.now + gone;
        let off = wall - free;
        let step = (off - self.offset).abs() > STEP;
        let stepped = step.then_some(off - self.offset);
        self.mono = self.mono.max(mono);
        self.now = free + off.clamp(-SLEW * gone, SLEW * gone);
        self.offset = wall - self.now;
        (self.now, stepped)
    }
}

/// Reads the machine's clocks.
pub struct SlewedClock {
    from: Instant,
    slew: SlewedTime,
    /// Of trials: the file, when it is read again, and what it said.
    off: Option<(PathBuf, f64, f64)>,
}

fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

impl Default for SlewedClock {
    fn default() -> Self {
        SlewedClock { from: Instant::now(), slew: SlewedTime::new(0.0, wall()), off: None }
    }
}

impl SlewedClock {
    /// For trials: takes the wall clock to be off by as many seconds as that file says, from now on; 0 where it says none.
    pub fn with_offset_file(file: PathBuf) -> Self {
        SlewedClock { off: Some((file, 0.0, 0.0)), ..SlewedClock::default() }
    }

    pub fn now(&mut self) -> (f64, Option<f64>) {
        let mono = self.from.elapsed().as_secs_f64();
        let off = match &mut self.off {
            None => 0.0,
            Some((file, again, off)) => {
                if mono >= *again {
                    *again = mono + REREAD;
                    let said = std::fs::read_to_string(file).ok().and_then(|s| s.trim().parse::<f64>().ok());
                    *off = said.filter(|s| s.is_finite()).unwrap_or(0.0);
                }
                *off
            }
        };
        self.slew.now(mono, wall() + off)
    }
}

/// Seconds on a clock that nobody sets and that goes on while a process stands still or its machine is suspended: what
/// leases are counted by.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    rate: f64,
}

impl BootClock {
    /// `rate`: 1, or for trials how fast it is taken to run.
    pub fn new(rate: f64) -> Self {
        BootClock { rate }
    }

    pub fn now(&self) -> f64 {
        // It is there on any Linux; without it a time that never moves on would grant leases for ever.
        let read =
            clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        let t = read.expect("a steady clock");
        (t.tv_sec() as f64 + t.tv_nsec() as f64 / 1e9) * self.rate
    }
}

#[cfg(test)]
mod tests;
