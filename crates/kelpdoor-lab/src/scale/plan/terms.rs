//! The table that maps the terms of the requirements to those of this software, with the derived quantities.

use super::formatting::{figure, number};
use crate::scale::target::{FleetTarget, SECONDS_PER_DAY};

fn rows(target: &FleetTarget) -> Vec<[String; 3]> {
    let t = &target.target;
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
                number(target.sessions_per_director())
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
                number(target.shards_per_director()),
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
                number(target.deliveries_per_director()),
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
                number(target.changes_per_second()),
                figure(1.0 / target.changes_per_second(), "s"),
                figure(t.in_force_within, "s")
            ),
        ),
        row(
            "control",
            "all that is not a viewer's or a node's session traffic",
            format!(
                "{} of a core, {}, {} a director, {} machines in all: one for {} directors",
                number(target.budget.core),
                figure(target.budget.memory, "B"),
                figure(target.budget.bytes, "B/s"),
                number(target.budget.machines),
                number(t.directors / target.budget.machines)
            ),
        ),
        row(
            "zone",
            "what is lost at once",
            format!(
                "one each {}: {} directors, {} viewers",
                figure(SECONDS_PER_DAY / target.faults.zones_a_day, "s"),
                number(t.directors / t.zones),
                number(t.connections / t.zones)
            ),
        ),
        row(
            "media node (not told)",
            "what sessions play from",
            format!(
                "{} sessions each are assumed: {} nodes",
                number(target.assume.sessions_a_node),
                number(target.node_count())
            ),
        ),
    ]
}

/// The table of terms as Markdown.
pub fn table(target: &FleetTarget) -> String {
    let rows: Vec<Vec<String>> = rows(target).into_iter().map(Vec::from).collect();
    super::formatting::table(&["the users' word", "ours", "the sum"], &rows)
}
