//! The keys of a document, and which value of each applies while some directors act on the old version and some on the new.
//! One pass over both versions destructures every settings type by field name, so that a key without a rule does not compile.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use kelpdoor_script::{
    AgreedNode, AgreedSettings, AgreedTitle, Deployment, Directors, Fleet, Further, Group, Keeper, Ladder,
    Lists, LocalSettings, School, SettingsError, Tokens, Voters,
};

use crate::follower::Rules;
use crate::lease_duration;
use crate::messages::VoterId;

/// How a key changes while both versions may be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyClass {
    /// The versions may differ; the new value applies at once.
    Free,
    /// The stricter of both values applies until no director can act on the old version.
    Strict,
    /// Neither value is stricter: the old one applies until no director can act on the old version alone, then the new one.
    Switched,
    /// Standing sessions or links depend on it: it must not change while the fleet runs.
    Fixed,
}

impl KeyClass {
    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            KeyClass::Free => "free",
            KeyClass::Strict => "stricter of both",
            KeyClass::Switched => "switched",
            KeyClass::Fixed => "fixed",
        }
    }
}

/// The effect of removing or draining a node.
const NODE_IMPACT: &str = "its sessions continue, no new ones are placed on it";

/// A key that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the key, such as `directors.names`.
    pub key: String,
    pub class: KeyClass,
    pub old: String,
    pub new: String,
    /// What the change cuts short, for operators.
    pub impact: Option<String>,
}

/// One pass over two versions that merges them and records the keys that differ.
struct DocumentMerge {
    changes: Vec<Change>,
    /// Path of the part being merged; empty at the top level.
    prefix: String,
}

impl DocumentMerge {
    fn record<T: Debug + PartialEq>(&mut self, class: KeyClass, key: &str, old: &T, new: &T) {
        if old != new {
            let key = if self.prefix.is_empty() { key.to_owned() } else { format!("{}.{key}", self.prefix) };
            let (old, new) = (format!("{old:?}"), format!("{new:?}"));
            self.changes.push(Change { key, class, old, new, impact: None });
        }
    }

    fn free<T: Debug + PartialEq + Clone>(&mut self, key: &str, old: &T, new: &T) -> T {
        self.record(KeyClass::Free, key, old, new);
        new.clone()
    }

    fn switched<T: Debug + PartialEq + Clone>(&mut self, key: &str, old: &T, new: &T) -> T {
        self.record(KeyClass::Switched, key, old, new);
        old.clone()
    }

    fn fixed<T: Debug + PartialEq + Clone>(&mut self, key: &str, old: &T, new: &T) -> T {
        self.record(KeyClass::Fixed, key, old, new);
        old.clone()
    }

    fn strict<T: Debug + PartialEq + Copy>(
        &mut self, key: &str, old: T, new: T, stricter: impl Fn(T, T) -> T, impact: &str,
    ) -> T {
        self.record(KeyClass::Strict, key, &old, &new);
        if old != new
            && stricter(old, new) == new
            && let Some(last) = self.changes.last_mut()
        {
            last.impact = Some(impact.to_owned());
        }
        stricter(old, new)
    }

    fn ladder(&mut self, old: &Ladder, new: &Ladder) -> Ladder {
        self.prefix = "ladder".into();
        // Link accounting holds sessions at the rates with which they were set up.
        let Ladder { rates, utility, switch_cost } = new;
        Ladder {
            rates: self.fixed("rates", &old.rates, rates),
            utility: self.switched("utility", &old.utility, utility),
            switch_cost: self.free("switch_cost", &old.switch_cost, switch_cost),
        }
    }

