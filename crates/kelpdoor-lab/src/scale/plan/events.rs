//! What piles up where when something fails: worked out from the target alone.

use kelpdoor_agreement::{RENEWALS_PER_LEASE, lease_duration};

use super::formatting::{figure, number, table as show};
use crate::scale::target::{FleetTarget, SECONDS_PER_DAY};

struct Event {
    what: String,
    often: String,
    piles: String,
    lasts: String,
    bound: &'static str,
}

fn events(target: &FleetTarget) -> Vec<Event> {
    let (t, f, a) = (&target.target, &target.faults, &target.assume);
    let held = target.sessions_per_director();
    let each = |per_day: f64| format!("one each {}", figure(SECONDS_PER_DAY / per_day, "s"));
    let zone = t.directors / t.zones;
    let racks = a.directors_a_rack.min(t.directors);
    // Viewers of directors lost, on those that are left.
    let on_others = |lost: f64| held * lost / (t.directors - lost).max(1.0);
    let alone = held / a.setups_a_second;
    let questions = t.directors * RENEWALS_PER_LEASE / lease_duration(a.contradiction);
    let region = t.directors / t.regions;
    let versions = target.changes_per_second() * f.region_cut;
    let setups = |viewers: f64| figure(viewers / a.setups_a_second, "s");
    let spread = "the session API's `come_back`, `players(sockets, sessions)`, the slots of SETUPs at nodes";
    vec![
        Event {
            what: "a director restarted or replaced".into(),
            often: each(f.restarted_a_day),
            piles: format!(
                "{} viewers come back: {} to each other director of its zone, or all to itself",
                number(held),
                number(held / (zone - 1.0).max(1.0))
            ),
            lasts: format!(
                "{} on its zone, {} on itself at {} set-ups a second; {} directors are filling at any time then",
                setups(held / (zone - 1.0).max(1.0)),
                figure(alone, "s"),
                number(a.setups_a_second),
                number(f.restarted_a_day / SECONDS_PER_DAY * alone)
            ),
            bound: spread,
        },
        Event {
            what: format!("a rack or switch ({} directors assumed)", number(racks)),
            often: each(f.racks_a_day),
            piles: format!(
                "{} viewers: {} to each director left",
                number(held * racks),
                number(on_others(racks))
            ),
            lasts: setups(on_others(racks)),
            bound: spread,
        },
        Event {
            what: format!("a zone ({} directors)", number(zone)),
            often: each(f.zones_a_day),
            piles: format!(
                "{} viewers: {} to each director left, which then holds {}",
                number(held * zone),
                number(on_others(zone)),
                number(held + on_others(zone))
            ),
            lasts: setups(on_others(zone)),
            bound: spread,
        },
        Event {
            what: "a voter gone and back".into(),
            often: "with restarts and machines".into(),
            piles: format!(
                "{} connections and as many first questions at it; {} questions a second before and after, at each \
                 of {} voters",
                number(t.directors),
                number(questions),
                number(a.voters)
            ),
            lasts: format!(
                "a lease is {}; measured by `scale voters`",
                figure(lease_duration(a.contradiction), "s")
            ),
            bound: "connections and words waiting at a voter; a majority of the others renews meanwhile",
        },
        Event {
            what: format!("a region cut off for {} and healed", figure(f.region_cut, "s")),
            often: "now and then".into(),
            piles: format!(
                "{} directors with {} viewers begin nothing; {} versions are missed, {} as whole documents of {}, \
                 {} if each director asks for the last alone",
                number(region),
                number(held * region),
                number(versions),
                figure(versions * a.document * region, "B"),
                figure(a.document, "B"),
                figure(a.document * region, "B")
            ),
            lasts: format!(
                "{}, and a lease of {}",
                figure(f.region_cut, "s"),
                figure(lease_duration(a.contradiction), "s")
            ),
            bound: "what plays there plays on; a director asks for the newest version",
        },
        Event {
            what: format!("{} machines fail a day", number(f.machines_a_day)),
            often: each(f.machines_a_day),
            piles: format!(
                "as a director's restart if one director runs on each: {} of the fleet's viewers a day",
                number(f.machines_a_day / t.directors)
            ),
            lasts: setups(on_others(1.0)),
            bound: spread,
        },
    ]
}

pub fn table(target: &FleetTarget) -> String {
    let rows: Vec<Vec<String>> = events(target)
        .into_iter()
        .map(|e| vec![e.what, e.often, e.piles, e.lasts, e.bound.to_owned()])
        .collect();
    show(&["event", "how often", "what piles up where", "how long (worked out)", "what bounds it"], &rows)
}
