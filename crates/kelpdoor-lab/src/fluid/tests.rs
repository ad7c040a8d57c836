use super::*;

fn fleet() -> FluidFleet {
    let terms = FluidSettings {
        ladder: vec![100.0, 200.0],
        scales: BTreeMap::new(),
        cold_from: 0.5,
        warm_within: 10.0,
        tip_multiple: 2.0,
        fall_window: 1.0,
        uplinks_told: true,
    };
    let mut fleet = FluidFleet::new(terms, vec![300.0], 0.0);
    for id in 0..2 {
        let node = Node {
            up: true,
            silent: false,
            draining: false,
            started: -100.0,
            rack: 0,
            places: 10.0,
            link_kb: 200.0,
            link_factor: 1.0,
            setup_factor: 1.0,
            share: 1.0,
            setups: VecDeque::new(),
            reported: LoadReportHeader::default(),
            reported_at: -1.0,
        };
        fleet.nodes.insert(id, node);
    }
    fleet
}

fn stream(node: u32, rung: u8) -> Stream {
    Stream {
        node,
        conn: 0,
        pipe: String::new(),
        key: String::new(),
        title: "t".into(),
        group: "g".into(),
        rung,
        playing: true,
        began: 0.0,
        played: 0.0,
        asked_kb: 0.0,
        got_kb: 0.0,
    }
}

#[test]
fn overloaded_link_or_uplink_gives_equal_shares() {
    let mut fleet = fleet();
    let by = title_factor("t");
    fleet.insert("a".into(), stream(0, 1));
    fleet.insert("b".into(), stream(0, 0));
    fleet.advance(0.0);
    fleet.advance(1.0);
    let got = |f: &FluidFleet, k: &str| f.streams[k].got_kb / f.streams[k].asked_kb;
    let share = (200.0 / (300.0 * by)).min(1.0);
    assert!((got(&fleet, "a") - share).abs() < 1e-9 && (got(&fleet, "b") - share).abs() < 1e-9);
    fleet.insert("c".into(), stream(1, 1));
    fleet.uplink_factor[0] = 0.1;
    fleet.advance(1.0);
    let before = fleet.streams["c"].got_kb;
    fleet.advance(2.0);
    let uplink = 30.0 / (500.0 * by);
    assert!((fleet.streams["c"].got_kb - before - 200.0 * by * uplink).abs() < 1e-6);
}

#[test]
fn too_many_setups_overload_cold_node() {
    let mut fleet = fleet();
    fleet.nodes.get_mut(&0).unwrap().started = 0.0;
    // The limit is 2 x 1 s x 0.5 (warmth) x 10 places / 10 s = 1 SETUP in a window.
    assert!(matches!(fleet.handle_setup(0.1, 0), SetupDecision::Accepted(_)));
    assert_eq!(fleet.handle_setup(0.2, 0), SetupDecision::Overloaded);
}
