use super::*;

/// What a change log does with an attempt, each after a time in s from the beginning of the attempt.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connected,
    Answered,
    /// Part of a line arrives.
    Byte,
    /// The end of a line arrives that does not end an event.
    Line,
    /// A comment arrives.
    Comment,
    /// An event that is new arrives.
    Event,
    Ended,
}

const NEVER: f64 = f64::INFINITY;
/// s; further events of a script that would be endless.
const SCRIPT_LENGTH: f64 = 4000.0;

/// The script of a connection that is up, answered and has its first event at these times, and comments each second then.
fn script(connected: f64, answered: f64, event: f64) -> Vec<(f64, Step)> {
    let mut steps = vec![(connected, Step::Connected), (answered, Step::Answered), (event, Step::Event)];
    steps.retain(|(at, _)| at.is_finite());
    if event.is_finite() {
        steps.extend((1..1000).map(|n| (event + f64::from(n), Step::Comment)));
    }
    steps
}

/// A planner in virtual time, with a change log that plays one script for each attempt.
struct Simulation<F> {
    planner: AttemptPlanner,
    now: f64,
    script_of: F,
    steps: Vec<(f64, AttemptId, Step)>,
    activity: BTreeMap<AttemptId, Activity>,
    /// When each attempt began.
    begun: Vec<f64>,
    /// When events were delivered, and by which attempt.
    events: Vec<(f64, AttemptId)>,
    max_in_flight: usize,
}

impl<F: FnMut(u64, f64) -> Vec<(f64, Step)>> Simulation<F> {
    fn new(seed: u64, script_of: F) -> Self {
        Simulation {
            planner: AttemptPlanner::new(fastrand::Rng::with_seed(seed)),
            now: 0.0,
            script_of,
            steps: Vec::new(),
            activity: BTreeMap::new(),
            begun: Vec::new(),
            events: Vec::new(),
            max_in_flight: 0,
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Begin(id) => {
                    let script = (self.script_of)(id.0, self.now);
                    self.steps.extend(script.into_iter().map(|(after, step)| (self.now + after, id, step)));
                    self.activity.insert(id, Activity::default());
                    self.begun.push(self.now);
                }
                Action::Close(id) => self.forget(id),
            }
        }
        self.max_in_flight = self.max_in_flight.max(self.planner.in_flight());
    }

    fn forget(&mut self, id: AttemptId) {
        self.steps.retain(|(_, owner, _)| *owner != id);
        self.activity.remove(&id);
    }

    fn play(&mut self, id: AttemptId, step: Step) {
        let now = self.now;
        if !matches!(step, Step::Connected | Step::Ended)
            && let Some(activity) = self.activity.get_mut(&id)
        {
            activity.record_bytes(now);
            match step {
                Step::Byte => activity.record_stream(now, b"x"),
                Step::Comment => activity.record_stream(now, b":\n"),
                Step::Event => activity.record_stream(now, b"\n\n"),
                Step::Line => activity.record_stream(now, b"x\n"),
                _ => {}
            }
            self.planner.set_activity(id, *activity);
        }
        match step {
            Step::Connected => self.planner.connected(id, now),
            Step::Answered => self.planner.answered(id, now),
            Step::Byte | Step::Line | Step::Comment => {}
            Step::Event => {
                self.events.push((now, id));
                let actions = self.planner.new_event_delivered(id);
                self.apply(actions);
            }
            Step::Ended => {
                self.forget(id);
                self.planner.ended(id, now);
            }
        }
    }

    /// Runs until `until`, or until an event is delivered if `stop_at_event`.
    fn run(&mut self, until: f64, stop_at_event: bool) {
        let heard = self.events.len();
        loop {
            let actions = self.planner.poll(self.now);
            self.apply(actions);
            let next_step = self.steps.iter().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let next_poll_at = self.planner.next_poll_at(self.now).max(self.now + 1e-6);
            match next_step.map(|(index, step)| (index, *step)) {
                Some((index, (at, id, step))) if at <= next_poll_at && at <= until => {
                    self.steps.swap_remove(index);
                    self.now = self.now.max(at);
                    self.play(id, step);
                }
                _ if next_poll_at <= until => self.now = next_poll_at,
                _ => {
                    self.now = until;
                    return;
                }
            }
            if stop_at_event && self.events.len() > heard {
                return;
            }
        }
    }

    /// Time of the first event; infinity if there was none.
    fn heard_at(&self) -> f64 {
        self.events.first().map_or(NEVER, |(at, _)| *at)
    }
}

