//! A change log that is slow, on real connections: a drain that it tells is kept however long it takes to answer, with bounded
//! attempts, at the start, after a reload and until the exit. The plan of attempts is tested in virtual time beside its code.

mod platform;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use platform::{ChangeLog, Harness, Pacing, settings};

/// Time from the moment in which the director can know of a drain to the last SETUP at that node: the grace of the harness's
/// settings, and a few rounds.
const DRAIN_TIME: Duration = Duration::from_millis(300 + 200);
/// The shortest time after which an attempt is not waited for alone.
const MIN_ATTEMPT_INTERVAL: Duration = Duration::from_millis(525);
/// Attempts in flight at most: see `kelpdoor_platform::attempts`.
const MAX_IN_FLIGHT: usize = 9;

/// Starts sessions until the director refuses them because the only node drains, and returns when the last one began.
fn time_until_refused(harness: &mut Harness, within: Duration) -> Duration {
    // More than a director refuses in a row for other reasons.
    const REFUSALS: u32 = 15;
    let start = Instant::now();
    let mut viewer = harness.viewer();
    let (mut last_started, mut refusals) = (Duration::ZERO, 0);
    for id in (1..).map(|n| platform::AUTO_ANSWERED + n) {
        let sent_at = start.elapsed();
        viewer.start(id, "open");
        if viewer.next_message(id).expect("an answer")["verb"] == "FINISH" {
            refusals += 1;
        } else {
            (last_started, refusals) = (sent_at, 0);
            viewer.send(&platform::finish_line(id));
        }
        assert!(last_started <= within, "the drain is not kept after {within:?}\n{}", harness.log());
        if refusals >= REFUSALS {
            break;
        }
        Harness::elapse(20);
    }
    harness.wait_for_log(" s-0d ");
    last_started
}

/// Ends the director with SIGTERM, whatever the change log is doing.
fn assert_exits(harness: &mut Harness) {
    harness.signal(Signal::SIGTERM);
    assert!(harness.wait_for_exit().success(), "{}", harness.log());
}

/// Starts a director with a change log of this pace, drains its node, and checks when the drain is kept and how often the
/// change log was asked. `time` is what the change log needs from a request to the end of the event.
fn assert_drain_is_kept(pacing: Pacing, time: Duration) {
    let change_log = ChangeLog::new();
    change_log.set_pacing(pacing);
    let mut harness = Harness::start(1, 256, &[], &settings(1), change_log);
    harness.barrier();
    let draining = harness.host_entry(0, "draining");
    harness.change_log.publish(&[draining]);
    let took = time_until_refused(&mut harness, time + DRAIN_TIME);
    let (requests, most_open) = harness.change_log.request_counts();
    let most = 1 + time.as_millis() / MIN_ATTEMPT_INTERVAL.as_millis();
    assert!(requests as u128 <= most, "{requests} requests within {took:?}\n{}", harness.log());
    assert!(most_open <= MAX_IN_FLIGHT, "{most_open} open connections");
    assert_exits(&mut harness);
}

fn assert_each(delays_ms: &[u64], case: impl Fn(Duration) + Send + Sync) {
    std::thread::scope(|scope| {
        for delay in delays_ms {
            scope.spawn(|| case(Duration::from_millis(*delay)));
        }
    });
}

// Guards against a limit on the answer that a slow change log never meets (review/9).
#[test]
fn drain_is_kept_when_the_headers_of_the_change_log_come_late() {
    assert_each(&[0, 700, 1500, 1700, 1800, 3000, 5000, 10_000], |delay| {
        assert_drain_is_kept(Pacing { headers: delay, ..Pacing::default() }, delay);
    });
}

// Guards against a limit of silence that applies before a stream has begun to send.
#[test]
fn drain_is_kept_when_the_first_byte_of_the_change_log_comes_late() {
    assert_each(&[0, 700, 1500, 1700, 1800, 3000, 5000, 10_000], |delay| {
        assert_drain_is_kept(Pacing { first_byte: delay, ..Pacing::default() }, delay);
    });
}

// Guards against attempts that begin anew before the event of the earlier one is complete.
#[test]
fn drain_is_kept_when_the_change_log_sends_single_bytes() {
    // Bytes of the headers, of an event and of the comments that may come before it.
    const BYTES: u32 = 600;
    assert_each(&[0, 1, 5, 10], |gap| {
        assert_drain_is_kept(Pacing { gap, piece: 1, ..Pacing::default() }, gap * BYTES);
    });
}