    fn group(&mut self, old: &Group, new: &Group) -> Group {
        self.prefix = format!("group {}", old.name);
        let Group {
            name,
            utility,
            start_target,
            repeat,
            repeat_window,
            floor,
            top,
            scale,
            seats,
            join,
            token,
        } = new;
        // 0 means no limit.
        let stricter_limit = |a: u32, b: u32| if a == 0 || b == 0 { a.max(b) } else { a.min(b) };
        let floor =
            self.strict("floor", old.floor, *floor, u8::max, "sessions that want less are turned away");
        Group {
            name: self.fixed("name", &old.name, name),
            utility: self.free("utility", &old.utility, utility),
            start_target: self.free("start_target", &old.start_target, start_target),
            repeat: self.switched("repeat", &old.repeat, repeat),
            repeat_window: self.strict(
                "repeat_window",
                old.repeat_window,
                *repeat_window,
                f64::min,
                "a SETUP with an unknown outcome is repeated for a shorter time",
            ),
            floor,
            // A floor that rises above it takes precedence: the floor is a rule.
            top: self.switched("top", &old.top, top).max(floor),
            scale: self.fixed("scale", &old.scale, scale),
            seats: self.strict(
                "seats",
                old.seats,
                *seats,
                stricter_limit,
                "new sessions of a title, until enough have ended",
            ),
            join: self.fixed("join", &old.join, join),
            token: self.fixed("token", &old.token, token),
        }
    }

    fn fleet(&mut self, old: &Fleet, new: &Fleet) -> Fleet {
        self.prefix = "fleet".into();
        let Fleet {
            zones,
            kinds,
            cells,
            racks,
            link_unit,
            rack_uplink,
            uplinks_told,
            refuses_from,
            seen_after,
            told_every,
            cold_from,
            warm_within,
            tip_multiple,
            fall_window,
            drain_grace,
            cross_zone_price,
        } = new;
        let warming_impact = "nodes that warm up receive fewer sessions";
        Fleet {
            zones: self.fixed("zones", &old.zones, zones),
            kinds: self.fixed("kinds", &old.kinds, kinds),
            cells: self.fixed("cells", &old.cells, cells),
            racks: self.fixed("racks", &old.racks, racks),
            link_unit: self.fixed("link_unit", &old.link_unit, link_unit),
            rack_uplink: self.fixed("rack_uplink", &old.rack_uplink, rack_uplink),
            uplinks_told: self.fixed("uplinks_told", &old.uplinks_told, uplinks_told),
            refuses_from: self.fixed("refuses_from", &old.refuses_from, refuses_from),
            seen_after: self.free("seen_after", &old.seen_after, seen_after),
            told_every: self.free("told_every", &old.told_every, told_every),
            cold_from: self.strict("cold_from", old.cold_from, *cold_from, f64::min, warming_impact),
            // Windows that have already begun are counted with these.
            warm_within: self.fixed("warm_within", &old.warm_within, warm_within),
            tip_multiple: self.strict(
                "tip_multiple",
                old.tip_multiple,
                *tip_multiple,
                f64::min,
                warming_impact,
            ),
            fall_window: self.fixed("fall_window", &old.fall_window, fall_window),
            drain_grace: self.strict(
                "drain_grace",
                old.drain_grace,
                *drain_grace,
                f64::min,
                "SETUPs in flight to a node that drains",
            ),
            cross_zone_price: self.free("cross_zone_price", &old.cross_zone_price, cross_zone_price),
        }
    }

    fn further(&mut self, old: &Option<Further>, new: &Option<Further>) -> Option<Further> {
        self.prefix = "further".into();
        let (Some(o), Some(Further { free, per_taken, span })) = (old, new) else {
            // Without a budget nothing is counted, so a new budget has no count to start from.
            return self.fixed("given", old, new);
        };
        let impact = "SETUPs beyond a session's first";
        Some(Further {
            free: self.strict("free", o.free, *free, f64::min, impact),
            per_taken: self.strict("per_taken", o.per_taken, *per_taken, f64::min, impact),
            span: self.fixed("span", &o.span, span),
        })
    }

