//! From the users' words to ours.

use super::show::{figure, number};
use crate::scale::target::{Aim, DAY};

fn rows(aim: &Aim) -> Vec<[String; 3]> {
    let t = &aim.target;
    let each = |x: f64| number(x / t.directors);
    let row = |a: &str, b: &str, c: String| [a.to_owned(), b.to_owned(), c];
    vec![
        row(
            "director",
            "one process of ours",
            format!(
                "{} in {} zones of {} regions: {} a zone",
                number(t.directors),
                t.zones,
                t.regions,
                number(t.directors / t.zones)
            ),
        ),
        row(
            "connection",
            "a viewer's session connection; at most one session plays on it",
            format!(
                "{} / {} = {} a director",
                number(t.connections),
                number(t.directors),
                number(aim.held())
            ),
        ),
        row(
            "topic",
            "a title, live above all",
            format!(
                "the largest has {} listeners: {} a director",
                number(t.largest_title),
                each(t.largest_title)
            ),
        ),
        row(
            "shard",
            "one title's sessions at one director",
            format!(
                "{} / {} = {} a director, {} sessions each",
                number(t.shards),
                number(t.directors),
                number(aim.shards()),
                number(t.connections / t.shards)
            ),
        ),
        row(
            "delivery",
            "one message to one viewer on its session connection",
            format!(
                "{} / {} = {} a second a director, one each {} to a viewer, {} for 99 in 100",
                number(t.deliveries),
                number(t.directors),
                number(aim.deliveries()),
                figure(t.connections / t.deliveries, "s"),
                figure(t.delivery_within, "s")
            ),
        ),
        row(
            "change of configuration",
            "a version of the agreed document",
            format!(
                "{} a day = {} a second, one each {}, in force everywhere within {}",
                number(t.changes_a_day),
                number(aim.changes()),
                figure(1.0 / aim.changes(), "s"),
                figure(t.in_force_within, "s")
            ),
        ),
        row(
            "control",
            "all that is not a viewer's or a node's session traffic",
            format!(
                "{} of a core, {}, {} a director, {} machines in all: one for {} directors",
                number(aim.budget.core),
                figure(aim.budget.memory, "B"),
                figure(aim.budget.bytes, "B/s"),
                number(aim.budget.machines),
                number(t.directors / aim.budget.machines)
            ),
        ),
        row(
            "zone",
            "what is lost at once",
            format!(
                "one each {}: {} directors, {} viewers",
                figure(DAY / aim.faults.zones_a_day, "s"),
                number(t.directors / t.zones),
                number(t.connections / t.zones)
            ),
        ),
        row(
            "media node (not told)",
            "what sessions play from",
            format!(
                "{} sessions each are assumed: {} nodes",
                number(aim.assume.sessions_a_node),
                number(aim.nodes())
            ),
        ),
    ]
}

pub fn table(aim: &Aim) -> String {
    let rows: Vec<Vec<String>> = rows(aim).into_iter().map(Vec::from).collect();
    super::show::table(&["the users' word", "ours", "the sum"], &rows)
}