/// Ways in which an answer that is complete after `time` may be late.
fn late_scripts(time: f64) -> [Vec<(f64, Step)>; 5] {
    let bytes = |line_ends_at: u32| {
        let step_at = |n| if n == line_ends_at { Step::Line } else { Step::Byte };
        let opening = [(0.0, Step::Connected), (0.0, Step::Answered)];
        let bytes = (1..40).map(move |n| (time * f64::from(n) / 40.0, step_at(n)));
        opening.into_iter().chain(bytes).chain([(time, Step::Event)]).collect()
    };
    [script(time, time, time), script(0.0, time, time), script(0.0, 0.0, time), bytes(0), bytes(10)]
}

// Guards against a limit that a change log that is always slower never meets (review/9).
#[test]
fn answer_of_any_time_is_heard_from_the_first_attempt() {
    for time in [0.0, 0.5, 0.69, 0.71, 1.59, 1.61, 1.8, 2.5, 3.0, 5.0, 8.0, 13.0, 30.0, 100.0, 600.0] {
        for (kind, late) in late_scripts(time).into_iter().enumerate() {
            let mut simulation = Simulation::new(7, |_, _| late.clone());
            simulation.run(SCRIPT_LENGTH, true);
            let heard_at = simulation.heard_at();
            assert!(heard_at <= time + 1e-6, "{time} s, kind {kind}: heard after {heard_at} s");
            assert!(simulation.max_in_flight <= MAX_IN_FLIGHT - 2, "{} in flight", simulation.max_in_flight);
        }
    }
}

#[test]
fn answer_of_any_time_is_heard_beside_a_dead_first_attempt() {
    for time in [0.0, 1.8, 5.0, 8.0, 13.0, 30.0, 100.0, 600.0] {
        for (kind, late) in late_scripts(time).into_iter().enumerate() {
            let mut simulation = Simulation::new(8, |index, _| match index {
                0 => script(0.0, NEVER, NEVER),
                _ => late.clone(),
            });
            simulation.run(SCRIPT_LENGTH, true);
            let heard_at = simulation.heard_at();
            // Attempts in the patient place are kept for a time that doubles.
            let bound = FIRST_MAX_LIMIT * 8.0 + 4.0 * time;
            assert!(heard_at <= bound, "{time} s, kind {kind}: heard after {heard_at} s");
            assert!(simulation.max_in_flight <= MAX_IN_FLIGHT - 2, "{} in flight", simulation.max_in_flight);
        }
    }
}

#[test]
fn stream_that_comes_byte_by_byte_is_kept_for_as_long_as_bytes_arrive() {
    // s between bytes, longer than the limit of silence; 200 bytes.
    for gap in [1.7, 3.0, 10.0] {
        let late: Vec<(f64, Step)> = (1..200).map(|n| (gap * f64::from(n), Step::Byte)).collect();
        let mut simulation = Simulation::new(3, |_, _| {
            let mut steps = vec![(0.0, Step::Connected), (0.0, Step::Answered)];
            steps.extend(late.iter().copied());
            steps.push((gap * 200.0, Step::Event));
            steps
        });
        simulation.run(SCRIPT_LENGTH, true);
        let heard_at = simulation.heard_at();
        // An attempt whose first byte comes later than its place is due has been replaced by then.
        let until_kept = if gap <= 6.0 { 0.0 } else { 2.0 * gap };
        assert!(
            heard_at <= gap * 200.0 + until_kept + 1e-6,
            "{gap} s between bytes: heard after {heard_at} s"
        );
    }
}

