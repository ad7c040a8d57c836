use super::*;

#[test]
fn a_flood_is_refused_then_closed_and_a_pause_helps() {
    let mut gate = Gate::new(2.0, 0.0);
    let at = |gate: &mut Gate, t: f64, n: usize| (0..n).map(|_| gate.pass(t)).collect::<Vec<_>>();
    assert_eq!(at(&mut gate, 0.0, 3), [Pass::Taken, Pass::Taken, Pass::Refused]);
    assert_eq!(at(&mut gate, 0.5, 2), [Pass::Taken, Pass::Refused]);
    assert_eq!(at(&mut gate, 0.5, 8).last(), Some(&Pass::Closed));
}