    fn directors(&mut self, old: &Directors, new: &Directors) -> Directors {
        self.prefix = "directors".into();
        let Directors { names, max_setups, come_back, contradiction } = new;
        let gone: Vec<&str> = old.names.iter().filter(|n| !names.contains(n)).map(String::as_str).collect();
        let impact = (!gone.is_empty()).then(|| format!("directors that act no more: {}", gone.join(", ")));
        // `merge_numberings` merges the turns that follow from the names.
        let names = self.switched("names", &old.names, names);
        if let Some(last) = self.changes.last_mut().filter(|c| c.key == "directors.names") {
            last.impact = impact;
        }
        Directors {
            names,
            max_setups: self.strict("max_setups", old.max_setups, *max_setups, u32::min, "SETUPs a session"),
            come_back: self.free("come_back", &old.come_back, come_back),
            // A director that returns waits by it without knowing the preceding version.
            contradiction: self.fixed("contradiction", &old.contradiction, contradiction),
        }
    }

    /// A node is used if every active version lists it and none drains it.
    fn nodes(
        &mut self, old: &BTreeMap<u32, AgreedNode>, new: &BTreeMap<u32, AgreedNode>,
    ) -> BTreeMap<u32, AgreedNode> {
        let ids: BTreeSet<u32> = old.keys().chain(new.keys()).copied().collect();
        let mut merged = BTreeMap::new();
        for id in ids {
            self.prefix = format!("node {id}");
            let (Some(o), Some(AgreedNode { id, zone, kind, cell, drain })) = (old.get(&id), new.get(&id))
            else {
                self.record(KeyClass::Strict, "listed", &old.contains_key(&id), &new.contains_key(&id));
                if let Some(last) = self.changes.last_mut().filter(|_| !new.contains_key(&id)) {
                    last.impact = Some(NODE_IMPACT.into());
                }
                continue;
            };
            let node = AgreedNode {
                id: *id,
                // Link accounting and standing sessions depend on these.
                zone: self.fixed("zone", &o.zone, zone),
                kind: self.fixed("kind", &o.kind, kind),
                cell: self.fixed("cell", &o.cell, cell),
                drain: self.strict("drain", o.drain, *drain, |a, b| a || b, NODE_IMPACT),
            };
            merged.insert(*id, node);
        }
        merged
    }

    fn lists(&mut self, old: &Lists, new: &Lists) -> Lists {
        let Lists { nodes, titles } = new;
        if old == new {
            return old.clone();
        }
        let merged_nodes = match (&old.nodes, nodes) {
            (Some(o), Some(n)) => Some(self.nodes(o, n)),
            (one, other) => {
                self.prefix = String::new();
                self.record(KeyClass::Strict, "nodes listed", &one.is_some(), &other.is_some());
                if let Some(last) = self.changes.last_mut().filter(|_| one.is_none() && other.is_some()) {
                    last.impact = Some(format!("on nodes that the list does not name: {NODE_IMPACT}"));
                }
                one.as_ref().or(other.as_ref()).cloned()
            }
        };
        match (&old.titles, titles) {
            (Some(o), Some(n)) => {
                let names: BTreeSet<&String> = o.keys().chain(n.keys()).collect();
                let location = |t: Option<&AgreedTitle>| {
                    t.map(|AgreedTitle { name: _, first_cell, cells }| (*first_cell, *cells))
                };
                for name in names {
                    self.prefix = format!("title {name}");
                    self.record(
                        KeyClass::Switched,
                        "first cell and cells",
                        &location(o.get(name)),
                        &location(n.get(name)),
                    );
                }
            }
            (one, other) => {
                self.prefix = String::new();
                self.record(KeyClass::Switched, "titles listed", &one.is_some(), &other.is_some());
            }
        }
        Lists { nodes: merged_nodes, titles: old.titles.clone() }
    }

