use super::*;
use crate::viewer::parse;

/// A start without nodes.
fn start() -> StartupConfig {
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
fn a_node_has_one_number_at_all_directors_whatever_they_heard_first() {
    let numbers = |order: [u32; 4]| {
        let host = |n: u32| {
            serde_json::json!({"host": format!("s-{n}"), "dial": format!("10.1.0.{n}:1"), "site": "a", "class": "b",
                "block": 0, "health": "up", "share": 1, "born_ms": 0})
        };
        let event = serde_json::json!({"seq": 1, "fleet": {"whole": true, "hosts": order.map(host)}});
        let known_changes = serde_json::json!({"seq": 1, "results": [event]});
        let (known_changes, last_known_change) =
            crate::changes::parse_known_events(&known_changes).expect("good events");
        let x = SessionCore::new(&StartupConfig { known_changes, last_known_change, ..start() }, 1000.0);
        x.hands.ids.into_iter().collect::<BTreeMap<_, _>>()
    };
    let one = numbers([1, 2, 3, 4]);
    assert_eq!(one, numbers([4, 2, 1, 3]));
    assert_eq!(one.values().collect::<BTreeSet<_>>().len(), 4);
}

#[test]
fn what_the_decisions_forget_is_answered_when_it_is_due() {
    let mut x = SessionCore::new(&start(), 1000.0);
    x.handle_input(1000.0, 0.0, Input::ViewerConnected { conn: 1 });
    let line = r#"{"verb":"START","tag":"0000000000000005","blob":"","opts":{"class":"c","left":2000,"key":"k",
        "extras":"home:0;copies:1;top:0"}}"#;
    x.handle_input(1000.0, 0.0, Input::ViewerMessage { conn: 1, message: parse(line.as_bytes()) });
    // As if a fault of theirs had lost it.
    x.hands.round.new_sessions.clear();
    let mut said = Vec::new();
    for now in [1000.0, 1001.9, 1001.99, 1003.0] {
        x.run_round(now, &mut |e| {
            if let Effect::SendViewer { bytes, .. } = e {
                said.push((now, String::from_utf8_lossy(&bytes).into_owned()));
            }
        });
    }
    let answer = r#"{"verb":"FINISH","tag":"0000000000000005","opts":{},"rc":41}"#.to_owned() + "\n";
    assert_eq!(said, [(1001.99, answer)]);
    assert_eq!((x.counts().open_setups, x.counts().timers), (0, 0));
}

#[test]
fn a_rung_waits_once_for_a_connection_and_gives_way_to_releases() {
    let host = serde_json::json!({"host": "s-1", "dial": "10.1.0.1:1", "site": "a", "class": "b", "block": 0, "health": "up",
        "share": 1, "born_ms": 0});
    let event = serde_json::json!({"seq": 1, "fleet": {"whole": true, "hosts": [host]}});
    let known_changes = serde_json::json!({"seq": 1, "results": [event]});
    let (known_changes, last_known_change) =
        crate::changes::parse_known_events(&known_changes).expect("good events");
    let mut h =
        SessionCore::new(&StartupConfig { known_changes, last_known_change, ..start() }, 1000.0).hands;
    let node = *h.nodes.keys().next().expect("one node");
    for _ in 0..3 {
        h.send_or_owe(node, Owed::Rung(SessId(1)));
    }
    assert_eq!(h.nodes[&node].owed.len(), 1);
    (0..OWED as u64).for_each(|id| h.send_or_owe(node, Owed::Release(SessId(id), cause::NORMAL_CLEARING)));
    let owed = &h.nodes[&node].owed;
    assert!(owed.len() == OWED && owed.iter().all(|(_, o)| matches!(o, Owed::Release(..))), "{}", owed.len());
    assert_eq!(owed.front().map(|(_, o)| *o), Some(Owed::Release(SessId(0), cause::NORMAL_CLEARING)));
}
