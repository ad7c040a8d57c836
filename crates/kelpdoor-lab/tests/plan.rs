//! Fits with their intervals, errors of target files, and the consistency of the page with measurements and target.

use std::path::PathBuf;

use expect_test::{Expect, expect};
use kelpdoor_lab::scale::fit::{self, CapacityData, LinearFit, Machine};
use kelpdoor_lab::scale::plan::{self, replace_sections, sections};
use kelpdoor_lab::scale::points::{Point, Points};
use kelpdoor_lab::scale::target::FleetTarget;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn target() -> FleetTarget {
    FleetTarget::read(&root().join("deploy/targets/fleet-5800.star")).expect("the target")
}

/// From Anscombe's quartet (1973): the same fit for very different sets of points.
const ANSCOMBE_X: [f64; 11] = [10.0, 8.0, 13.0, 9.0, 11.0, 14.0, 6.0, 4.0, 12.0, 7.0, 5.0];
const ANSCOMBE_1: [f64; 11] = [8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68];
const ANSCOMBE_2: [f64; 11] = [9.14, 8.14, 8.74, 8.77, 9.26, 8.10, 6.13, 3.10, 9.13, 7.26, 4.74];

fn line(xs: &[f64], ys: &[f64]) -> LinearFit {
    let points: Vec<(f64, f64, u64)> = xs.iter().zip(ys).map(|(x, y)| (*x, *y, 1)).collect();
    LinearFit::fit(&points).expect("a line")
}

fn assert_near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-3 * b.abs().max(1.0), "{a} is not {b}");
}

#[test]
fn fit_of_known_points_has_the_known_interval() {
    let of = line(&ANSCOMBE_X, &ANSCOMBE_1);
    assert_near(of.intercept, 3.0001);
    assert_near(of.slope, 0.5001);
    assert_near(of.residual, 1.2366);
    let (low, high) = of.slope_interval.expect("an interval");
    assert_near(low, 0.2334);
    assert_near(high, 0.7668);
    let (low, high) = of.intercept_interval.expect("an interval");
    assert_near(low, 0.4557);
    assert_near(high, 5.5444);
    assert_eq!((of.sizes, of.seeds, of.bends, of.too_few), (11, 1, None, false));
}

#[test]
fn bent_series_is_detected_and_noise_is_not() {
    let of = line(&ANSCOMBE_X, &ANSCOMBE_2);
    assert_eq!(of.bends.as_deref(), Some("downwards with size"));
    let xs: Vec<f64> = (1..=8).map(f64::from).collect();
    let squares: Vec<f64> = xs.iter().map(|x| x * x).collect();
    assert_eq!(line(&xs, &squares).bends.as_deref(), Some("upwards with size"));
    let knee: Vec<f64> = xs.iter().map(|x| if *x < 5.0 { *x } else { 5.0 + 10.0 * (x - 5.0) }).collect();
    assert!(line(&xs, &knee).bends.is_some());
    let straight: Vec<f64> = xs.iter().map(|x| 3.0 + 2.0 * x).collect();
    assert_eq!(line(&xs, &straight).bends, None);
    // About one in ten straight lines with noise is reported as bent: one in twenty by each of the two checks.
    let mut rng = fastrand::Rng::with_seed(7);
    let bent = (0..400).filter(|_| {
        let noisy: Vec<f64> = xs.iter().map(|x| 3.0 + 2.0 * x + rng.f64() - 0.5).collect();
        line(&xs, &noisy).bends.is_some()
    });
    let bent = bent.count();
    assert!((1..=80).contains(&bent), "{bent} of 400");
}

#[test]
fn too_few_sizes_report_no_bend_and_one_size_has_no_fit() {
    let of = line(&[1.0, 2.0, 3.0], &[1.0, 4.0, 9.0]);
    assert!(of.too_few && of.bends.is_none());
    assert_eq!(line(&[1.0, 2.0], &[1.0, 4.0]).slope_interval, None);
    assert_eq!(LinearFit::fit(&[(1.0, 2.0, 1), (1.0, 3.0, 2)]), None);
    assert_eq!(LinearFit::fit(&[]), None);
}

fn point(named: [&str; 5], x: f64, y: f64, seed: u64) -> Point {
    let [role, what, unit, by, at] = named.map(str::to_owned);
    Point { role, what, unit, by, x, y, seed, at, hollow: String::new() }
}

