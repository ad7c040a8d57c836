//! How fast a socket may send: a token bucket, time passed in.

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    Taken,
    /// Over the rate: answered with `too_fast`.
    Refused,
    /// So far over it that the socket is closed.
    Closed,
}

/// Of the rate; messages that may come at once.
const BURST: f64 = 1.0;
/// Refused in a row, as a part of the rate, before the socket is closed.
const PATIENCE: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct Gate {
    rate: f64,
    left: f64,
    at: f64,
    refused: f64,
}

impl Gate {
    /// `rate` messages a second.
    pub fn new(rate: f64, now: f64) -> Self {
        Gate { rate, left: rate * BURST, at: now, refused: 0.0 }
    }

    pub fn pass(&mut self, now: f64) -> Pass {
        self.left = (self.left + (now - self.at).max(0.0) * self.rate).min(self.rate * BURST);
        self.at = now;
        if self.left >= 1.0 {
            self.left -= 1.0;
            self.refused = 0.0;
            return Pass::Taken;
        }
        self.refused += 1.0;
        if self.refused > self.rate * PATIENCE { Pass::Closed } else { Pass::Refused }
    }
}

#[cfg(test)]
mod tests;
