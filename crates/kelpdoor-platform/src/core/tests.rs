use super::*;
use crate::viewer::parse;

/// A configuration without nodes.
fn config() -> StartupConfig {
    let text = r#"{"profiles":[{"name":"c"}],"specifics":{"ratesKb":[1.0],"levelWorth":[1.0],"cells":1}}"#;
    let settings = serde_json::from_str(text).expect("JSON");
    let (terms, report_fields) = kelpdoor_terms::read_terms(&settings).expect("settings");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    StartupConfig {
        config_path: "none".into(),
        name: "n".into(),
        listen: any,
        seed: 1,
        max_sockets: 256,
        max_memory: 32 << 20,
        changelog: any,
        known_changes: Vec::new(),
        last_known_change: 0,
        terms,
        report_fields,
        names: kelpdoor_terms::read_names(&settings).expect("settings"),
    }
}

#[test]
fn node_ids_do_not_depend_on_the_order_of_hosts() {
    let numbers = |order: [u32; 4]| {
        let host = |n: u32| {
            serde_json::json!({"host": format!("s-{n}"), "dial": format!("10.1.0.{n}:1"), "site": "a", "class": "b",
                "block": 0, "health": "up", "share": 1, "born_ms": 0})
        };
        let event = serde_json::json!({"seq": 1, "fleet": {"whole": true, "hosts": order.map(host)}});
        let known_changes = serde_json::json!({"seq": 1, "results": [event]});
        let (known_changes, last_known_change) =
            crate::changes::parse_known_events(&known_changes).expect("good events");
        let core = SessionCore::new(&StartupConfig { known_changes, last_known_change, ..config() }, 1000.0);
        core.state.node_ids.into_iter().collect::<BTreeMap<_, _>>()
    };
    let one = numbers([1, 2, 3, 4]);
    assert_eq!(one, numbers([4, 2, 1, 3]));
    assert_eq!(one.values().collect::<BTreeSet<_>>().len(), 4);
}

#[test]
fn setup_without_a_decision_fails_at_its_deadline() {
    let mut core = SessionCore::new(&config(), 1000.0);
    core.handle_input(1000.0, 0.0, Input::ViewerConnected { conn: 1 });
    let line = r#"{"verb":"START","tag":"0000000000000005","blob":"","opts":{"class":"c","left":2000,"key":"k",
        "extras":"home:0;copies:1;top:0"}}"#;
    core.handle_input(1000.0, 0.0, Input::ViewerMessage { conn: 1, message: parse(line.as_bytes()) });
    // Simulates a fault of the session logic that loses the set-up.
    core.state.round.new_sessions.clear();
    let mut sent = Vec::new();
    for now in [1000.0, 1001.9, 1001.99, 1003.0] {
        core.run_round(now, &mut |e| {
            if let Effect::SendViewer { bytes, .. } = e {
                sent.push((now, String::from_utf8_lossy(&bytes).into_owned()));
            }
        });
    }
    let answer = r#"{"verb":"FINISH","tag":"0000000000000005","opts":{},"rc":41}"#.to_owned() + "\n";
    assert_eq!(sent, [(1001.99, answer)]);
    assert_eq!((core.counts().open_setups, core.counts().timers), (0, 0));
}

#[test]
fn queued_rung_change_is_unique_and_dropped_before_releases() {
    let host = serde_json::json!({"host": "s-1", "dial": "10.1.0.1:1", "site": "a", "class": "b", "block": 0, "health": "up",
        "share": 1, "born_ms": 0});
    let event = serde_json::json!({"seq": 1, "fleet": {"whole": true, "hosts": [host]}});
    let known_changes = serde_json::json!({"seq": 1, "results": [event]});
    let (known_changes, last_known_change) =
        crate::changes::parse_known_events(&known_changes).expect("good events");
    let mut state =
        SessionCore::new(&StartupConfig { known_changes, last_known_change, ..config() }, 1000.0).state;
    let node = *state.nodes.keys().next().expect("one node");
    for _ in 0..3 {
        state.send_or_queue(node, PendingMessage::Rung(SessId(1)));
    }
    assert_eq!(state.nodes[&node].pending.len(), 1);
    (0..MAX_PENDING_PER_NODE as u64).for_each(|id| {
        state.send_or_queue(node, PendingMessage::Release(SessId(id), cause::NORMAL_CLEARING))
    });
    let pending = &state.nodes[&node].pending;
    assert!(
        pending.len() == MAX_PENDING_PER_NODE
            && pending.iter().all(|(_, o)| matches!(o, PendingMessage::Release(..))),
        "{}",
        pending.len()
    );
    assert_eq!(
        pending.front().map(|(_, o)| *o),
        Some(PendingMessage::Release(SessId(0), cause::NORMAL_CLEARING))
    );
}
