//! Viewers, connections, sessions and the process that end while a response is pending: each test forces one unfavourable
//! order of events on real connections to the real program (`docs/platform.md` lists the cases).

mod platform;

use kelpdoor_platform::core::RESERVED_SOCKETS;
use nix::sys::signal::Signal;
use platform::{
    AUTO_ANSWERED, ChangeLog, Departure, Harness, NodeEventKind, Viewer, finish_line, format_tag,
    release_request, settings, setup_response, start_line, start_line_with_blob,
};
use serde_json::json;

/// Asserts that the director sent no SETUP for a session.
fn assert_no_setup(harness: &mut Harness, id: u64, case: &str) {
    harness.barrier();
    assert_eq!(harness.setup_count(id), 0, "{case}: a SETUP for a viewer that is gone\n{}", harness.log());
}

/// Settings with one send per session, so that a SETUP waits for its connection until the viewer's deadline.
fn single_send_settings() -> serde_json::Value {
    let mut settings = settings(1);
    settings["allowed"]["sendCap"] = json!(1);
    settings
}

// A viewer departs.

#[test]
fn viewer_gone_before_its_start_is_read_sends_no_setup() {
    let mut harness = Harness::new(1);
    for (id, departure) in (1..).zip(Departure::ALL) {
        let mut viewer = harness.viewer();
        viewer.echo();
        let connection = harness.while_stopped(|_| {
            viewer.start(id, "open");
            viewer.leave(departure, id)
        });
        assert_no_setup(&mut harness, id, &format!("{departure:?}"));
        drop(connection);
    }
}

#[test]
fn viewer_gone_while_its_setup_waits_for_a_connection_sends_no_setup() {
    for departure in Departure::ALL {
        let mut harness = Harness::start(1, 256, &[0], &single_send_settings(), ChangeLog::new());
        let mut viewer = harness.viewer();
        viewer.start(1, "open");
        viewer.echo();
        let connection = harness.while_stopped(|harness| {
            let connection = viewer.leave(departure, 1);
            harness.unblock(0);
            harness.wait_for("the late connection", |event| matches!(event.kind, NodeEventKind::Connected));
            connection
        });
        assert_no_setup(&mut harness, 1, &format!("{departure:?}"));
        drop(connection);
    }
}

#[test]
fn viewer_gone_while_its_uncancellable_setup_waits_sends_no_setup() {
    let mut settings = single_send_settings();
    settings["allowed"]["mayCancel"] = json!(false);
    let mut harness = Harness::start(1, 256, &[0], &settings, ChangeLog::new());
    let mut viewer = harness.viewer();
    viewer.start(1, "open");
    viewer.echo();
    drop(viewer);
    // The director reads the loss before the connection comes up.
    let mut other = harness.viewer();
    other.echo();
    harness.unblock(0);
    assert_no_setup(&mut harness, 1, "set-ups may not be cancelled");
}

#[test]
fn viewer_gone_while_its_setup_is_pending_has_it_torn_down() {
    let mut harness = Harness::new(1);
    for (id, departure) in (1..).zip(Departure::ALL) {
        let mut viewer = harness.viewer();
        viewer.start(id, "open");
        let setup = harness.next_setup(id);
        // The response arrives first; the director finds both at once.
        let connection = harness.while_stopped(|harness| {
            harness.accept_setup(&setup);
            viewer.leave(departure, id)
        });
        harness.next_teardown(id);
        drop(connection);
        harness.barrier();
        assert_eq!(harness.setup_count(id), 1, "{departure:?}");
    }
}

#[test]
fn viewer_gone_as_its_setup_is_refused_is_not_placed_again() {
    let mut harness = Harness::new(3);
    for (id, departure) in (1..).zip(Departure::ALL) {
        for (k, status) in [453, 454, 500, 504].into_iter().enumerate() {
            let id = id * 16 + k as u64;
            let mut viewer = harness.viewer();
            viewer.start_anywhere(id, "open", 3);
            let setup = harness.next_setup(id);
            let connection = harness.while_stopped(|harness| {
                harness.refuse_setup(&setup, status);
                viewer.leave(departure, id)
            });
            harness.barrier();
            assert_eq!(harness.setup_count(id), 1, "{departure:?} {status}");
            drop(connection);
        }
    }
}

