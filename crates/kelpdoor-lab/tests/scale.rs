//! Small runs of the `scale` measurements: checks counts, bounds and properties, but no timing.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use kelpdoor_lab::scale::points::Points;
use kelpdoor_lab::scale::simulate::{Outcome, SimulationPlan, director_loop_cost, simulate};
use kelpdoor_lab::scale::{Scale, changes, process, voters};

const PROGRAM: &str = env!("CARGO_BIN_EXE_kelpdoor-lab");

fn plan() -> SimulationPlan {
    let (directors, voters, contradiction, rate) = (12, 5, 2.0, 0.58);
    SimulationPlan {
        seed: 1,
        directors,
        voters,
        contradiction,
        rate,
        span: 30.0,
        ..SimulationPlan::default()
    }
}

/// Runs a simulation with a limit in real time, in case it never ends.
fn run_simulation(plan: &SimulationPlan) -> Outcome {
    let o = simulate(plan, Instant::now() + Duration::from_secs(120));
    assert!(!o.cut_short, "{plan:?}");
    o
}

fn scale(sizes: Vec<usize>) -> Scale {
    Scale {
        sizes,
        seeds: 1,
        json: PathBuf::new(),
        within: 100.0,
        keep: false,
        note: String::new(),
        measurement: None,
    }
}

fn values<'a>(of: &'a Points, role: &'a str, what: &'a str) -> impl Iterator<Item = f64> + 'a {
    of.points.iter().filter(move |p| p.role == role && p.what == what).map(|p| p.y)
}

#[test]
fn changes_come_into_force_and_no_older_version_is_acted_on_alone_afterwards() {
    for plan in [
        plan(),
        SimulationPlan { contradiction: 8.0, ..plan() },
        SimulationPlan { rate: 0.0, burst: 10, ..plan() },
    ] {
        let o = run_simulation(&plan);
        assert_eq!(o.older_alone, 0.0, "{plan:?}");
        assert!(o.mixed <= plan.contradiction, "{plan:?}: {}", o.mixed);
        assert_eq!((o.begin_fractions.len(), o.not_in_force, o.given_up), (12, 0, 0), "{plan:?}");
        assert!(
            o.begin_fractions.iter().all(|p| (0.0..=1.0).contains(p)),
            "{plan:?}: {:?}",
            o.begin_fractions
        );
        assert!(
            o.proposals > 0
                && o.decision_times.len() == o.in_force_delays.len()
                && o.known_delays.len() == o.in_force_delays.len()
        );
        assert!(o.known_delays.iter().zip(&o.in_force_delays).all(|(k, f)| 0.0 < *k && k <= f), "{plan:?}");
        assert!(plan.burst == 0 || o.decision_times.len() == 10);
        assert!(o.bytes > 0.0 && o.questions > 0.0 && o.messages > 0.0 && o.refused.is_empty());
    }
}

#[test]
fn same_seed_repeats_the_simulation() {
    let (a, b) = (run_simulation(&plan()), run_simulation(&plan()));
    assert_eq!(
        (a.begin_fractions, a.in_force_delays, a.events),
        (b.begin_fractions, b.in_force_delays, b.events)
    );
}

#[test]
fn directors_without_changes_may_always_begin_and_cut_off_directors_may_not() {
    let unchanged = run_simulation(&SimulationPlan { rate: 0.0, ..plan() });
    assert!(unchanged.begin_fractions.iter().all(|p| *p > 0.999_999), "{:?}", unchanged.begin_fractions);
    let cut = run_simulation(&SimulationPlan { cut: true, directors: 10, span: 60.0, ..plan() });
    // A lease held at the start of the partition is used until it expires.
    assert!(
        cut.cut_begin_fractions.len() == 2 && cut.cut_begin_fractions.iter().all(|p| *p <= 1.1 / 60.0),
        "{:?}",
        cut.cut_begin_fractions
    );
    assert!(
        cut.begin_fractions.len() == 8 && cut.begin_fractions.iter().all(|p| *p > 0.5),
        "{:?}",
        cut.begin_fractions
    );
    assert_eq!((cut.recovery_times.len(), cut.not_in_force, cut.older_alone), (2, 0, 0.0));
    assert!(cut.healing_bytes > 0.0 && cut.uncut_bytes > 0.0);
}

#[test]
fn bytes_depend_on_the_change_not_the_document_and_refused_leases_are_reported() {
    let of = |document| run_simulation(&SimulationPlan { document, directors: 4, span: 10.0, ..plan() });
    let (small, large) = (of(2_000), of(20_000));
    // Changes are sent as edits, so a document ten times as large costs the same.
    assert!(0.0 < small.documents && small.documents < small.bytes);
    assert!((large.documents - small.documents).abs() < 0.05 * small.documents, "{small:?} {large:?}");
    let refused = run_simulation(&SimulationPlan { contradiction: 60.0, ..plan() });
    assert!(refused.begin_fractions.iter().all(|p| *p == 0.0));
    assert!(refused.refused.keys().all(|why| why.contains("a lease of 30 s")) && !refused.refused.is_empty());
    assert!(director_loop_cost(3, 2.0, 2_000, 2.0) > 0.0);
}