// Guards against a limit of silence that a stream never meets whose bytes come further apart.
#[test]
fn drain_is_kept_when_the_change_log_pauses_between_pieces() {
    const PIECE: u32 = 100;
    const BYTES: u32 = 500;
    assert_each(&[1500, 1700, 2500], |gap| {
        assert_drain_is_kept(
            Pacing { gap, piece: PIECE as usize, ..Pacing::default() },
            gap * (BYTES / PIECE),
        );
    });
}

// Guards against a limit on connecting that a full backlog never meets.
#[test]
fn drain_is_kept_when_the_change_log_accepts_late() {
    // The kernel repeats a connection request after 1 s at first; a further attempt begins each 2 s at most.
    const RETRY: Duration = Duration::from_millis(2000);
    assert_each(&[0, 700, 1800, 3000, 5000], |delay| {
        let change_log = ChangeLog::blocked();
        let mut harness = Harness::start(1, 256, &[], &settings(1), change_log.clone());
        harness.barrier();
        let draining = harness.host_entry(0, "draining");
        harness.change_log.publish(&[draining]);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                Harness::elapse(delay.as_millis() as u64);
                change_log.unblock();
            });
            time_until_refused(&mut harness, delay + RETRY + DRAIN_TIME);
        });
        let (requests, most_open) = harness.change_log.request_counts();
        assert!(
            requests <= MAX_IN_FLIGHT && most_open <= MAX_IN_FLIGHT,
            "{requests} requests, {most_open} open"
        );
        assert_exits(&mut harness);
    });
}

// Guards against an attempt that is silent for good and holds off the one that would succeed.
#[test]
fn drain_is_kept_when_the_first_requests_are_never_answered_and_later_ones_late() {
    /// Longest time from one attempt that is not answered to the next.
    const MAX_ATTEMPT_INTERVAL: Duration = Duration::from_millis(2000);
    let cases: Vec<(usize, u64)> =
        [1, 2].into_iter().flat_map(|n| [0, 1800, 3000].map(|ms| (n, ms))).collect();
    std::thread::scope(|scope| {
        for (ignored, headers_ms) in cases {
            scope.spawn(move || {
                let headers = Duration::from_millis(headers_ms);
                let change_log = ChangeLog::new();
                change_log.ignore_requests(ignored);
                change_log.set_pacing(Pacing { headers, ..Pacing::default() });
                let mut harness = Harness::start(1, 256, &[], &settings(1), change_log);
                harness.barrier();
                let draining = harness.host_entry(0, "draining");
                harness.change_log.publish(&[draining]);
                let within = MAX_ATTEMPT_INTERVAL * ignored as u32 + headers + DRAIN_TIME;
                time_until_refused(&mut harness, within);
                let (requests, most_open) = harness.change_log.request_counts();
                assert!(requests <= ignored + 3 && most_open <= MAX_IN_FLIGHT, "{requests}, {most_open}");
                assert_exits(&mut harness);
            });
        }
    });
}

// Guards against further attempts that are all dropped before an answer that takes longer than any limit.
#[test]
fn drain_is_kept_when_the_first_request_is_never_answered_and_others_after_ten_seconds() {
    const HEADERS: Duration = Duration::from_secs(10);
    /// Of four attempts in a row one is kept for longer than the answer takes.
    const MAX_ATTEMPTS_BEFORE: u32 = 4;
    const MAX_ATTEMPT_INTERVAL: Duration = Duration::from_millis(2000);
    let change_log = ChangeLog::new();
    change_log.ignore_requests(1);
    change_log.set_pacing(Pacing { headers: HEADERS, ..Pacing::default() });
    let mut harness = Harness::start(1, 256, &[], &settings(1), change_log);
    harness.barrier();
    let draining = harness.host_entry(0, "draining");
    harness.change_log.publish(&[draining]);
    time_until_refused(&mut harness, MAX_ATTEMPT_INTERVAL * MAX_ATTEMPTS_BEFORE + HEADERS + DRAIN_TIME);
    let (_, most_open) = harness.change_log.request_counts();
    assert!(most_open <= MAX_IN_FLIGHT, "{most_open} open connections");
}