#[test]
fn viewer_gone_as_its_setup_times_out_or_loses_its_connection_is_not_placed_again() {
    let mut harness = Harness::new(3);
    for (id, departure) in (1..).zip(Departure::ALL) {
        let mut viewer = harness.viewer();
        viewer.start_anywhere(id, "open", 3);
        let setup = harness.next_setup(id);
        // The SETUP's own timeout passes while the process is stopped, for less time than counts as a pause.
        let connection = harness.while_stopped(|_| {
            let connection = viewer.leave(departure, id);
            Harness::elapse(400);
            connection
        });
        harness.barrier();
        assert_eq!(harness.setup_count(id), 1, "{departure:?}: timed out");
        drop(connection);
        let mut viewer = harness.viewer();
        let lost_id = id + 16;
        viewer.start_anywhere(lost_id, "open", 3);
        let setup = {
            let _ = setup;
            harness.next_setup(lost_id)
        };
        let connection = harness.while_stopped(|harness| {
            harness.close(setup.node, setup.conn, true);
            viewer.leave(departure, lost_id)
        });
        harness.barrier();
        assert_eq!(harness.setup_count(lost_id), 1, "{departure:?}: lost");
        drop(connection);
    }
}

#[test]
fn hundreds_of_starts_withdrawn_at_once_send_no_setup() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    viewer.echo();
    let starts: String = (0x1000..0x1190).map(|id| start_line(id, "open", 4000)).collect();
    let withdrawals: String = (0x1000..0x1190).map(finish_line).collect();
    harness.while_stopped(|_| viewer.send(&format!("{starts}{withdrawals}")));
    harness.barrier();
    let setups = harness.setups.iter().filter(|x| (0x1000..0x1190).contains(&x.id)).count();
    // One read takes only a part; the rest stays in the socket until the next read.
    assert_eq!(setups, 0, "{setups} SETUPs");
}

// Guards against requests that are sent on although their client has left, because much before its close is unread.
#[test]
fn viewer_gone_with_much_unread_sends_no_setup() {
    let ids = 0x1000..0x1100;
    for departure in [Departure::Close, Departure::HalfClose] {
        let mut harness = Harness::new(1);
        let mut viewer = harness.viewer();
        viewer.echo();
        let blob = "x".repeat(1500);
        let starts: String = ids.clone().map(|id| start_line_with_blob(id, "open", 4000, &blob)).collect();
        // The harness sees the end of the connection first, so that what the director reads is complete.
        let connection = harness.while_stopped(|_| {
            viewer.send(&starts);
            viewer.leave(departure, 0)
        });
        harness.barrier();
        let setups = harness.setups.iter().filter(|x| ids.contains(&x.id)).count();
        assert_eq!(setups, 0, "{departure:?}: {setups} SETUPs");
        drop(connection);
    }
}

// Guards against an end that is not read because its viewer left right after it.
#[test]
fn end_sent_just_before_the_close_of_its_connection_counts() {
    let mut harness = Harness::new(1);
    for departure in [Departure::Close, Departure::HalfClose] {
        let id = 1 + departure as u64;
        let mut viewer = harness.viewer();
        viewer.start(id, "open");
        let setup = harness.next_setup(id);
        harness.accept_setup(&setup);
        viewer.expect_started(id);
        let connection = harness.while_stopped(|_| {
            viewer.send(&finish_line(id));
            viewer.leave(departure, id)
        });
        harness.next_teardown(id);
        drop(connection);
    }
}

// The process shuts down.

