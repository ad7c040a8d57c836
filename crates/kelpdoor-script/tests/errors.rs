//! Errors in settings scripts, with their positions.

use expect_test::{Expect, expect};
use kelpdoor_script::Deployment;

const VALID: &str = r#"
ladder(rates = [120, 405, 1365], utility = [0.2, 0.6, 1.0])
group("lecture", utility = 2, start_target = 1.5, repeat = "never")
fleet(zones = ["east"], kinds = {"box": 39}, cells = 4, racks = 2, link_unit = 1908, seen_after = 1,
      told_every = 3, cold_from = 0.4, warm_within = 12, tip_multiple = 4, fall_window = 3, drain_grace = 1)
director(me = 0, of = 2, zone = "east", listen = "127.0.0.1:0", max_setups = 3)
roster(address = "127.0.0.1:9000")
"#;

fn assert_errors(text: &str, expected: Expect) {
    let errors = Deployment::parse("d.star", text).expect_err("errors");
    expected.assert_eq(&errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"));
}

#[test]
fn valid_settings_convert_to_terms() {
    let terms = Deployment::parse("d.star", VALID).expect("good").terms();
    assert_eq!((terms.directors, terms.groups[0].top, terms.places_by_kind[0]), (2, 2, 39.0));
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let text = VALID
        .replace("utility = 2,", "utilty = 2,")
        .replace("of = 2", "of = 0")
        .replace("racks = 2", "racks = 9");
    assert_errors(
        &text,
        expect![[r#"
        d.star:3:1: group: unknown field `utilty`, expected one of `name`, `utility`, `start_target`, `repeat`, `repeat_window`, `floor`, `top`, `scale`, `seats`, `join`, `token`
        d.star:4:1: fleet: 1 <= racks <= cells
        d.star:6:1: director: me must be below of, and of at most 10,000"#]],
    );
}

#[test]
fn undefined_name_or_builtin_of_another_script_is_an_error() {
    assert_errors(
        &(VALID.to_owned() + "x = lader\ncrash(at = 3)\n"),
        expect![[r#"
        d.star:8:5: Use of undefined variable `lader`
        d.star:9:1: Use of undefined variable `crash`"#]],
    );
}

#[test]
fn script_over_step_memory_or_stack_limit_is_stopped() {
    assert_errors(
        "def f():\n    for i in range(1000000000):\n        pass\nf()\n",
        expect!["d.star:0:0: Execution duration limit of 500000 ticks has been exceeded"],
    );
    assert_errors(
        "def f():\n    x = 'a'\n    for i in range(60):\n        x = x + x\nf()\n",
        expect![[r#"
        d.star:0:0: Heap memory limit of 33554432 bytes exceeded.
        This error is usually emitted some time after the limit is actually exceeded, so the span may not be informative."#]],
    );
    assert_errors("def f(): return f()\nf()\n", expect!["d.star:1:17: Starlark call stack overflow"]);
}

#[test]
fn syntax_error_or_missing_builtins_are_reported() {
    assert_errors(
        "ladder(rates = [1, 2)\n",
        expect!["d.star:1:21: Parse error: unexpected symbol ')', expected symbol ']'"],
    );
    assert_errors(
        "",
        expect![[r#"
        d.star:0:0: ladder(..) is missing
        d.star:0:0: fleet(..) is missing
        d.star:0:0: director(..) is missing
        d.star:0:0: roster(..) is missing"#]],
    );
}