fn sample_points() -> Points {
    let mut points = Vec::new();
    for (k, x) in [300.0, 1000.0, 3000.0, 5800.0].into_iter().enumerate() {
        for seed in 1..=2 {
            let noise = (k as f64 - 1.5) * 0.001 * (seed as f64 - 1.5);
            points.push(point(
                ["voter", "processor time", "core", "directors", "5 voters, steady"],
                x,
                x * 2e-4 + noise,
                seed,
            ));
            points.push(point(["director", "memory", "B", "sessions", ""], x, 4e7 + x * 1659.0, seed));
        }
    }
    for x in [100.0, 200.0, 400.0, 800.0] {
        let named = ["directors", "processor time of followers and lines", "core", "directors", "steady"];
        points.push(point(named, x, 0.01 + 0.001 * x, 1));
        let named = ["directors", "memory of followers and lines", "B", "directors", "steady"];
        points.push(point(named, x, 1e6 + 7e7 * x, 1));
    }
    for (x, y) in [(0.1, 0.99), (0.58, 0.95), (2.0, 0.46), (5.8, 0.01)] {
        points.push(point(
            [
                "fleet",
                "part of the time in which directors may begin, mean",
                "of 1",
                "changes/s",
                "contradiction 2 s",
            ],
            x,
            y,
            1,
        ));
    }
    points.push(point(
        ["fleet", "in force everywhere, most", "s", "changes/s", "contradiction 2 s"],
        0.1,
        f64::NAN,
        1,
    ));
    points.push(point(["director", "something else", "B", "moons", ""], 1.0, 5.0, 1));
    Points { points, partial: vec!["voters at 9000: no memory was left".into()] }
}

fn data() -> CapacityData {
    let machine = Machine { cores: 8, memory: 24e9, processor: "a processor".into(), descriptors: 20_000 };
    CapacityData {
        machine,
        date: "2026-12-01".into(),
        series: fit::series(&sample_points().points, "2026-12-01", "a run"),
        ..CapacityData::new(&sample_points(), "")
    }
}

