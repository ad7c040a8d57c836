use super::*;

#[test]
fn flood_is_refused_then_closed_and_accepted_again_after_pause() {
    let mut limiter = RateLimiter::new(2.0, 0.0);
    let at =
        |limiter: &mut RateLimiter, t: f64, n: usize| (0..n).map(|_| limiter.check(t)).collect::<Vec<_>>();
    assert_eq!(
        at(&mut limiter, 0.0, 3),
        [RateDecision::Accepted, RateDecision::Accepted, RateDecision::Refused]
    );
    assert_eq!(at(&mut limiter, 0.5, 2), [RateDecision::Accepted, RateDecision::Refused]);
    assert_eq!(at(&mut limiter, 0.5, 8).last(), Some(&RateDecision::Close));
}
