use super::*;

const DEADLINES: ProofDeadlines =
    ProofDeadlines { restarts_are_listed: true, since_proof: 7.0, since_outage: 4.0 };

/// Incarnations with an active session in the epoch of a connection that opened at 0, and that epoch.
fn with_session() -> (Incarnations, Epoch) {
    let mut incarnations = Incarnations::new(-100.0);
    let epoch = incarnations.connection_opened(0.0, false);
    incarnations.session_began(epoch);
    (incarnations, epoch)
}

#[test]
fn new_connection_proves_nothing_about_earlier_sessions() {
    let (mut incarnations, first) = with_session();
    let second = incarnations.connection_opened(3.0, true);
    incarnations.message_received(second, 4.0);
    assert!(!incarnations.is_same(first, second));
    assert_eq!(incarnations.sessions_unconfirmed_since(1.0), 1);
    assert!(
        !incarnations.is_overdue(first, 6.9, &DEADLINES) && incarnations.is_overdue(first, 7.0, &DEADLINES)
    );
    // The session on the new connection is not affected.
    incarnations.session_began(second);
    assert!(!incarnations.is_overdue(second, 7.0, &DEADLINES));
}

#[test]
fn later_message_on_an_earlier_connection_proves_what_lies_between() {
    let (mut incarnations, first) = with_session();
    let [second, third] = [3.0, 5.0].map(|at| incarnations.connection_opened(at, true));
    incarnations.message_received(first, 4.0);
    assert!(incarnations.is_same(first, second) && !incarnations.is_same(first, third));
    incarnations.message_received(second, 6.0);
    assert!(incarnations.is_same(first, third));
    assert!(!incarnations.is_overdue(first, 1000.0, &DEADLINES), "nothing indicates a restart since");
    let unlisted = ProofDeadlines { restarts_are_listed: false, ..DEADLINES };
    assert!(
        !incarnations.is_overdue(first, 12.9, &unlisted) && incarnations.is_overdue(first, 13.0, &unlisted)
    );
}

#[test]
fn message_that_was_sent_before_a_connection_opened_does_not_prove_it() {
    let (mut incarnations, first) = with_session();
    let second = incarnations.connection_opened(3.0, true);
    // Read after a pause of this process, during which it may have arrived at any time.
    incarnations.message_received(first, 2.0);
    assert!(!incarnations.is_same(first, second));
}

#[test]
fn message_about_a_session_proves_its_incarnation_on_any_connection() {
    let (mut incarnations, first) = with_session();
    let second = incarnations.connection_opened(3.0, true);
    incarnations.session_confirmed(first, second, 4.0);
    assert!(incarnations.is_same(first, second) && !incarnations.is_overdue(first, 11.0, &DEADLINES));
    // The order of the two does not matter.
    let third = incarnations.connection_opened(6.0, true);
    incarnations.session_confirmed(third, second, 7.0);
    assert!(incarnations.is_same(first, third));
}

#[test]
fn connection_that_opens_right_after_a_message_continues_the_incarnation() {
    let (mut incarnations, first) = with_session();
    incarnations.message_received(first, 10.0);
    let second = incarnations.connection_opened(10.0 + MIN_RESTART_TIME * 0.9, false);
    let third = incarnations.connection_opened(12.0, false);
    assert!(incarnations.is_same(first, second) && !incarnations.is_same(second, third));
}

#[test]
fn process_at_a_new_address_may_run_beside_the_earlier_one() {
    let (mut incarnations, first) = with_session();
    incarnations.address_changed();
    let second = incarnations.connection_opened(0.1, false);
    incarnations.message_received(first, 1.0);
    assert!(!incarnations.is_same(first, second));
    incarnations.session_confirmed(first, second, 2.0);
    assert!(incarnations.is_same(first, second));
}

#[test]
fn deadline_runs_from_the_last_proof_and_only_the_first_recovery_extends_it() {
    let (mut incarnations, first) = with_session();
    let unlisted = ProofDeadlines { restarts_are_listed: false, ..DEADLINES };
    for at in [5.0, 9.0, 13.0] {
        incarnations.connection_opened(at, true);
    }
    assert!(
        !incarnations.is_overdue(first, 8.9, &DEADLINES) && incarnations.is_overdue(first, 9.0, &DEADLINES)
    );
    assert!(
        !incarnations.is_overdue(first, 6.9, &unlisted) && incarnations.is_overdue(first, 7.0, &unlisted)
    );
}

#[test]
fn incarnations_without_sessions_and_connections_are_forgotten() {
    let mut incarnations = Incarnations::new(0.0);
    let mut epochs: Vec<Epoch> = Vec::new();
    for k in 0..100 {
        incarnations.prune(&epochs[epochs.len().saturating_sub(2)..]);
        epochs.push(incarnations.connection_opened(f64::from(k) * 10.0, false));
        incarnations.session_began(epochs[k as usize]);
        incarnations.session_ended(epochs[k as usize]);
        assert!(incarnations.known.len() <= 4);
    }
    // A forgotten epoch is not taken for another one.
    incarnations.session_began(epochs[1]);
    incarnations.message_received(epochs[1], 2000.0);
    assert!(
        !incarnations.is_same(epochs[1], epochs[99]) && incarnations.sessions_unconfirmed_since(3000.0) == 0
    );
}