    /// A single keeper counts all seats of a school, so no other process can act on another number. The new number applies
    /// as soon as the keeper learns of it.
    fn schools(&mut self, old: &[School], new: &[School]) -> Vec<School> {
        let seats_by_name = |schools: &[School]| -> BTreeMap<String, u32> {
            let name = |School { name, seats, seat_class }: &School| {
                (seat_class.as_ref().map_or(name.clone(), |c| format!("{name}:{c}")), *seats)
            };
            schools.iter().map(name).collect()
        };
        let (old_seats, new_seats) = (seats_by_name(old), seats_by_name(new));
        let names: BTreeSet<&String> = old_seats.keys().chain(new_seats.keys()).collect();
        for name in names {
            self.prefix = format!("school {name}");
            let (o, n) =
                (old_seats.get(name).copied().unwrap_or(0), new_seats.get(name).copied().unwrap_or(0));
            self.record(KeyClass::Free, "seats", &o, &n);
            if let Some(last) = self.changes.last_mut().filter(|_| n < o) {
                last.impact = Some("new viewers of it, until enough seats came back".into());
            }
        }
        new.to_vec()
    }

    fn voters(&mut self, old: &Voters, new: &Voters) -> Voters {
        self.prefix = "voters".into();
        let Voters { at } = new;
        let gone: Vec<String> = old.at.keys().filter(|v| !at.contains_key(v)).map(u8::to_string).collect();
        // Directors need no stricter value: each version's own list decides the next version and grants leases on it.
        let at = self.free("at", &old.at, at);
        if let Some(last) = self.changes.last_mut().filter(|c| c.key == "voters.at" && !gone.is_empty()) {
            last.impact = Some(format!("voters that no longer decide: {}", gone.join(", ")));
        }
        Voters { at }
    }

    fn tokens(&mut self, old: &Option<Tokens>, new: &Option<Tokens>) -> Option<Tokens> {
        self.prefix = "tokens".into();
        let (Some(o), Some(n)) = (old, new) else { return self.fixed("given", old, new) };
        let Tokens { keys, audience, longest, clock_error, a_second, socket_a_second, warn, reread } = n;
        // Token verifiers are created when a director starts.
        Some(Tokens {
            keys: self.fixed("keys", &o.keys, keys),
            audience: self.fixed("audience", &o.audience, audience),
            longest: self.fixed("longest", &o.longest, longest),
            clock_error: self.fixed("clock_error", &o.clock_error, clock_error),
            a_second: self.fixed("a_second", &o.a_second, a_second),
            socket_a_second: self.fixed("socket_a_second", &o.socket_a_second, socket_a_second),
            warn: self.free("warn", &o.warn, warn),
            reread: self.fixed("reread", &o.reread, reread),
        })
    }

    fn keeper(&mut self, old: &Option<Keeper>, new: &Option<Keeper>) -> Option<Keeper> {
        self.prefix = "keeper".into();
        let (Some(o), Some(n)) = (old, new) else { return self.fixed("given", old, new) };
        let Keeper { address, listen, ledger, lease, clock_error, wait, beat_every, ahead } = n;
        // The connection to the keeper and the seat leases are set up when a director starts.
        Some(Keeper {
            address: self.fixed("address", &o.address, address),
            listen: self.fixed("listen", &o.listen, listen),
            ledger: self.fixed("ledger", &o.ledger, ledger),
            lease: self.fixed("lease", &o.lease, lease),
            clock_error: self.fixed("clock_error", &o.clock_error, clock_error),
            wait: self.fixed("wait", &o.wait, wait),
            beat_every: self.fixed("beat_every", &o.beat_every, beat_every),
            ahead: self.fixed("ahead", &o.ahead, ahead),
        })
    }
}

