//! Load that builds up when something fails, derived from the target alone.

use kelpdoor_agreement::{RENEWALS_PER_LEASE, lease_duration};

use super::formatting::{figure, number, table as markdown_table};
use crate::scale::target::{FleetTarget, SECONDS_PER_DAY};

struct Event {
    what: String,
    frequency: String,
    backlog: String,
    duration: String,
    bound: &'static str,
}

fn events(target: &FleetTarget) -> Vec<Event> {
    let (t, f, a) = (&target.target, &target.faults, &target.assume);
    let held = target.sessions_per_director();
    let interval = |per_day: f64| format!("one each {}", figure(SECONDS_PER_DAY / per_day, "s"));
    let zone = t.directors / t.zones;
    let racks = a.directors_a_rack.min(t.directors);
    // Viewers of lost directors, for each remaining director.
    let per_remaining_director = |lost: f64| held * lost / (t.directors - lost).max(1.0);
    let refill_seconds = held / a.setups_a_second;
    let questions = t.directors * RENEWALS_PER_LEASE / lease_duration(a.contradiction);
    let region = t.directors / t.regions;
    let versions = target.changes_per_second() * f.region_cut;
    let setups = |viewers: f64| figure(viewers / a.setups_a_second, "s");
    let reconnect_bounds =
        "the session API's `come_back`, `players(sockets, sessions)`, the slots of SETUPs at nodes";
    vec![
        Event {
            what: "a director restarted or replaced".into(),
            frequency: interval(f.restarted_a_day),
            backlog: format!(
                "{} viewers come back: {} to each other director of its zone, or all to itself",
                number(held),
                number(held / (zone - 1.0).max(1.0))
            ),
            duration: format!(
                "{} on its zone, {} on itself at {} set-ups a second; {} directors are filling at any time then",
                setups(held / (zone - 1.0).max(1.0)),
                figure(refill_seconds, "s"),
                number(a.setups_a_second),
                number(f.restarted_a_day / SECONDS_PER_DAY * refill_seconds)
            ),
            bound: reconnect_bounds,
        },
        Event {
            what: format!("a rack or switch ({} directors assumed)", number(racks)),
            frequency: interval(f.racks_a_day),
            backlog: format!(
                "{} viewers: {} to each director left",
                number(held * racks),
                number(per_remaining_director(racks))
            ),
            duration: setups(per_remaining_director(racks)),
            bound: reconnect_bounds,
        },
        Event {
            what: format!("a zone ({} directors)", number(zone)),
            frequency: interval(f.zones_a_day),
            backlog: format!(
                "{} viewers: {} to each director left, which then holds {}",
                number(held * zone),
                number(per_remaining_director(zone)),
                number(held + per_remaining_director(zone))
            ),
            duration: setups(per_remaining_director(zone)),
            bound: reconnect_bounds,
        },
        Event {
            what: "a voter gone and back".into(),
            frequency: "with restarts and machines".into(),
            backlog: format!(
                "{} connections and as many first questions at it; {} questions a second before and after, at each \
                 of {} voters",
                number(t.directors),
                number(questions),
                number(a.voters)
            ),
            duration: format!(
                "a lease is {}; measured by `scale voters`",
                figure(lease_duration(a.contradiction), "s")
            ),
            bound: "connections and words waiting at a voter; a majority of the others renews meanwhile",
        },
        Event {
            what: format!("a region cut off for {} and healed", figure(f.region_cut, "s")),
            frequency: "now and then".into(),
            backlog: format!(
                "{} directors with {} viewers begin nothing; {} versions are missed, {} as whole documents of {}, \
                 {} if each director asks for the last alone",
                number(region),
                number(held * region),
                number(versions),
                figure(versions * a.document * region, "B"),
                figure(a.document, "B"),
                figure(a.document * region, "B")
            ),
            duration: format!(
                "{}, and a lease of {}",
                figure(f.region_cut, "s"),
                figure(lease_duration(a.contradiction), "s")
            ),
            bound: "what plays there plays on; a director asks for the newest version",
        },
        Event {
            what: format!("{} machines fail a day", number(f.machines_a_day)),
            frequency: interval(f.machines_a_day),
            backlog: format!(
                "as a director's restart if one director runs on each: {} of the fleet's viewers a day",
                number(f.machines_a_day / t.directors)
            ),
            duration: setups(per_remaining_director(1.0)),
            bound: reconnect_bounds,
        },
    ]
}

/// The table of failures as Markdown.
pub fn table(target: &FleetTarget) -> String {
    let rows: Vec<Vec<String>> = events(target)
        .into_iter()
        .map(|e| vec![e.what, e.frequency, e.backlog, e.duration, e.bound.to_owned()])
        .collect();
    markdown_table(
        &["event", "how often", "what piles up where", "how long (worked out)", "what bounds it"],
        &rows,
    )
}