#[test]
fn queued_connection_and_partial_start_at_shutdown_are_answered() {
    let mut harness = Harness::new(1);
    let mut half = harness.viewer();
    half.echo();
    let line = start_line(1, "open", 4000);
    half.send(&line[..40]);
    half.send("");
    let mut newcomer = harness.while_stopped(|harness| {
        let mut newcomer = harness.viewer();
        newcomer.start(2, "open");
        harness.signal(Signal::SIGTERM);
        newcomer
    });
    half.send(&line[40..]);
    for id in [1, 2] {
        let setup = harness.next_setup(id);
        harness.accept_setup(&setup);
    }
    half.expect_started(1);
    newcomer.expect_started(2);
    assert!(harness.wait_for_exit().success());
}

#[test]
fn pending_lost_and_waiting_setups_at_shutdown_are_answered() {
    let mut harness = Harness::with_blocked_nodes(2, &[1]);
    let mut viewer = harness.viewer();
    viewer.start(1, "open");
    let pending = harness.next_setup(1);
    viewer.start(2, "open");
    let lost = harness.next_setup(2);
    // The title is only on the second node, which is unreachable so far.
    viewer.send(&start_line(3, "open", 4000).replace("home:0", "home:1"));
    viewer.echo();
    harness.signal(Signal::SIGTERM);
    if lost.conn == pending.conn {
        panic!("two SETUPs on one connection");
    }
    harness.close(lost.node, lost.conn, true);
    harness.unblock(1);
    harness.accept_setup(&pending);
    viewer.expect_started(1);
    // The second session's only holder is alive but lost the connection after the attempt, so the session is refused. The
    // third waited without success.
    assert_eq!(viewer.expect_finish(2), 42);
    assert_eq!(viewer.expect_finish(3), 42);
    assert!(harness.wait_for_exit().success());
}

#[test]
fn start_received_just_before_exit_is_answered() {
    for _ in 0..5 {
        let mut harness = Harness::new(1);
        let mut viewer = harness.viewer();
        viewer.echo();
        harness.signal(Signal::SIGTERM);
        // The process may exit as soon as it continues, as it received no request for long enough.
        Harness::elapse(600);
        if harness.has_exited() {
            continue;
        }
        harness.while_stopped(|_| {
            viewer.try_send(&start_line(1, "open", 4000));
            Harness::elapse(450);
        });
        if !harness.log().contains("all is answered") || harness.setup_count(1) > 0 {
            let v = viewer.next_message(1).expect("an answer to the accepted start");
            assert_eq!((v["verb"].as_str(), v["rc"].as_u64()), (Some("FINISH"), Some(42)), "{v}");
            assert!(harness.wait_for_exit().success());
            return;
        }
    }
    panic!("the process always exited before the start");
}

#[test]
fn idle_viewer_at_shutdown_is_closed_and_its_start_on_a_new_connection_is_answered() {
    let mut harness = Harness::new(1);
    let mut idle = harness.viewer();
    idle.echo();
    harness.signal(Signal::SIGTERM);
    assert!(idle.is_closed(), "an orderly close before the process exits");
    // The protocol has the viewer send it again, while the process is still running.
    let mut again = harness.viewer();
    again.start(1, "open");
    assert_eq!(again.expect_finish(1), 42);
    assert!(harness.wait_for_exit().success());
}

#[test]
fn slow_reader_at_shutdown_receives_every_answer() {
    let mut harness = Harness::new(1);
    let mut slow = Viewer::with_small_buffer(harness.port);
    let blob = "v".repeat(9000);
    let ids: Vec<u64> = (1..=40).collect();
    for &id in &ids {
        slow.send(&start_line_with_blob(id, "open", 4000, "v=0"));
        let setup = harness.next_setup(id);
        let body = format!("answer {id}");
        let response = String::from_utf8(setup_response(id, 200)).expect("text");
        let text = response
            .replace(&format!("Content-Length: {}", body.len()), &format!("Content-Length: {}", blob.len()));
        let text = text.replace(&body, &blob);
        harness.write(setup.node, setup.conn, text.as_bytes());
    }
    harness.barrier();
    harness.signal(Signal::SIGTERM);
    for id in ids {
        let v = slow.next_message(id).unwrap_or_else(|| panic!("{id} was cut off"));
        assert_eq!((v["verb"].as_str(), v["blob"].as_str().map(str::len)), (Some("STARTED"), Some(9000)));
    }
    assert!(harness.wait_for_exit().success());
}

