//! Restarts of media nodes that the director does not see, on real connections: earlier connections stay open and silent.

mod platform;

use std::time::{SystemTime, UNIX_EPOCH};

use platform::{Harness, Setup, Viewer, settings, start_line};
use serde_json::json;

/// ms; longer than a restart takes at least.
const BEFORE_RESTART: u64 = 700;
/// ms; longer than a node is cold after its start, as a cold node takes set-ups only in the director's time slots.
const WARM_UP: u64 = 1200;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Starts a session at a node and has it accepted there.
fn start_session(harness: &mut Harness, viewer: &mut Viewer, id: u64, node: usize) -> Setup {
    viewer.send(&start_line(id, "open", 4000).replace("home:0", &format!("home:{node}")));
    let setup = harness.next_setup(id);
    assert_eq!(setup.node, node);
    harness.accept_setup(&setup);
    viewer.expect_started(id);
    setup
}

/// Guards against sessions that are never released as nothing connects a reported start with them.
#[test]
fn start_that_the_change_log_reports_ends_the_earlier_sessions_only() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    start_session(&mut harness, &mut viewer, 1, 0);
    Harness::elapse(BEFORE_RESTART);
    let mut entry = harness.host_entry(0, "up");
    entry["born_ms"] = json!(unix_ms());
    harness.change_log.publish(std::slice::from_ref(&entry));
    assert_eq!(viewer.expect_finish(1), 41);
    // The new process runs another session, and its start is reported once more.
    Harness::elapse(WARM_UP);
    let setup = start_session(&mut harness, &mut viewer, 2, 0);
    harness.change_log.publish(&[entry]);
    Harness::elapse(BEFORE_RESTART);
    harness.end_session(&setup);
    assert_eq!(viewer.expect_finish(2), 16, "its node ended it");
}

/// Guards against sessions that are never released when nothing reports the start, as connections open all the while.
#[test]
fn session_that_its_node_never_confirms_ends_without_a_change_log() {
    let mut settings = settings(2);
    settings["specifics"]["toldEveryMs"] = json!(1000.0);
    let mut harness = Harness::start(2, 256, &[], &settings, platform::ChangeLog::new());
    let mut viewer = harness.viewer();
    let silent = start_session(&mut harness, &mut viewer, 1, 0);
    let confirmed = start_session(&mut harness, &mut viewer, 2, 1);
    harness.change_log.set_down(true);
    // The other node confirms its session all the while; this one accepts connections and says nothing.
    for _ in 0..20 {
        harness.notify(&confirmed);
        Harness::elapse(400);
    }
    assert_eq!(viewer.expect_finish(1), 41);
    assert_eq!(harness.next_teardown(1), silent.node, "it may still run it");
    harness.end_session(&confirmed);
    assert_eq!(viewer.expect_finish(2), 16, "its node ended it");
    assert!(harness.log().contains("did not confirm 1 sessions in time"), "{}", harness.log());
}
