//! Small runs of the measurements of a real director: checks counts and bounds, but no timing.

use std::path::PathBuf;

use kelpdoor_lab::scale::points::Points;
use kelpdoor_lab::scale::sessions::{Options, measure};
use kelpdoor_lab::scale::{Scale, fit};

fn scale(within: f64) -> Scale {
    let json = PathBuf::from("not written");
    Scale { sizes: vec![], seeds: 1, json, note: String::new(), keep: false, within, measurement: None }
}

fn small() -> Options {
    Options {
        held: vec![60, 20],
        messages: vec![40.0],
        listeners: 8,
        nodes: 4,
        listed: vec![6, 12],
        most_seeds: 1,
        over: 0.5,
        for_sessions: 60.0,
        program: Some(env!("CARGO_BIN_EXE_kelpdoor-lab").into()),
    }
}

fn of(points: &Points, what: &str, by: &str) -> Vec<(f64, f64)> {
    let all = points.points.iter().filter(|p| p.role == "director" && p.what == what && p.by == by);
    all.map(|p| (p.x, p.y)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn descriptors_of_a_real_director_match_sessions_and_links() {
    let points = measure(&scale(60.0), &small()).await.expect("measured");
    let sockets = of(&points, "descriptors", "sessions");
    assert_eq!(sockets.iter().map(|p| p.0).collect::<Vec<_>>(), [20.0, 60.0], "{:?}", points.partial);
    // One connection for each session, one link for each node.
    assert_eq!(sockets[1].1 - sockets[0].1, 40.0);
    assert!(sockets[0].1 >= 20.0 + 4.0);
    let links = of(&points, "descriptors", "nodes");
    assert_eq!(links[1].1 - links[0].1, 6.0, "{:?}", points.partial);
    let lists = of(&points, "roster's list", "nodes");
    assert!(lists[1].1 > lists[0].1 && lists[0].1 > 6.0 * 50.0);
    let memory = of(&points, "memory", "sessions");
    assert!(memory.iter().all(|m| m.1 > 1e6 && m.1 < 1e9));
    let bytes = of(&points, "bytes to viewers", "messages/s");
    // Of two sizes only the larger has messages. If the machine stalled, the run reports that the rate was not reached
    // and has no value.
    assert!(bytes.len() == 1 || points.partial.iter().any(|p| p.contains("a second came")));
    assert!(bytes.iter().all(|b| b.0 == 40.0 && b.1 >= 40.0 * 10.0));
    assert!(fit::series(&points.points, "", "").iter().all(|s| s.points.iter().all(|p| p.1 >= 0.0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_time_left_reports_all_measurements_as_partial() {
    let points = measure(&scale(0.0), &small()).await.expect("measured");
    assert!(points.points.is_empty());
    assert_eq!(points.partial.len(), 3, "{:?}", points.partial);
    assert!(points.partial.iter().all(|p| p.contains("no time was left")));
}

#[tokio::test(flavor = "multi_thread")]
async fn more_sessions_than_descriptors_are_reported_as_partial() {
    let options = Options { held: vec![1 << 40], listed: vec![], ..small() };
    let points = measure(&scale(60.0), &options).await.expect("measured");
    assert!(points.points.is_empty() && points.partial[0].contains("descriptors"), "{:?}", points.partial);
}