#[test]
fn session_end_without_a_viewer_connection_is_sent_on_a_later_one_before_exit() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    viewer.start(1, "open");
    let setup = harness.next_setup(1);
    harness.accept_setup(&setup);
    viewer.expect_started(1);
    // No viewer is connected when the node reports the session's end.
    harness.while_stopped(|harness| {
        drop(viewer);
        harness.end_session(&setup);
        harness.signal(Signal::SIGTERM);
    });
    harness.wait_for("the response to the session's end", |event| {
        matches!(&event.kind, NodeEventKind::Received(kelpdoor_rtsp::Message::Response(_)))
    });
    let mut other = harness.viewer();
    other.start(2, "open");
    let second = harness.next_setup(2);
    harness.accept_setup(&second);
    other.expect_started(2);
    assert_eq!(other.expect_finish(1), 16);
    assert!(harness.wait_for_exit().success());
}

// Guards against ends that are told to nobody while every open connection carries tests or refused set-ups alone.
#[test]
fn session_end_is_sent_on_connections_on_which_nothing_was_served() {
    for refused in [true, false] {
        let mut harness = Harness::new(1);
        let mut viewer = harness.viewer();
        viewer.start(1, "open");
        let setup = harness.next_setup(1);
        harness.accept_setup(&setup);
        viewer.expect_started(1);
        drop(viewer);
        let mut other = harness.viewer();
        if refused {
            other.start(2, "once");
            let second = harness.next_setup(2);
            harness.refuse_setup(&second, 453);
            assert_eq!(other.expect_finish(2), 42);
        } else {
            other.echo();
        }
        let ended_at = std::time::Instant::now();
        harness.end_session(&setup);
        assert_eq!(other.expect_finish(1), 16);
        assert!(ended_at.elapsed().as_secs_f64() <= 1.05, "{} s", ended_at.elapsed().as_secs_f64());
    }
}

#[test]
fn repeated_termination_signals_and_a_reload_change_nothing() {
    let mut harness = Harness::new(1);
    let change_log = ChangeLog::new();
    let mut viewer = harness.viewer();
    viewer.start(1, "open");
    let setup = harness.next_setup(1);
    harness.while_stopped(|harness| {
        harness.move_change_log(&change_log);
        harness.signal(Signal::SIGHUP);
        harness.signal(Signal::SIGTERM);
    });
    harness.signal(Signal::SIGTERM);
    harness.accept_setup(&setup);
    viewer.expect_started(1);
    harness.signal(Signal::SIGTERM);
    assert!(harness.wait_for_exit().success());
}

// A connection to a node is late, closed or reset.

#[test]
fn late_connection_to_a_draining_node_carries_no_setup() {
    let mut harness = Harness::with_blocked_nodes(2, &[0]);
    let mut viewer = harness.viewer();
    // The other node answers automatically.
    for k in 0..8 {
        viewer.start_anywhere(AUTO_ANSWERED + k, "open", 2);
    }
    viewer.echo();
    let draining = harness.host_entry(0, "draining");
    harness.while_stopped(|harness| {
        harness.change_log.publish(&[draining]);
        harness.unblock(0);
        harness.wait_for("the late connection", |event| {
            matches!(event.kind, NodeEventKind::Connected) && event.node == 0
        });
    });
    for k in 0..8 {
        viewer.expect_started(AUTO_ANSWERED + k);
    }
    harness.barrier();
    let setups = harness.setups.iter().filter(|x| x.node == 0).count();
    assert_eq!(setups, 0, "no new session on a draining node");
}