// Guards against attempts that are silent for good and hold off the one that would succeed.
#[test]
fn dead_attempts_do_not_hold_off_those_that_answer() {
    for time in [0.0, 0.5, 1.8, 3.0, 4.9] {
        for dead_state in 0..3 {
            let dead = [script(NEVER, NEVER, NEVER), script(0.0, NEVER, NEVER), script(0.0, 0.0, NEVER)];
            for dead_attempts in 1..6u64 {
                let mut simulation = Simulation::new(5, |index, _| {
                    if index < dead_attempts { dead[dead_state].clone() } else { script(0.0, time, time) }
                });
                simulation.run(SCRIPT_LENGTH, true);
                let bound = FIRST_MAX_LIMIT * dead_attempts as f64 + time;
                let heard_at = simulation.heard_at();
                assert!(heard_at <= bound, "{dead_attempts} dead, then {time} s: heard after {heard_at} s");
            }
            // Each second one is dead.
            for dead_remainder in [0, 1] {
                let mut simulation = Simulation::new(5, |index, _| {
                    if index % 2 == dead_remainder {
                        dead[dead_state].clone()
                    } else {
                        script(0.0, time, time)
                    }
                });
                simulation.run(SCRIPT_LENGTH, true);
                let heard_at = simulation.heard_at();
                assert!(
                    heard_at <= FIRST_MAX_LIMIT + time,
                    "each second one dead, {time} s: heard after {heard_at} s"
                );
            }
        }
    }
}

#[test]
fn service_that_returns_after_a_long_silence_is_heard_soon() {
    for silence in [8.0, 60.0, 3600.0] {
        for time in [0.0, 1.8, 4.9] {
            let mut simulation = Simulation::new(11, |_, begun_at| {
                if begun_at < silence { script(0.0, NEVER, NEVER) } else { script(0.0, time, time) }
            });
            simulation.run(silence + 60.0, true);
            let heard_at = simulation.heard_at() - silence;
            let interval = (silence * MAX_LIMIT_FRACTION).clamp(FIRST_MAX_LIMIT, LAST_MAX_LIMIT);
            assert!(heard_at <= interval + time, "silent for {silence} s, then {time} s: {heard_at} s");
        }
    }
}

#[test]
fn silent_stream_is_replaced_within_the_time_after_which_its_events_count_as_told() {
    // s after which what a silent change log would have told counts as told.
    const TOLD: f64 = 4.0;
    for dead_attempts in 0..2u64 {
        for seed in 0..50 {
            let mut simulation = Simulation::new(seed, |index, _| match index {
                // Silent after 10 s.
                0 => script(0.0, 0.0, 0.0).into_iter().filter(|(at, _)| *at <= 10.0).collect(),
                index if index <= dead_attempts => script(0.0, NEVER, NEVER),
                _ => script(0.0, 0.0, 0.0),
            });
            simulation.run(60.0, false);
            let heard_at = simulation.events[1].0 - 10.0;
            assert!(heard_at <= TOLD, "{dead_attempts} dead: heard {heard_at} s after the last byte");
        }
    }
}

#[test]
fn attempts_are_bounded_in_flight_and_in_a_minute() {
    // A limit is drawn from 1.5 s up once attempts have exceeded theirs, and from 6 s up in the end.
    const MOST_A_MINUTE: usize = 42;
    const MOST_A_MINUTE_IN_THE_END: usize = 10;
    let mut commented = script(0.0, 0.0, NEVER);
    commented.push((0.0, Step::Comment));
    for dead in [script(NEVER, NEVER, NEVER), script(0.0, NEVER, NEVER), script(0.0, 0.0, NEVER), commented] {
        let mut simulation = Simulation::new(1, |_, _| dead.clone());
        simulation.run(3600.0, false);
        assert!(simulation.max_in_flight <= MAX_IN_FLIGHT - 2, "{} in flight", simulation.max_in_flight);
        for minute in 0..60 {
            let from = f64::from(minute) * 60.0;
            let begun = simulation.begun.iter().filter(|at| (from..from + 60.0).contains(*at)).count();
            let is_costly = !dead.is_empty() && from > LAST_MAX_LIMIT / MAX_LIMIT_FRACTION;
            let most = if is_costly { MOST_A_MINUTE_IN_THE_END } else { MOST_A_MINUTE };
            assert!(begun <= most, "{begun} attempts in minute {minute}, {dead:?}");
        }
    }
}

