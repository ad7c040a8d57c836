//! Clocks. [`SlewedClock`] gives the time of the decisions: it starts at wall time, is monotonic, and is slewed towards
//! wall time so that all directors agree on the time slots for cold nodes. It distinguishes a step of the wall clock
//! from a suspended process or a slow round: a step shows in wall time only, the others in both clocks.
//! [`BootClock`] is for leases.

use std::path::PathBuf;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Maximum slew as a fraction of elapsed time; an error of 1 s is corrected within about 200 s.
const MAX_SLEW_RATE: f64 = 0.005;
/// Change of the offset to wall time, in seconds, above which a step of the wall clock is reported.
const STEP_THRESHOLD: f64 = 1.0;
/// Seconds between reads of the offset file.
const OFFSET_READ_INTERVAL: f64 = 0.2;

/// The arithmetic of [`SlewedClock`] without access to the system's clocks. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct SlewedTime {
    monotonic: f64,
    now: f64,
    /// Wall time minus `now` at the last call.
    offset: f64,
}

impl SlewedTime {
    /// Both times have to be read at the same moment.
    pub fn new(monotonic: f64, wall: f64) -> Self {
        SlewedTime { monotonic, now: wall, offset: 0.0 }
    }

    /// The current time, which never decreases, and the size of a step of wall time since the last call, if any.
    pub fn now(&mut self, monotonic: f64, wall: f64) -> (f64, Option<f64>) {
        let elapsed = (monotonic - self.monotonic).max(0.0);
        let unslewed = self.now + elapsed;
        let offset = wall - unslewed;
        let is_step = (offset - self.offset).abs() > STEP_THRESHOLD;
        let step = is_step.then_some(offset - self.offset);
        self.monotonic = self.monotonic.max(monotonic);
        self.now = unslewed + offset.clamp(-MAX_SLEW_RATE * elapsed, MAX_SLEW_RATE * elapsed);
        self.offset = wall - self.now;
        (self.now, step)
    }
}

/// A monotonic clock in seconds since 1970 that is slewed towards the system's wall time.
pub struct SlewedClock {
    started: Instant,
    time: SlewedTime,
    /// In trials: the offset file, when it is read next, and its last value in seconds.
    offset_file: Option<(PathBuf, f64, f64)>,
}

fn wall_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

impl Default for SlewedClock {
    fn default() -> Self {
        SlewedClock { started: Instant::now(), time: SlewedTime::new(0.0, wall_time()), offset_file: None }
    }
}

impl SlewedClock {
    /// For trials: adds the number of seconds in that file to wall time; 0 if the file has no finite number.
    pub fn with_offset_file(file: PathBuf) -> Self {
        SlewedClock { offset_file: Some((file, 0.0, 0.0)), ..SlewedClock::default() }
    }

    /// The current time, which never decreases, and the size of a step of wall time since the last call, if any.
    pub fn now(&mut self) -> (f64, Option<f64>) {
        let monotonic = self.started.elapsed().as_secs_f64();
        let offset = match &mut self.offset_file {
            None => 0.0,
            Some((file, next_read_at, offset)) => {
                if monotonic >= *next_read_at {
                    *next_read_at = monotonic + OFFSET_READ_INTERVAL;
                    let value = std::fs::read_to_string(file).ok().and_then(|s| s.trim().parse::<f64>().ok());
                    *offset = value.filter(|s| s.is_finite()).unwrap_or(0.0);
                }
                *offset
            }
        };
        self.time.now(monotonic, wall_time() + offset)
    }
}

/// The time since boot, by which leases are counted. It is never set, and it advances while the process is stopped or
/// the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    rate: f64,
}

impl BootClock {
    /// `rate` multiplies the time: 1, or another value in trials with clock drift.
    pub fn new(rate: f64) -> Self {
        BootClock { rate }
    }

    /// Seconds since boot, times the rate.
    pub fn now(&self) -> f64 {
        // Every Linux has one of these clocks. Without one this panics, as a time that stands still would make leases
        // last forever.
        let reading =
            clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        let time = reading.expect("a boot-time or monotonic clock");
        (time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9) * self.rate
    }
}

#[cfg(test)]
mod tests;