#[test]
fn late_connection_carries_no_setup_to_another_node_at_the_same_address() {
    let mut harness = Harness::with_blocked_nodes(1, &[0]);
    let mut viewer = harness.viewer();
    viewer.start(1, "once");
    viewer.echo();
    let removed = harness.host_entry(0, "removed");
    let new = harness.replace_node(0);
    let mut entry = harness.host_entry(new, "up");
    // The new node holds other titles.
    (entry["block"], entry["born_ms"]) = (json!(0), json!(0));
    harness.while_stopped(|harness| {
        harness.change_log.publish(&[removed]);
        harness.change_log.publish(&[entry]);
        harness.unblock(new);
        harness.wait_for("the late connection", |event| matches!(event.kind, NodeEventKind::Connected));
    });
    // A SETUP is only valid if it was decided for the new node and uses a new connection.
    let v = {
        let event = harness
            .wait_for("the connection for the old node is closed, or a new one is used", |event| {
                matches!(&event.kind, NodeEventKind::Closed | NodeEventKind::Received(_))
            });
        assert!(
            matches!(event.kind, NodeEventKind::Closed) || event.conn > 0,
            "a SETUP for one node reached another: {event:?}"
        );
        event
    };
    drop(v);
}

#[test]
fn bytewise_repeated_or_truncated_response_counts_at_most_once() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    viewer.start(1, "open");
    let setup = harness.next_setup(1);
    setup_response(1, 200).iter().for_each(|b| harness.write(setup.node, setup.conn, &[*b]));
    viewer.expect_started(1);
    // A second copy arrives a few milliseconds later.
    harness.accept_setup(&setup);
    harness.barrier();
    harness.end_session(&setup);
    assert_eq!(
        viewer.expect_finish(1),
        16,
        "the copy is no new response and does not release the active session"
    );
    assert!(!harness.teardowns.iter().any(|(_, id)| *id == 1), "{:?}", harness.teardowns);
    // After a truncated response, a session that may not be repeated fails and is not placed on another node.
    viewer.start(2, "once");
    let setup = harness.next_setup(2);
    let whole = setup_response(2, 200);
    harness.write(setup.node, setup.conn, &whole[..whole.len() / 2]);
    harness.close(setup.node, setup.conn, false);
    assert_eq!(viewer.expect_finish(2), 41);
    harness.barrier();
    assert_eq!(harness.setup_count(2), 1);
}

#[test]
fn response_and_session_end_in_one_read_are_both_sent() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    for (id, cause) in [(1, 16), (2, 31), (3, 41)] {
        viewer.start(id, "open");
        let setup = harness.next_setup(id);
        // One write carries both: the session starts and ends at the same time.
        harness.write(
            setup.node,
            setup.conn,
            &[setup_response(id, 200), release_request(id, cause)].concat(),
        );
        viewer.expect_started(id);
        assert_eq!(viewer.expect_finish(id), u64::from(cause));
    }
    viewer.echo();
    assert!(harness.teardowns.is_empty(), "{:?}", harness.teardowns);
}

#[test]
fn connection_closed_as_idle_carries_no_setup() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    viewer.start(1, "once");
    let first = harness.next_setup(1);
    harness.accept_setup(&first);
    viewer.expect_started(1);
    harness.end_session(&first);
    assert_eq!(viewer.expect_finish(1), 16);
    harness.while_stopped(|harness| {
        viewer.start(2, "once");
        harness.close(first.node, first.conn, false);
    });
    let second = harness.next_setup(2);
    assert_ne!(second.conn, first.conn, "the SETUP used the closed connection");
    harness.accept_setup(&second);
    viewer.expect_started(2);
}