#[test]
fn usage_of_a_process_is_read_and_a_missing_process_is_an_error() {
    let u = process::usage(std::process::id()).expect("ours");
    assert!(u.memory > 1e6 && u.descriptors >= 3.0 && u.core >= 0.0);
    assert!(process::usage(u32::MAX).is_err());
    assert!(
        process::max_descriptors().expect("a limit") >= 64 && process::load_average().expect("a load") >= 0.0
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn real_voters_under_hollow_directors_yield_all_points() {
    let of = voters::Options {
        voters: vec![3],
        contradictions: vec![2.0],
        span: 1.0,
        program: Some(PROGRAM.into()),
        ..voters::Options::default()
    };
    let points = voters::measure(&scale(vec![10, 20]), &of).await.expect("measured");
    assert_eq!(points.partial, Vec::<String>::new());
    assert!(points.points.iter().all(|p| p.y.is_finite() && p.y >= 0.0 && p.by == "directors"));
    assert!(values(&points, "voter", "descriptors").zip([10.0, 20.0]).all(|(y, n)| y > n));
    for what in ["questions", "bytes in", "bytes out", "memory", "answer, p50", "answered again, all"] {
        assert_eq!(values(&points, "voter", what).filter(|y| *y >= 0.0).count(), 2, "{what}");
    }
    assert!(values(&points, "director", "control bytes").all(|y| y > 0.0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_on_real_voters_come_into_force() {
    let of = changes::Options {
        span: 2.0,
        no_virtual: true,
        program: Some(PROGRAM.into()),
        ..changes::Options::default()
    };
    let points = changes::measure(&scale(vec![]), &of).await.expect("measured");
    assert_eq!(points.partial, Vec::<String>::new());
    assert!(values(&points, "operator", "proposals").sum::<f64>() >= 1.0);
    assert!(values(&points, "fleet", "changes in force by the end").sum::<f64>() >= 1.0);
    // Voters accept every change, so none is given up.
    assert_eq!(values(&points, "operator", "changes given up").collect::<Vec<_>>(), [0.0, 0.0]);
    let older = "an older version acted on alone after a newer one";
    assert!(values(&points, "safety", older).all(|y| y == 0.0));
}

#[tokio::test]
async fn options_out_of_range_are_refused_by_name() {
    let of = voters::Options { voters: vec![4], ..voters::Options::default() };
    let why = voters::measure(&scale(vec![10]), &of).await.expect_err("four voters");
    assert_eq!(why.to_string(), "--voters: 3 or 5");
    for (of, named) in [
        (changes::Options { rates: vec![0.0], ..changes::Options::default() }, "--rates: "),
        (
            changes::Options { contradictions: vec![f64::NAN], ..changes::Options::default() },
            "--contradictions: ",
        ),
        (changes::Options { documents: vec![1 << 30], ..changes::Options::default() }, "--documents: "),
        (changes::Options { span: f64::INFINITY, ..changes::Options::default() }, "--span: "),
    ] {
        let why = changes::measure(&scale(vec![10]), &of).await.expect_err(named);
        assert!(why.to_string().starts_with(named), "{why}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_time_left_reports_all_measurements_as_partial() {
    let none = Scale { within: 0.0, ..scale(vec![10]) };
    let of = changes::Options { program: Some(PROGRAM.into()), ..changes::Options::default() };
    let points = changes::measure(&none, &of).await.expect("nothing to measure");
    let left_out = points.partial.iter().filter(|w| w.contains("no time was left")).count();
    assert!(left_out > 0 && left_out == points.partial.len(), "{:?}", points.partial);
    let points = voters::measure(&none, &voters::Options::default()).await.expect("nothing to measure");
    assert!(points.points.is_empty() && !points.partial.is_empty());
}

#[tokio::test]
async fn documents_of_any_size_are_valid() {
    let fleet = voters::Voters::start(PROGRAM.as_ref(), 3).await.expect("three voters");
    for bytes in [0, 2_000, 20_000, 200_000] {
        for change in 0..3 {
            let text = fleet.document(bytes, 2.0, change);
            kelpdoor_script::AgreedSettings::parse("document", &text).unwrap_or_else(|f| panic!("{}", f[0]));
            assert!(text.len() >= bytes && text.len() < bytes + 1200, "{bytes}: {}", text.len());
        }
    }
}
