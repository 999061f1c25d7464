use super::*;

#[test]
fn a_flood_is_limited_to_the_configured_rate() {
    let mut limiter = RateLimiter::new(Timestamp(0), 10.0, 100.0);
    let passed = (0..10_000).filter(|&ticks| limiter.try_acquire(Timestamp(ticks))).count();
    assert_eq!(passed, 10 + 99);
    // A clock that runs backwards adds no token, and the later time is kept.
    assert!(!limiter.try_acquire(Timestamp(-50_000)) && limiter.try_acquire(Timestamp(10_100)));
}