/// Merges two versions into the rules to act on while both may be in use, and lists every key that differs.
pub fn merge_documents(old: &AgreedSettings, new: &AgreedSettings) -> (AgreedSettings, Vec<Change>) {
    let mut merge = DocumentMerge { changes: Vec::new(), prefix: String::new() };
    let AgreedSettings { ladder, groups, fleet, further, directors, voters, lists, schools, tokens, keeper } =
        new;
    let group_names = |groups: &[Group]| groups.iter().map(|g| g.name.clone()).collect::<Vec<_>>();
    // Groups are identified by their position.
    merge.fixed("groups", &group_names(&old.groups), &group_names(groups));
    let merged = AgreedSettings {
        ladder: merge.ladder(&old.ladder, ladder),
        groups: old.groups.iter().zip(groups).map(|(o, n)| merge.group(o, n)).collect(),
        fleet: merge.fleet(&old.fleet, fleet),
        further: merge.further(&old.further, further),
        directors: merge.directors(&old.directors, directors),
        voters: merge.voters(&old.voters, voters),
        lists: merge.lists(&old.lists, lists),
        schools: merge.schools(&old.schools, schools),
        tokens: merge.tokens(&old.tokens, tokens),
        keeper: merge.keeper(&old.keeper, keeper),
    };
    (merged, merge.changes)
}

/// Checks whether a document may replace the one before it, and returns the keys that change.
///
/// # Errors
/// Names the first key that must not change so. `sure` confirms the changes that only need confirmation.
pub fn check_transition(
    old: &AgreedSettings, new: &AgreedSettings, sure: bool,
) -> Result<Vec<Change>, String> {
    let (_, changes) = merge_documents(old, new);
    if let Some(c) = changes.iter().find(|c| c.class == KeyClass::Fixed) {
        return Err(format!("{}: it cannot change while the fleet runs, from {} to {}", c.key, c.old, c.new));
    }
    // A keeper identifies directors by their numbers.
    let mut positions = old.directors.names.iter().zip(&new.directors.names);
    if let Some((was, is)) = positions.find(|(was, is)| was != is).filter(|_| new.keeper.is_some()) {
        return Err(format!(
            "directors.names: {is} would take the position of {was}; with a seat keeper, names may be added and removed only at the end"
        ));
    }
    let kept = old.directors.names.iter().filter(|n| new.directors.names.contains(n)).count();
    if kept * 2 <= old.directors.names.len() && !sure {
        let of = old.directors.names.len();
        return Err(format!(
            "directors.names: {} of {of} directors would go at once; say --sure if so",
            of - kept
        ));
    }
    if let (Some(o), Some(n)) = (&old.lists.nodes, &new.lists.nodes) {
        let is_used = |id: &u32| n.get(id).is_some_and(|n| !n.drain);
        let (stay, of) = (o.keys().filter(|id| is_used(id)).count(), o.len());
        let used_before = o.values().filter(|n| !n.drain).count();
        if stay * 2 <= of && stay < used_before && !sure {
            return Err(format!("node: {stay} of {of} nodes would be left to use; say --sure if so"));
        }
    }
    let stay = old.voters.at.keys().filter(|v| new.voters.at.contains_key(v)).count();
    if stay * 2 <= old.voters.at.len() && !sure {
        let of = old.voters.at.len();
        return Err(format!("voters.at: {} of {of} voters would go at once; say --sure if so", of - stay));
    }
    Ok(changes)
}

/// The settings that a director acts on: those of one version, or of several merged.
#[derive(Clone, Debug)]
pub struct MergedRules {
    /// The agreed settings.
    shared: AgreedSettings,
    /// The newest version combined with the director's local settings. `shared` replaces its agreed part.
    deployment: Arc<Deployment>,
    /// The newest version lists this director.
    pub listed: bool,
    /// The director's turns: its number and the total count.
    turns: (u32, u32),
}

impl MergedRules {
    /// The complete settings of the director.
    pub fn deployment(&self) -> Deployment {
        let mut deployment = Deployment::clone(&self.deployment);
        let AgreedSettings {
            ladder,
            groups,
            fleet,
            further,
            directors,
            voters: _,
            lists,
            schools: _,
            tokens,
            keeper,
        } = self.shared.clone();
        (deployment.ladder, deployment.groups, deployment.fleet, deployment.further) =
            (ladder, groups, fleet, further);
        (deployment.tokens, deployment.keeper, deployment.lists) = (tokens, keeper, lists);
        (deployment.director.max_setups, deployment.director.come_back) =
            (directors.max_setups, directors.come_back);
        (deployment.director.me, deployment.director.of) = self.turns;
        deployment
    }
}

