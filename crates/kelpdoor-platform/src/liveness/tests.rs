use super::*;

#[test]
fn two_refusals_prove_the_process_gone() {
    let mut p = Liveness::new(0.0);
    assert!(p.should_connect(0.1, false, true));
    p.record_attempt(0.1);
    p.record_failure(0.1, true, false);
    assert!(!p.is_lost(0.2) && !p.should_connect(0.2, false, true) && p.should_connect(0.5, false, true));
    p.record_failure(0.5, true, false);
    assert!(p.is_lost(0.5) && p.process_is_gone());
}

#[test]
fn silent_machine_is_lost_in_time_and_quiet_one_is_not() {
    let mut p = Liveness::new(0.0);
    assert!(!p.should_connect(1.0, true, true) && p.should_connect(1.6, true, true));
    p.record_attempt(1.6);
    p.record_failure(1.85, false, true);
    assert!(p.should_connect(2.0, true, true));
    // With only releases pending it is retried less often.
    assert!(!p.should_connect(3.5, true, false) && p.should_connect(3.7, true, false));
    (1..=9).for_each(|k| p.record_failure(1.85 + 0.55 * f64::from(k), false, true));
    // A node that was cut off for 5 or 6 s is in contact again by then.
    assert!(!p.is_lost(7.3));
    assert!(p.is_lost(7.5) && !p.process_is_gone());
    p.record_contact(7.6);
    assert!(!p.is_lost(7.7));
}

#[test]
fn failures_far_apart_do_not_add_up() {
    let mut p = Liveness::new(0.0);
    p.record_failure(1.0, false, false);
    p.record_failure(30.0, false, false);
    assert!(!p.is_lost(30.0));
    p.record_failure(32.0, false, false);
    p.record_failure(34.0, false, false);
    assert!(p.is_lost(34.0));
}

#[test]
fn refusals_with_open_connections_lose_only_a_silent_node() {
    let mut p = Liveness::new(0.0);
    for k in 0..9 {
        p.record_failure(f64::from(k) * 3.0 + 1.5, true, true);
        assert!(!p.is_lost(f64::from(k) * 3.0 + 1.5));
        p.record_contact(f64::from(k) * 3.0 + 3.0);
    }
    (0..=12).for_each(|k| p.record_failure(30.0 + 0.34 * f64::from(k), true, true));
    assert!(!p.is_lost(34.3));
    assert!(p.is_lost(34.5));
}