#[test]
fn fleet_that_starts_at_one_instant_spreads_its_further_attempts() {
    const DIRECTORS: u64 = 1000;
    // s; the answers take this long.
    const ANSWER_TIME: f64 = 5.0;
    let mut begun = Vec::new();
    for seed in 0..DIRECTORS {
        let mut simulation = Simulation::new(seed, |_, _| script(0.0, ANSWER_TIME, ANSWER_TIME));
        simulation.run(60.0, false);
        assert_eq!(simulation.heard_at(), ANSWER_TIME);
        begun.extend(simulation.begun);
    }
    // One each at the start, and one more each 1.2 s at most until the answer.
    assert!(begun.len() as u64 <= DIRECTORS * 5, "{} attempts", begun.len());
    begun.retain(|at| *at > 0.0);
    let most = (0..60).map(|n| f64::from(n) * 0.1);
    let most = most.map(|from| begun.iter().filter(|at| (from..from + 0.1).contains(*at)).count()).max();
    assert!(most <= Some(DIRECTORS as usize * 2 / 5), "{most:?} further attempts within 0.1 s");
}

/// A change log that answers one request after another, those too that were given up meanwhile.
struct CrowdedService {
    answers_per_second: f64,
    /// When the last request in the queue will be answered.
    busy_until: f64,
}

impl CrowdedService {
    fn answer_time(&mut self, now: f64) -> f64 {
        self.busy_until = self.busy_until.max(now) + 1.0 / self.answers_per_second;
        self.busy_until - now
    }
}

// Guards against a fleet whose further attempts keep a crowded service from ever answering the first ones.
#[test]
fn fleet_that_starts_at_one_instant_is_heard_by_a_crowded_service() {
    const DIRECTORS: u64 = 200;
    // s
    const STEP: f64 = 0.05;
    // s; the time in which the service answers one request of each director.
    for round_time in [1.0, 5.0, 20.0, 60.0, 300.0] {
        let service = std::cell::RefCell::new(CrowdedService {
            answers_per_second: DIRECTORS as f64 / round_time,
            busy_until: 0.0,
        });
        let director = |seed| {
            Simulation::new(seed, |_, now| {
                let time = service.borrow_mut().answer_time(now);
                vec![(0.0, Step::Connected), (time, Step::Answered), (time, Step::Event)]
            })
        };
        let mut fleet: Vec<_> = (0..DIRECTORS).map(director).collect();
        let mut now = 0.0;
        while now < round_time + 2.0 * STEP {
            let unheard = fleet.iter_mut().filter(|director| director.events.is_empty());
            unheard.for_each(|director| director.run(now, true));
            now += STEP;
        }
        let heard_last = fleet.iter().map(Simulation::heard_at).fold(0.0, f64::max);
        assert!(heard_last <= round_time + STEP, "heard after {heard_last} s of {round_time} s");
    }
}

// Guards against attempts that replace each other because each begins with a sign of life.
#[test]
fn opening_comment_before_a_late_event_closes_no_earlier_attempt() {
    for time in [2.0, 3.0, 5.0] {
        let mut simulation = Simulation::new(2, |_, _| {
            vec![(0.0, Step::Connected), (0.0, Step::Answered), (0.0, Step::Comment), (time, Step::Event)]
        });
        simulation.run(60.0, true);
        assert_eq!(simulation.heard_at(), time);
    }
}

