//! Each key of the settings: present, absent, of the wrong type, and out of range.

use expect_test::expect;
use serde_json::{Value, json};

use super::*;

fn complete_settings() -> Value {
    json!({
        "allowed": {"connIdleMs": 30000.0, "connectTimeoutMs": 250.0, "maxRetryAfterMs": 1500.0, "mayCancel": true,
            "retryAfter": true, "sendCap": 5},
        "discovery": "ask",
        "feedback": {"fields": ["x0", "x1"], "how": "piggyback"},
        "kinds": ["box"], "me": 1, "siblings": 3, "zone": 1, "zones": ["a", "b"],
        "prices": {"crossZone": 0.02},
        "profiles": [{"credit": 2.0, "name": "lecture", "promiseMs": 1500.0, "repeat": "keyed", "keyScope": "zone",
            "repeatWindowMs": 5000.0}],
        "rules": {"coldFrom": 0.4, "extraFree": 3.0, "fallMs": 3000.0, "ratioSpanMs": 5000.0, "repeatRatio": 0.2,
            "tipMultiple": 4.0, "warmWithinMs": 12000.0},
        "specifics": {"cells": 12, "highestRung": [9], "join": 0.25, "levelWorth": [0.3, 1.0], "licenceCap": [2], "linkUnitKb": 1908.0,
            "live": [true], "lowestRung": [1], "placesByKind": [39], "rackKb": 36230.0, "racks": 2, "ratesKb": [120.0, 221.0],
            "refusesFrom": 1.2,
            "scaleByClass": [1.4], "seenAfterMs": 1000.0, "switchCostS": 0.8, "toldEveryMs": 3250.0},
        "not": {"of": "this page"},
    })
}

fn result_text(settings: &Value) -> String {
    let read = read_terms(settings).map(|_| ()).and_then(|()| read_names(settings).map(|_| ()));
    read.map_or_else(|e| format!("{e:#}"), |()| "good".into())
}

