//! Token bucket that limits the message rate of a socket. The caller passes the time in.

/// What to do with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    Accepted,
    /// The message exceeds the rate and is answered with `too_fast`.
    Refused,
    /// The sender exceeds the rate by so much that its socket is closed.
    Close,
}

/// Size of the bucket in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// The socket is closed after this many seconds' worth of the rate has been refused in a row.
const MAX_REFUSED_SECONDS: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    tokens: f64,
    updated_at: f64,
    refused: f64,
}

impl RateLimiter {
    /// `rate` in messages per second, `now` in seconds.
    pub fn new(rate: f64, now: f64) -> Self {
        RateLimiter { rate, tokens: rate * BURST_SECONDS, updated_at: now, refused: 0.0 }
    }

    /// Counts one message at time `now`.
    pub fn check(&mut self, now: f64) -> RateDecision {
        self.tokens =
            (self.tokens + (now - self.updated_at).max(0.0) * self.rate).min(self.rate * BURST_SECONDS);
        self.updated_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.refused = 0.0;
            return RateDecision::Accepted;
        }
        self.refused += 1.0;
        if self.refused > self.rate * MAX_REFUSED_SECONDS {
            RateDecision::Close
        } else {
            RateDecision::Refused
        }
    }
}

#[cfg(test)]
mod tests;