impl Rules for MergedRules {
    type LocalSettings = LocalSettings;

    fn read(local: &LocalSettings, text: &str) -> Result<Self, String> {
        let (deployment, shared, listed) =
            local.merge_document(text).map_err(|errors| first_error(&errors))?;
        let names = &shared.directors.names;
        let at = names.iter().position(|n| *n == local.agreement.name).map(|at| at as u32);
        let turns = merge_numberings(&[(at, names.len() as u32)]);
        Ok(MergedRules { shared, deployment: Arc::new(deployment), listed, turns })
    }

    fn lease(&self) -> f64 {
        lease_duration(self.shared.directors.contradiction)
    }

    fn voters(&self) -> Vec<VoterId> {
        self.shared.voters.at.keys().copied().map(VoterId).collect()
    }

    fn addresses(&self) -> BTreeMap<u8, SocketAddr> {
        self.shared.voters.at.clone()
    }

    fn merge(older: &Self, newer: &Self) -> Self {
        let numbering = |rules: &Self| (Some(rules.turns.0), rules.turns.1);
        MergedRules {
            shared: merge_documents(&older.shared, &newer.shared).0,
            deployment: newer.deployment.clone(),
            listed: newer.listed,
            turns: merge_numberings(&[numbering(older), numbering(newer)]),
        }
    }
}

/// The schools and seats that a seat keeper counts. The newest version's apply, since no other process counts them.
#[derive(Clone, Debug)]
pub struct SchoolSeats {
    shared: Arc<AgreedSettings>,
}

impl SchoolSeats {
    pub fn schools(&self) -> &[School] {
        &self.shared.schools
    }
}

impl Rules for SchoolSeats {
    type LocalSettings = ();

    fn read((): &(), text: &str) -> Result<Self, String> {
        let shared = AgreedSettings::parse("the document", text).map_err(|errors| first_error(&errors))?;
        Ok(SchoolSeats { shared: Arc::new(shared) })
    }

    fn lease(&self) -> f64 {
        lease_duration(self.shared.directors.contradiction)
    }

    fn voters(&self) -> Vec<VoterId> {
        self.shared.voters.at.keys().copied().map(VoterId).collect()
    }

    fn addresses(&self) -> BTreeMap<u8, SocketAddr> {
        self.shared.voters.at.clone()
    }

    fn merge(_: &Self, newer: &Self) -> Self {
        newer.clone()
    }
}

fn first_error(errors: &[SettingsError]) -> String {
    errors.first().map_or_else(|| "unknown error".to_owned(), ToString::to_string)
}

/// Merges the numberings of several versions, so that a director takes only turns that are its own under all of them.
/// `numberings` holds, for each version, the director's number, if listed, and the count of directors. Returns the number and
/// the count of the merged numbering, which is 1,000,000,000 for a director without turns.
pub fn merge_numberings(numberings: &[(Option<u32>, u32)]) -> (u32, u32) {
    /// The result for a director without turns: the count exceeds that of any list.
    const NO_TURNS: (u32, u32) = (999_999_999, 1_000_000_000);
    let (mut me, mut of) = (0u64, 1u64);
    for (number, n) in numberings {
        let Some(number) = number.filter(|p| p < n) else { return NO_TURNS };
        // The first turn that is the director's under the earlier numberings and under this one, if any.
        let n = u64::from(*n);
        let Some(at) = (0..n).map(|k| me + k * of).find(|at| at % n == u64::from(number)) else {
            return NO_TURNS;
        };
        let (mut a, mut b) = (of, n);
        while b != 0 {
            (a, b) = (b, a % b);
        }
        of = of / a * n;
        me = at % of;
        if of > u64::from(NO_TURNS.1) {
            return NO_TURNS;
        }
    }
    (me as u32, of as u32)
}
