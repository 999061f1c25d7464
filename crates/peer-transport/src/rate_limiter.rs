//! A token bucket that limits how many datagrams are processed, so that a flood of them (of join requests,
//! for example) can't starve a balancer's other work. The caller drops datagrams over the limit without
//! reading them.

use doorproxy::ids::{Ticks, Timestamp};

/// Limits events with a token bucket whose caller reads the clock.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    burst: f64,
    rate_per_second: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl RateLimiter {
    /// Creates a full bucket of `burst` tokens that gains `rate_per_second` tokens per second.
    pub fn new(now: Timestamp, burst: f64, rate_per_second: f64) -> RateLimiter {
        RateLimiter { burst, rate_per_second, tokens: burst, refilled_at: now }
    }

    /// Takes a token if there is one, and returns whether it did. A clock that runs backwards adds no tokens.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let is_acquired = self.tokens >= 1.0;
        if is_acquired {
            self.tokens -= 1.0;
        }
        is_acquired
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = (now - self.refilled_at).max(Ticks::ZERO);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_second).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}

#[cfg(test)]
mod tests;