#[test]
fn connection_reset_fails_the_pending_setup_and_keeps_the_active_session() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    viewer.echo();
    // During the SETUP: a session that may be repeated is refused, one that may not fails; neither is set up twice at once.
    for (id, class) in [(1, "open"), (2, "once")] {
        viewer.start(id, class);
        let setup = harness.next_setup(id);
        harness.close(setup.node, setup.conn, true);
        let v = viewer.next_message(id).expect("answered");
        let cause = v["rc"].as_u64();
        assert_eq!(cause, Some(if class == "open" { 42 } else { 41 }), "{v}");
        harness.next_teardown(id);
    }
    // After the response: the session continues, and the node reports its end on the next connection.
    viewer.start(3, "open");
    let setup = harness.next_setup(3);
    harness.accept_setup(&setup);
    viewer.expect_started(3);
    harness.close(setup.node, setup.conn, true);
    let up = harness.wait_for("another connection", |event| matches!(event.kind, NodeEventKind::Connected));
    harness.end_session(&platform::Setup { node: up.node, conn: up.conn, id: 3, at: up.at });
    assert_eq!(viewer.expect_finish(3), 16);
}

// The change log.

#[test]
fn silent_truncated_or_repeating_change_log_is_requested_again() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.change_log.wait_for_requests(1), [1]);
    harness.change_log.silence();
    assert_eq!(harness.change_log.wait_for_requests(2), [1, 1], "a silent open stream is requested again");
    let line = harness.host_entry(0, "up");
    harness.change_log.publish(std::slice::from_ref(&line));
    harness.change_log.end_streams_with(b"id: 9\ndata: {\"seq\":9,\"fleet\":{\"who");
    let asked = harness.change_log.wait_for_requests(3);
    assert!(asked[2] <= 2, "a truncated event was counted as received: {asked:?}");
    // The same event twice, then an old one again.
    harness.change_log.publish(&[line]);
    let again = harness.host_entry(0, "draining");
    harness.change_log.end_streams_with(
        format!("id: 1\ndata: {}\n\n", json!({"seq": 1, "fleet": {"hosts": [again]}})).as_bytes(),
    );
    harness.change_log.wait_for_requests(4);
    harness.barrier();
}

#[test]
fn change_log_that_is_down_at_first_and_moves_is_followed() {
    let change_log = ChangeLog::new();
    change_log.set_down(true);
    let mut harness = Harness::start(1, 256, &[], &settings(1), change_log);
    harness.barrier();
    harness.change_log.wait_for_requests(3);
    let new = ChangeLog::new();
    // The new change log continues the numbering.
    let line = harness.host_entry(0, "up");
    new.publish(std::slice::from_ref(&line));
    new.publish(&[line]);
    harness.while_stopped(|harness| {
        harness.move_change_log(&new);
        harness.signal(Signal::SIGHUP);
        harness.change_log.set_down(false);
    });
    assert_eq!(new.wait_for_requests(1), [1]);
    let draining = harness.host_entry(0, "draining");
    new.publish(&[draining]);
    // After the new change log reports the node as draining, nothing is set up there.
    let mut viewer = harness.viewer();
    let refused = (2..500).any(|id| {
        viewer.start(id, "open");
        viewer.next_message(id).expect("an answer")["rc"] == 42
    });
    assert!(refused);
}

// Timeouts and evictions.

#[test]
fn setup_timeout_at_the_moment_of_the_response_gives_one_consistent_answer() {
    let mut harness = Harness::new(1);
    let mut viewer = harness.viewer();
    for id in 1..=4 {
        viewer.send(&start_line(id, "once", 400));
        let setup = harness.next_setup(id);
        harness.while_stopped(|harness| {
            Harness::elapse(if id % 2 == 0 { 380 } else { 420 });
            harness.accept_setup(&setup);
        });
        let v = viewer.next_message(id).expect("answered");
        if v["verb"] == "STARTED" {
            harness.end_session(&setup);
            assert_eq!(viewer.expect_finish(id), 16);
        } else {
            harness.next_teardown(id);
        }
        harness.barrier();
    }
    viewer.echo();
}

