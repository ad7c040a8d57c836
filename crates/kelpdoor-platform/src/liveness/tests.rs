use super::*;

#[test]
fn a_dead_process_is_known_by_two_refusals() {
    let mut p = Liveness::new(0.0);
    assert!(p.wants_try(0.1, false, true));
    p.tried(0.1);
    p.failed(0.1, true, false);
    assert!(!p.over() && !p.wants_try(0.2, false, true) && p.wants_try(0.5, false, true));
    p.failed(0.5, true, false);
    assert!(p.over() && p.refused());
}

#[test]
fn a_silent_machine_is_known_in_time_and_a_quiet_one_is_not_taken_for_it() {
    let mut p = Liveness::new(0.0);
    assert!(!p.wants_try(1.0, true, true) && p.wants_try(1.6, true, true));
    p.tried(1.6);
    p.failed(1.85, false, true);
    assert!(p.wants_try(2.0, true, true));
    // Only to release something there it is tried less often.
    assert!(!p.wants_try(3.5, true, false) && p.wants_try(3.7, true, false));
    (1..=6).for_each(|k| p.failed(1.85 + 0.55 * f64::from(k), false, true));
    assert!(!p.over());
    p.failed(5.4, false, true);
    assert!(p.over() && !p.refused());
    p.heard(5.5);
    assert!(!p.over());
}

#[test]
fn a_failure_long_ago_is_no_ground_to_give_up_at_the_next() {
    let mut p = Liveness::new(0.0);
    p.failed(1.0, false, false);
    p.failed(30.0, false, false);
    assert!(!p.over());
    p.failed(32.0, false, false);
    p.failed(34.0, false, false);
    assert!(p.over());
}

#[test]
fn a_full_node_that_speaks_is_not_dead_and_a_process_that_left_its_connections_open_is() {
    let mut p = Liveness::new(0.0);
    for k in 0..9 {
        p.failed(f64::from(k) * 3.0 + 1.5, true, true);
        assert!(!p.over());
        p.heard(f64::from(k) * 3.0 + 3.0);
    }
    (0..11).for_each(|k| p.failed(30.0 + 0.34 * f64::from(k), true, true));
    assert!(!p.over());
    p.failed(33.6, true, true);
    assert!(p.over());
}