#[test]
fn present_keys_are_read() {
    let (terms, report) = read_terms(&complete_settings()).expect("good settings");
    expect![[r#"Terms { me: 1, directors: 3, zone: 1, groups: [GroupTerms { start_target: 1.5, utility: 2.0, repeat: Within(Zone), repeat_window: 5.0, floor: 1, top: 1, scale: 1.4, seats: 2, join: 0.25 }], ladder: [120.0, 221.0], rung_utility: [0.3, 1.0], places_by_kind: [39.0], cells: 12, racks: 2, link_unit: 1908.0, rack_uplink: 36230.0, seen_after: 1.0, refuses_from: Some(1.2), told_every: 3.25, switch_cost: 0.8, cross_zone_price: 0.02, max_setups: 5, may_withdraw: true, come_back: Some(1.5), cold_from: 0.4, warm_within: 12.0, tip_multiple: 4.0, fall_window: 3.0, further: Some(FurtherBudget { free: 3.0, per_taken: 0.2, span: 5.0 }), ask_list: true, uplinks_told: true } ReportFields(["x0", "x1"]) Ok(SettingsNames { groups: ["lecture"], zones: ["a", "b"], kinds: ["box"], connect_timeout: 0.25, idle_timeout: 30.0 })"#]]
    .assert_eq(&format!("{terms:?} {report:?} {:?}", read_names(&complete_settings())));
}

/// Settings without any of the keys that may be absent.
#[test]
fn absent_keys_take_their_defaults() {
    let minimal = json!({"profiles": [{}], "specifics": {"ratesKb": [120.0], "levelWorth": [1.0]}});
    let (terms, report) = read_terms(&minimal).expect("enough");
    expect!["Terms { me: 0, directors: 1, zone: 0, groups: [GroupTerms { start_target: 0.0, utility: 1.0, repeat: Never, repeat_window: 0.0, floor: 0, top: 255, scale: 1.0, seats: 0, join: 1.0 }], ladder: [120.0], rung_utility: [1.0], places_by_kind: [], cells: 1, racks: 1, link_unit: 0.0, rack_uplink: 0.0, seen_after: 0.0, refuses_from: None, told_every: 0.0, switch_cost: 0.0, cross_zone_price: 0.0, max_setups: 1, may_withdraw: false, come_back: None, cold_from: 0.0, warm_within: 0.0, tip_multiple: 0.0, fall_window: 0.0, further: None, ask_list: false, uplinks_told: false } ReportFields([])"]
    .assert_eq(&format!("{terms:?} {report:?}"));
    let mut null = minimal.clone();
    null["rules"] = Value::Null;
    null["zones"] = Value::Null;
    assert_eq!(result_text(&null), "good");
}

#[test]
fn wrong_type_or_value_out_of_range_is_named_in_the_error() {
    let bad = [
        ("/allowed/sendCap", json!(-1)),
        ("/allowed/mayCancel", json!("yes")),
        ("/allowed/maxRetryAfterMs", json!(-5.0)),
        ("/allowed/connectTimeoutMs", json!([])),
        ("/discovery", json!("pull")),
        ("/feedback/fields", json!({"x0": 1})),
        ("/me", json!(0.5)),
        ("/siblings", json!("3")),
        ("/zone", json!(2)),
        ("/prices/crossZone", json!(-0.1)),
        ("/profiles", json!("lecture")),
        ("/profiles/0/name", json!(5)),
        ("/profiles/0/promiseMs", json!(-1500.0)),
        ("/profiles/0/credit", json!({"a": "value that is long, and longer than a line of a log should be"})),
        ("/rules", json!(4)),
        ("/rules/coldFrom", json!(1.5)),
        ("/rules/ratioSpanMs", json!(true)),
        ("/rules/repeatRatio", json!(-0.2)),
        ("/specifics/cells", json!(70000)),
        ("/specifics/highestRung", json!([-1])),
        ("/specifics/lowestRung", json!([2])),
        ("/specifics/join", json!(1.5)),
        ("/specifics/live", json!([1])),
        ("/specifics/refusesFrom", json!("0.8")),
        ("/specifics/levelWorth", json!([1.0])),
        ("/specifics/ratesKb", json!([221.0, 120.0])),
        ("/specifics/scaleByClass", json!(["wide"])),
        ("/specifics/seenAfterMs", json!(-1)),
    ];
    let mut all = String::new();
    for (place, value) in bad {
        let mut settings = complete_settings();
        *settings.pointer_mut(place).expect("a key of the complete settings") = value;
        all.push_str(&result_text(&settings));
        all.push('\n');
    }
    all.push_str(&result_text(&json!([])));
    expect![[r#"
        allowed.sendCap: -1 is not an integer from 0 to 4294967295
        allowed.mayCancel: "yes" is neither true nor false
        allowed.maxRetryAfterMs: -5.0 is no number from 0 on
        allowed.connectTimeoutMs: [] is no number from 0 on
        discovery: must be "push" or "ask"
        feedback.fields: {"x0":1} is not a list
        me: 0.5 is not an integer from 0 to 2
        siblings: "3" is not an integer from 0 to 4294967295
        zone: 2 is not an integer from 0 to 1
        prices.crossZone: -0.1 is no number from 0 on
        profiles: "lecture" is not a list
        profiles[0].name: 5 is not a string
        profiles[0].promiseMs: -1500.0 is no number from 0 on
        profiles[0].credit: {"a":"value that is long, and longer tha.. is no number from 0 on
        rules: 4 is not an object
        rules.coldFrom: 1.5 is not a number from 0 to 1
        rules.ratioSpanMs: true is no number from 0 on
        rules.repeatRatio: -0.2 is no number from 0 on
        specifics.cells: 70000 is not an integer from 0 to 65535
        specifics.highestRung[0]: -1 is not an integer from 0 to 255
        specifics.lowestRung[0]: 2 is not an integer from 0 to 1
        specifics.join: 1.5 is not a number from 0 to 1
        specifics.live[0]: 1 is neither true nor false
        specifics.refusesFrom: "0.8" is no number from 0 on
        specifics.levelWorth and ratesKb differ in length
        specifics.ratesKb: rates must not decrease
        specifics.scaleByClass[0]: "wide" is no number from 0 on
        specifics.seenAfterMs: -1 is no number from 0 on
        not a JSON object"#]]
    .assert_eq(&all);
}