#[test]
fn start_on_a_connection_about_to_be_evicted_is_answered() {
    const SOCKETS: usize = 64;
    let mut harness = Harness::with(1, SOCKETS as u64, |_| {});
    // As many as the director keeps.
    let viewer_count = (SOCKETS - RESERVED_SOCKETS) / 2;
    let mut idle: Vec<Viewer> = (0..viewer_count).map(|_| harness.viewer()).collect();
    idle.iter_mut().for_each(Viewer::echo);
    let mut more = harness.while_stopped(|harness| {
        let more: Vec<Viewer> = (0..viewer_count).map(|_| harness.viewer()).collect();
        idle.iter_mut().enumerate().for_each(|(k, v)| v.start(AUTO_ANSWERED + k as u64, "open"));
        more
    });
    for v in &mut more {
        v.try_send("{}\n");
    }
    // Each start is served or refused; a close without a message is neither.
    for (k, viewer) in idle.iter_mut().enumerate() {
        assert!(
            viewer.next_message(AUTO_ANSWERED + k as u64).is_some(),
            "start {k} was accepted and not answered"
        );
    }
}

#[test]
fn flood_on_one_connection_is_fully_answered_and_others_are_served() {
    let mut harness = Harness::new(1);
    let mut flooding = harness.viewer();
    let ids = 0x2000..0x2400u64;
    let starts: String = ids.clone().map(|id| start_line(id, "open", 4000)).collect();
    let mut other = harness.viewer();
    other.echo();
    harness.while_stopped(|_| {
        flooding.send(&starts);
        other.start(1, "once");
    });
    let setup = harness.next_setup(1);
    harness.accept_setup(&setup);
    other.expect_started(1);
    harness.signal(Signal::SIGTERM);
    for id in ids {
        assert!(flooding.next_message(id).is_some(), "{id:x} was not answered");
    }
}

#[test]
fn viewers_that_never_read_do_not_block_others() {
    let mut harness = Harness::with(1, 96, |_| {});
    let line = "{\"verb\":\"nonsense\"}\n".repeat(400);
    let mut unread_viewers: Vec<Viewer> = Vec::new();
    for _ in 0..120 {
        let mut v = Viewer::with_small_buffer(harness.port);
        v.try_send(&line);
        unread_viewers.push(v);
    }
    harness.barrier();
    let mut slow = harness.viewer();
    start_line(2, "open", 60_000).bytes().for_each(|b| slow.send(&(b as char).to_string()));
    let setup = harness.next_setup(2);
    harness.accept_setup(&setup);
    slow.expect_started(2);
}

#[test]
fn idle_viewers_using_all_descriptors_block_neither_change_log_nor_nodes() {
    let change_log = ChangeLog::new();
    change_log.set_down(true);
    let mut harness = Harness::start(3, 128, &[], &settings(3), change_log);
    let mut idle: Vec<Viewer> = (0..400).map(|_| harness.viewer()).collect();
    let asked = harness.change_log.wait_for_requests(2).len();
    assert!(harness.open_descriptors() <= 128);
    harness.change_log.set_down(false);
    harness.change_log.wait_for_requests(asked + 1);
    idle.extend((0..100).map(|_| harness.viewer()));
    for id in 1..=12 {
        let mut viewer = harness.viewer();
        viewer.send(&start_line(id, "open", 4000).replace("home:0", &format!("home:{}", id % 3)));
        let setup = harness.next_setup(id);
        harness.accept_setup(&setup);
        viewer.expect_started(id);
        assert!(harness.open_descriptors() <= 128, "{}", harness.open_descriptors());
    }
}

#[test]
fn director_started_under_load_without_a_change_log_answers_an_echo() {
    let change_log = ChangeLog::new();
    change_log.set_down(true);
    let mut harness = Harness::start(2, 128, &[], &settings(2), change_log);
    let mut viewers: Vec<Viewer> = (0..200).map(|_| harness.viewer()).collect();
    for (k, v) in viewers.iter_mut().enumerate() {
        v.try_send(&start_line(0x3000 + k as u64, "open", 4000));
    }
    for _ in 0..3 {
        harness.restart();
        let mut viewer = harness.viewer();
        viewer.echo();
    }
}