// Guards against a new address whose answer is waited for under a limit that it never meets.
#[test]
fn drain_that_the_new_change_log_tells_late_after_a_reload_is_kept() {
    assert_each(&[0, 1800, 3000, 10_000], |headers| {
        let mut harness = Harness::new(1);
        harness.change_log.wait_for_requests(1);
        harness.barrier();
        let new = ChangeLog::new();
        let line = harness.host_entry(0, "up");
        new.publish(&[line]);
        let draining = harness.host_entry(0, "draining");
        new.publish(&[draining]);
        new.set_pacing(Pacing { headers, ..Pacing::default() });
        harness.move_change_log(&new);
        harness.signal(Signal::SIGHUP);
        time_until_refused(&mut harness, headers + DRAIN_TIME);
        let (requests, most_open) = new.request_counts();
        let most = 1 + headers.as_millis() / MIN_ATTEMPT_INTERVAL.as_millis();
        assert!(
            requests as u128 <= most && most_open <= MAX_IN_FLIGHT,
            "{requests} requests, {most_open} open"
        );
        assert_exits(&mut harness);
    });
}

// Guards against a silent stream whose replacement is as slow as the limit of silence.
#[test]
fn drain_is_kept_when_the_stream_falls_silent_and_the_next_answer_is_late() {
    assert_each(&[0, 1800, 3000], |headers| {
        let mut harness = Harness::new(1);
        harness.change_log.wait_for_requests(1);
        harness.barrier();
        harness.change_log.set_pacing(Pacing { headers, ..Pacing::default() });
        harness.change_log.silence();
        let draining = harness.host_entry(0, "draining");
        harness.change_log.publish(&[draining]);
        // The limit of silence, and then the answer.
        time_until_refused(&mut harness, Duration::from_millis(1600) + headers + DRAIN_TIME);
        let (requests, _) = harness.change_log.request_counts();
        assert!(requests <= 4, "{requests} requests");
    });
}

// Guards against a reload that drops the stream that still tells what is new before the new address answers.
#[test]
fn old_change_log_is_followed_after_a_reload_until_the_new_one_answers() {
    let mut harness = Harness::new(1);
    harness.change_log.wait_for_requests(1);
    harness.barrier();
    let new = ChangeLog::new();
    let line = harness.host_entry(0, "up");
    new.publish(&[line]);
    new.ignore_requests(usize::MAX);
    harness.move_change_log(&new);
    harness.signal(Signal::SIGHUP);
    new.wait_for_requests(1);
    let draining = harness.host_entry(0, "draining");
    harness.change_log.publish(&[draining]);
    time_until_refused(&mut harness, DRAIN_TIME);
    assert_exits(&mut harness);
}

// Guards against reloads that each begin the wait for a slow change log anew.
#[test]
fn drain_is_kept_when_reloads_come_faster_than_the_change_log_answers() {
    let headers = Duration::from_millis(3000);
    let change_log = ChangeLog::new();
    change_log.set_pacing(Pacing { headers, ..Pacing::default() });
    let mut harness = Harness::start(1, 256, &[], &settings(1), change_log);
    harness.change_log.wait_for_requests(1);
    harness.barrier();
    let draining = harness.host_entry(0, "draining");
    harness.change_log.publish(&[draining]);
    for _ in 0..4 {
        harness.signal(Signal::SIGHUP);
        harness.barrier();
        Harness::elapse(300);
    }
    time_until_refused(&mut harness, headers + DRAIN_TIME);
    let (requests, _) = harness.change_log.request_counts();
    assert!(requests <= 3, "{requests} requests");
    assert_exits(&mut harness);
}

// Guards against attempts beside each other that use up the descriptors.
#[test]
fn attempts_beside_each_other_stay_within_the_descriptors_that_idle_viewers_leave() {
    const SOCKETS: usize = 128;
    let change_log = ChangeLog::new();
    change_log.ignore_requests(6);
    let mut harness = Harness::start(1, SOCKETS as u64, &[], &settings(1), change_log);
    let _idle: Vec<platform::Viewer> = (0..400).map(|_| harness.viewer()).collect();
    for requests in 1..=7 {
        harness.change_log.wait_for_requests(requests);
        assert!(harness.open_descriptors() <= SOCKETS, "{}", harness.open_descriptors());
    }
    let draining = harness.host_entry(0, "draining");
    harness.change_log.publish(&[draining]);
    time_until_refused(&mut harness, DRAIN_TIME);
}