#[test]
fn stream_that_stays_alive_closes_the_others_without_an_event() {
    let comments = || (0..100).map(|n| (f64::from(n), Step::Comment));
    let mut simulation = Simulation::new(2, |index, _| {
        let mut steps = script(0.0, if index == 0 { NEVER } else { 0.0 }, NEVER);
        if index > 0 {
            steps.extend(comments());
        }
        steps
    });
    simulation.run(ANSWER_LIMIT + STEADY_TIME - 1.0, false);
    assert_eq!(simulation.planner.in_flight(), 2);
    simulation.run(ANSWER_LIMIT + STEADY_TIME + 0.1, false);
    assert_eq!((simulation.planner.in_flight(), simulation.begun.len()), (1, 2));
    simulation.run(60.0, false);
    assert_eq!(simulation.begun.len(), 2);
    assert!(simulation.planner.is_following(simulation.now));
}

#[test]
fn backoff_grows_although_each_stream_opens_and_shrinks_after_an_event() {
    let mut simulation = Simulation::new(2, |_, _| {
        vec![(0.0, Step::Connected), (0.0, Step::Answered), (0.0, Step::Comment), (0.0, Step::Ended)]
    });
    simulation.run(60.0, false);
    let begun = simulation.begun.len();
    // At most one each 0.25 s, besides the first ones.
    assert!(begun <= 60 * 4 + 5, "{begun} attempts in a minute");
    let last = simulation.planner.next_id;
    simulation.planner.new_event_delivered(AttemptId(last));
    assert_eq!(simulation.planner.backoff, MAX_BACKOFF, "an attempt that is over changes nothing");
    simulation.run(61.0, false);
    let actions = simulation.planner.poll(62.0);
    let Some(Action::Begin(id)) = actions.first() else { panic!("{actions:?}") };
    simulation.planner.new_event_delivered(*id);
    assert_eq!(simulation.planner.backoff, MIN_BACKOFF);
}

#[test]
fn attempts_that_fail_at_once_leave_a_slow_one_in_its_place() {
    let time = 10.0;
    let mut simulation = Simulation::new(4, |index, _| match index {
        0 => script(0.0, time, time),
        _ => vec![(0.0, Step::Ended)],
    });
    simulation.run(60.0, true);
    assert_eq!(simulation.heard_at(), time);
}

#[test]
fn new_address_is_followed_at_once_and_the_old_stream_until_the_new_one_answers() {
    let time = 3.0;
    let mut simulation = Simulation::new(4, |index, _| match index {
        0 => script(0.0, 0.0, 0.0),
        _ => script(0.0, time, time),
    });
    simulation.run(10.5, false);
    let actions = simulation.planner.address_changed(simulation.now);
    assert_eq!(actions, []);
    assert!(!simulation.planner.is_following(simulation.now));
    // The old stream still tells something, which closes no attempt at the new address.
    simulation.steps.push((11.0, AttemptId(0), Step::Event));
    simulation.run(11.5, false);
    assert_eq!(simulation.begun[1], 10.5);
    assert_eq!(simulation.planner.state(AttemptId(0)).map(|s| s.0), Some(AttemptState::Open));
    simulation.run(20.0, false);
    assert_eq!(simulation.events.last(), Some(&(10.5 + time, AttemptId(1))));
    assert_eq!(simulation.planner.state(AttemptId(0)), None);
    assert!(simulation.planner.is_following(simulation.now));
}

#[test]
fn address_that_changes_again_and_again_leaves_bounded_attempts_and_the_one_that_waited_longest() {
    for time in [0.0, 1.8, 3.0, 5.0] {
        let mut simulation = Simulation::new(9, |_, _| script(0.0, time, time));
        for move_number in 1..40 {
            simulation.run(f64::from(move_number), false);
            let actions = simulation.planner.address_changed(simulation.now);
            simulation.apply(actions);
        }
        assert!(simulation.max_in_flight <= MAX_IN_FLIGHT, "{} in flight", simulation.max_in_flight);
        assert!(simulation.heard_at() <= time + 1e-6, "{time} s: heard after {} s", simulation.heard_at());
    }
}

#[test]
fn places_by_number() {
    let places: Vec<u32> = (0..17).map(place_of).collect();
    assert_eq!(places, [5, 0, 1, 0, 2, 0, 1, 0, 4, 0, 1, 0, 2, 0, 1, 0, 4]);
    assert_eq!([24, 32, 40, 48, 64].map(place_of), [3, 4, 3, 3, 4]);
}