// Repeats.

// Guards against a repeated START that is closed on without an answer, because its session is active already.
#[test]
fn start_repeated_over_the_end_of_its_connection_is_answered_again() {
    let mut harness = Harness::new(1);
    for (id, class) in [(1, "open"), (2, "once"), (3, "soon")] {
        let mut old = harness.viewer();
        old.start(id, class);
        let setup = harness.next_setup(id);
        harness.accept_setup(&setup);
        old.expect_started(id);
        // The answer is lost with the connection, whose end the director hears of later than the viewer.
        let mut new = harness.viewer();
        new.start(id, class);
        new.expect_started(id);
        drop(old);
        harness.end_session(&setup);
        assert_eq!(new.expect_finish(id), 16);
        harness.barrier();
        assert_eq!(harness.setup_count(id), 1, "{class}");
    }
}

// Guards against a second SETUP of a START that is repeated while its first SETUP is out.
#[test]
fn start_repeated_while_its_setup_is_out_is_set_up_once_and_answered() {
    let mut harness = Harness::new(2);
    let departures = [Departure::Close, Departure::Reset, Departure::HalfClose];
    for (k, class) in ["open", "once", "soon"].into_iter().enumerate() {
        for (n, departure) in departures.into_iter().enumerate() {
            let id = (16 * k + n + 1) as u64;
            let mut old = harness.viewer();
            old.start_anywhere(id, class, 2);
            let setup = harness.next_setup(id);
            let (mut new, old) = harness.while_stopped(|harness| {
                let old = old.leave(departure, id);
                let mut new = harness.viewer();
                new.start_anywhere(id, class, 2);
                (new, old)
            });
            new.echo();
            harness.accept_setup(&setup);
            new.expect_started(id);
            harness.barrier();
            assert_eq!(harness.setup_count(id), 1, "{class} {departure:?}");
            assert!(harness.teardowns.iter().all(|t| t.1 != id), "{class} {departure:?}");
            drop(old);
        }
    }
}

#[test]
fn start_repeated_after_its_failure_fails_again_and_is_not_set_up_again() {
    let mut harness = Harness::new(2);
    let mut old = harness.viewer();
    old.start_anywhere(1, "once", 2);
    let setup = harness.next_setup(1);
    harness.refuse_setup(&setup, 500);
    assert_eq!(old.expect_finish(1), 41);
    drop(old);
    let mut new = harness.viewer();
    new.start_anywhere(1, "once", 2);
    assert_eq!(new.expect_finish(1), 41);
    harness.barrier();
    assert_eq!(harness.setup_count(1), 1);
}

#[test]
fn group_past_its_repeat_window_is_not_set_up_again() {
    let mut harness = Harness::new(3);
    let mut viewer = harness.viewer();
    // Within the window, another node is tried.
    viewer.start_anywhere(1, "soon", 3);
    let first = harness.next_setup(1);
    harness.refuse_setup(&first, 504);
    let second = harness.next_setup(1);
    assert_ne!(first.node, second.node);
    harness.accept_setup(&second);
    viewer.expect_started(1);
    // After the window, no other node is tried, whether or not the refusal arrived in time.
    viewer.start_anywhere(2, "soon", 3);
    let first = harness.next_setup(2);
    harness.while_stopped(|harness| {
        Harness::elapse(450);
        harness.refuse_setup(&first, 504);
    });
    let v = viewer.next_message(2).expect("answered");
    assert_eq!(v["verb"], "FINISH", "{v}");
    harness.barrier();
    assert_eq!(harness.setup_count(2), 1);
    // A session that may never be repeated, after a connection reset during its SETUP.
    viewer.start_anywhere(3, "once", 3);
    let first = harness.next_setup(3);
    harness.close(first.node, first.conn, true);
    assert_eq!(viewer.expect_finish(3), 41);
    harness.barrier();
    assert_eq!(harness.setup_count(3), 1, "{}", format_tag(3));
}