#[test]
fn page_sections_follow_from_the_series() {
    let all = sections(&target(), &data());
    let of = |name: &str| all.iter().find(|p| p.0 == name).map(|p| p.1.clone()).expect("a part");
    let lines = |text: &str, with: &str| {
        text.lines().filter(|l| l.contains(with)).map(str::to_owned).collect::<Vec<_>>().join("\n")
    };
    expect![[r#"
        | role | what, and at what | slope (95% interval) | sizes, seeds | at the target | budget | carried by |
        | director: sessions | memory | 1.66 KB a session (1.66 KB to 1.66 KB), from 40 MB | 4 (300; 1,000; 3,000; 5,800), 2 seeds | 114 MB (114 MB to 114 MB) at 44,800 sessions, worked out, at 7.73 times the largest size | none told | in the code: the desk's tables, bounded by `players(sessions, sockets)` |
        | director: follower | processor time of followers and lines; steady | 1,000 us/s a director (1,000 us/s to 1,000 us/s), from 0.01 core | 4 (100; 200; 400; 800), 1 seed | 5.81 core (5.81 core to 5.81 core) at 5,800 directors, worked out, at 7.25 times the largest size | at most 0.019 core for each | in the code: a lease renewed with each voter |
        | director: follower | memory of followers and lines; steady | 70 MB a director (70 MB to 70 MB), from 1 MB | 4 (100; 200; 400; 800), 1 seed | 406 GB (406 GB to 406 GB) at 5,800 directors, worked out, at 7.25 times the largest size | at most 64 MB for each | in the code: a lease renewed with each voter |
        | fleet: changes | part of the time in which directors may begin, mean; contradiction 2 s | no slope is told for a part of 1 | 4 (0.1; 0.58; 2; 5.8), 1 seed | 0.95 at 0.579 changes/s, measured | at least 0.999 | in this landing: chains of versions; those learned together stand beside the newest together |
        | voter | processor time; 5 voters, steady | 200 us/s a director (200 us/s to 200 us/s), from 0 us/s | 4 (300; 1,000; 3,000; 5,800), 2 seeds | 1.16 core (1.16 core to 1.16 core) at 5,800 directors, measured, median and range of 2 seeds | at most 1 core (one thread decides) | in the code: one answer a question, to each director by itself; relays are not there |"#]].assert_eq(&lines(&of("roles"), "seed"));
    expect![[r#"
        | limit | met at | target | met at / target | at the target | known how |
        | --- | --- | --- | --- | --- | --- |
        | director: follower: memory of followers and lines; steady, at most 64 MB | 100 directors | 5,800 | 0.0172 | breaks | measured; each adds 70 MB, over it at every size |
        | nodes in the roster's feed (assumed) | 10,000 nodes | 130,000 | 0.0769 | breaks | limit in the code |
        | fleet: changes: part of the time in which directors may begin, mean; contradiction 2 s, at least 0.999 | 0.1 changes/s | 0.579 | 0.173 | breaks | measured; over it already at the least size |
        | sockets of a director | 10,000 connections a director | 44,800 | 0.223 | breaks | a setting's default |
        | sessions of a director | 20,000 connections a director | 44,800 | 0.446 | breaks | a setting's default |
        | the roster's whole list in one line (nodes assumed) | 112,000 nodes | 130,000 | 0.86 | breaks | limit in the code (16777216 B a line), worked out at 150 B a node |
        | voter: processor time; 5 voters, steady, at most 1 core | 5,000 directors | 5,800 | 0.862 | breaks | measured, between 3,000 and 5,800 |
        | an agreed document | 262,000 B | 200,000 | 1.31 | holds | limit in the code |
        | names of directors in an agreed document | 8,000 directors | 5,800 | 1.38 | holds | limit in the code |
        | longest contradiction that a document may state | 20 s | 14 | 1.43 | holds | limit in the code |"#]].assert_eq(&of("order").lines().take(12).collect::<Vec<_>>().join("\n"));
    expect![[r#"
        | director: follower: memory of followers and lines; steady, at most 64 MB | 100 directors | 5,800 | 0.0172 | breaks | measured; each adds 70 MB, over it at every size |
        | director: follower: processor time of followers and lines; steady, at most 0.019 core | - | 5,800 | - | holds | measured; each adds 1,000 us/s, under it at every size |"#]].assert_eq(&lines(&of("order"), "each adds"));
    expect!["- partial: voters at 9000: no memory was left"].assert_eq(&lines(&of("missing"), "partial"));
    expect!["| director | something else | moons | 1: 5 B |"].assert_eq(&lines(&of("missing"), "moons"));
    expect![[r#"
        | connection | a viewer's session connection; at most one session plays on it | 260 million / 5,800 = 44,800 a director |
        | shard | one title's sessions at one director | 3 million / 5,800 = 517 a director, 86.7 sessions each |
        | delivery | one message to one viewer on its session connection | 76 million / 5,800 = 13,100 a second a director, one each 3.42 s to a viewer, 230 ms for 99 in 100 |
        | control | all that is not a viewer's or a node's session traffic | 0.019 of a core, 64 MB, 3 KB/s a director, 41 machines in all: one for 141 directors |"#]].assert_eq(&lines(&of("words"), "/"));
}

#[test]
fn later_run_replaces_series_of_the_same_name() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("capacity.json");
    fit::write(&file, &sample_points(), "first").expect("written");
    let first = CapacityData::read(&file).expect("read");
    let later = Points {
        points: vec![point(["director", "memory", "B", "sessions", ""], 10.0, 7.0, 1)],
        partial: vec![],
    };
    fit::add(&file, &later, "second").expect("added");
    let both = CapacityData::read(&file).expect("read");
    assert_eq!(first.series.len(), both.series.len());
    let memory = both.series.iter().find(|s| s.what == "memory").expect("memory");
    assert_eq!((memory.points.as_slice(), memory.note.as_str()), ([(10.0, 7.0, 1)].as_slice(), "second"));
    assert!(both.partial == first.partial && both.series.iter().any(|s| s.note == "first"));
}

#[test]
fn stored_page_matches_measurements_and_target() {
    let page = std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page");
    let data = CapacityData::read(&root().join("docs/capacity.json")).expect("what was measured");
    for s in &data.series {
        assert_eq!(s.line.is_some(), LinearFit::fit(&s.points).is_some(), "{} {}", s.role, s.what);
        if let (Some(stored), Some(computed)) = (&s.line, LinearFit::fit(&s.points)) {
            assert!(
                (stored.slope - computed.slope).abs() <= 1e-9 * computed.slope.abs(),
                "{} {}: its line is of other points",
                s.role,
                s.what
            );
        }
    }
    let computed = replace_sections(&page, &sections(&target(), &data)).expect("the page has its places");
    assert!(
        page == computed,
        "the page is of another target or measurement: kelpdoor-lab scale plan --page makes it anew"
    );
}

#[test]
fn page_keeps_its_prose_and_bad_markers_are_refused() {
    let of = [("one", "1\n".to_owned()), ("two", "2".to_owned())];
    let mark = |name: &str| format!("<!-- worked out by kelpdoor-lab scale plan: {name} -->");
    let page =
        format!("before\n{}old<!-- end -->\nbetween\n{}\n<!-- end -->after\n", mark("one"), mark("two"));
    let made = replace_sections(&page, &of).expect("a good page");
    assert_eq!(made, replace_sections(&made, &of).expect("a good page"));
    expect![[r#"
        before
        <!-- worked out by kelpdoor-lab scale plan: one -->

        1

        <!-- end -->
        between
        <!-- worked out by kelpdoor-lab scale plan: two -->

        2

        <!-- end -->after
    "#]]
    .assert_eq(&made);
    let refused = |page: &str, why: Expect| {
        why.assert_eq(&replace_sections(page, &of).expect_err("a bad page").to_string())
    };
    refused(&mark("one"), expect!["line 1: no <!-- end -->"]);
    refused(&format!("\n{}<!-- end -->", mark("three")), expect![[r#"line 2: no part "three""#]]);
    refused(
        &format!("{}<!-- end -->", mark("one")),
        expect![
            "it has no place for two: <!-- worked out by kelpdoor-lab scale plan: two --> .. <!-- end -->"
        ],
    );
    refused(&format!("{0}<!-- end -->\n{0}<!-- end -->", mark("one")), expect!["line 2: one stands twice"]);
    refused("<!-- worked out by kelpdoor-lab scale plan: one", expect!["line 1: no -->"]);
}

const GOOD: &str =
    "target(directors = 10, connections = 1000, shards = 100, largest_title = 50, deliveries = 300,
       delivery_within = 0.2, regions = 1, zones = 2, changes_a_day = 10, in_force_within = 10)
budget(core = 0.1, memory = 1e8, bytes = 1000, machines = 3)
faults(machines_a_day = 1, restarted_a_day = 5, racks_a_day = 0.1, zones_a_day = 0.01, region_cut = 600)
assume(voters = 3)
";

#[test]
fn valid_target_is_read_with_defaults() {
    let target = FleetTarget::parse("t.star", GOOD).expect("good");
    assert_eq!(
        (target.sessions_per_director(), target.assume.voters, target.assume.setups_a_second),
        (100.0, 3.0, 500.0)
    );
    assert!(
        sections(&target, &CapacityData::default())
            .iter()
            .all(|p| !p.1.contains("NaN") && !p.1.contains("inf"))
    );
}

#[test]
fn bad_targets_are_refused_with_line_and_column() {
    let faults = |from: &str, to: &str, why: Expect| {
        assert!(GOOD.contains(from), "{from}");
        let faults = FleetTarget::parse("t.star", &GOOD.replacen(from, to, 1)).expect_err("faults");
        why.assert_eq(&faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"));
    };
    faults(
        "directors = 10",
        "directors = 0",
        expect![[r#"
        t.star:1:1: target: directors has to be above 0, and 1e15 at most
        t.star:1:1: target: more zones than directors"#]],
    );
    faults(
        "connections = 1000",
        "connections = -1000",
        expect![[r#"
        t.star:1:1: target: connections has to be above 0, and 1e15 at most
        t.star:1:1: target: more shards than connections
        t.star:1:1: target: the largest title has more than all connections"#]],
    );
    faults("zones = 2", "zones = 11", expect!["t.star:1:1: target: more zones than directors"]);
    faults("regions = 1", "regions = 3", expect!["t.star:1:1: target: more regions than zones"]);
    faults(
        "directors = 10",
        "directors = 10.5",
        expect!["t.star:1:1: target: directors counts things: a whole number is asked for"],
    );
    faults(
        "directors = 10",
        "directors = \"ten\"",
        expect![[r#"t.star:1:1: target: invalid type: string "ten", expected f64"#]],
    );
    faults(
        "directors = 10",
        "directors = float(\"nan\")",
        expect!["t.star:1:1: target: invalid type: null, expected f64"],
    );
    faults(
        "directors = 10",
        "directors = 1e300",
        expect!["t.star:1:1: target: directors has to be above 0, and 1e15 at most"],
    );
    faults(
        "directors = 10",
        "directers = 10",
        expect![
            "t.star:1:1: target: unknown field `directers`, expected one of `directors`, `connections`, `shards`, `largest_title`, `deliveries`, `delivery_within`, `regions`, `zones`, `changes_a_day`, `in_force_within`"
        ],
    );
    faults("directors = 10, ", "", expect!["t.star:1:1: target: missing field `directors`"]);
    faults("assume(", "assume_(", expect!["t.star:5:1: Use of undefined variable `assume_`"]);
    faults(
        "assume(voters = 3)",
        "assume(voters = 4)",
        expect!["t.star:5:1: assume: an odd number of voters is asked for"],
    );
    faults(
        "assume(voters = 3)",
        "budget(core = 1, memory = 1, bytes = 1, machines = 1)",
        expect!["t.star:5:1: budget(..) stands twice"],
    );
    faults("assume(voters = 3)", "crash(at = 3)", expect!["t.star:5:1: Use of undefined variable `crash`"]);
    faults(
        "budget(core = 0.1, memory = 1e8, bytes = 1000, machines = 3)",
        "",
        expect!["t.star:0:0: budget(..) is missing"],
    );
    faults(
        "core = 0.1",
        "core = 0.1 0.2",
        expect!["t.star:3:19: Parse error: unexpected float literal '0.2', expected symbol ')'"],
    );
}

#[test]
fn unreadable_files_are_refused_and_the_page_is_kept() {
    let dir = tempfile::tempdir().expect("a folder");
    let (target, measured) = (dir.path().join("t.star"), dir.path().join("m.json"));
    std::fs::write(&target, GOOD).expect("written");
    std::fs::write(&measured, "{\"series\": 3}").expect("written");
    let of =
        |page: Option<PathBuf>| plan::Options { target: target.clone(), measured: measured.clone(), page };
    assert!(format!("{:#}", plan::run(&of(None)).expect_err("no measurements")).contains("m.json"));
    std::fs::write(&measured, serde_json::to_string(&CapacityData::default()).expect("JSON"))
        .expect("written");
    plan::run(&of(None)).expect("printed");
    let page = dir.path().join("page.md");
    assert!(format!("{:#}", plan::run(&of(Some(page.clone()))).expect_err("no page")).contains("page.md"));
    std::fs::write(&page, "nothing").expect("written");
    assert!(plan::run(&of(Some(page.clone()))).is_err());
    assert_eq!(std::fs::read_to_string(&page).expect("read"), "nothing");
}

#[test]
fn seeds_on_both_sides_of_a_bound_are_reported() {
    let named = ["director", "time of a delivery, p99 of both ways", "s", "messages/s", ""];
    let figures = [(1000.0, [0.01, 0.02, 0.015]), (5000.0, [0.02, 1.5, 0.05]), (9000.0, [0.5, 0.6, 0.1])];
    let points = figures.iter().flat_map(|(x, ys)| ys.iter().zip(1..).map(|(y, k)| point(named, *x, *y, k)));
    let series = fit::series(&points.collect::<Vec<_>>(), "", "");
    assert_eq!(series[0].medians(), [(1000.0, 0.015), (5000.0, 0.05), (9000.0, 0.5)]);
    assert_eq!(series[0].range(5000.0), (0.02, 1.5));
    let (met, how) = kelpdoor_lab::scale::plan::crossing(&series[0], 0.23, true);
    assert_near(met.expect("met"), 6600.0);
    assert_eq!(how, "measured, between 5,000 and 9,000");
    let doubt = |at: f64| kelpdoor_lab::scale::plan::uncertainty(&series[0], 0.23, true, at);
    assert_eq!(doubt(4000.0), None);
    assert_eq!(doubt(5000.0).as_deref(), Some("seeds on both sides at 5,000"));
    assert_eq!(doubt(1e9).as_deref(), Some("seeds on both sides at 5,000; 9,000"));
    let mut fewer = series[0].clone();
    fewer.points.retain(|p| p.0 != 1000.0 || p.2 == 1);
    let doubt = kelpdoor_lab::scale::plan::uncertainty(&fewer, 10.0, true, 1000.0);
    assert_eq!(doubt.as_deref(), Some("no figure of some seeds at 1,000"));
    assert_eq!(kelpdoor_lab::scale::plan::crossing(&series[0], 0.001, true).0, Some(1000.0));
    let two = [point(named, 1.0, 1.0, 1), point(named, 1.0, 3.0, 2)];
    assert_eq!(fit::series(&two, "", "")[0].medians(), [(1.0, 2.0)]);
}
