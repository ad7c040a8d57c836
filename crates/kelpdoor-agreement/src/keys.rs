//! Each key of a document, and what holds for it while some directors act on the old version and some on the new: one
//! walk over both that takes every field apart by name, so that a key without a row does not compile.

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

/// What becomes of a key while both versions may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyClass {
    /// May differ: the new one at once.
    Free,
    /// The stricter of both until nobody can act on the old.
    Strict,
    /// No stricter exists: the old one until nobody can act on the old alone, then the new.
    Switched,
    /// What stands was built on it: it does not change while the fleet runs.
    Fixed,
}

impl KeyClass {
    pub fn name(self) -> &'static str {
        match self {
            KeyClass::Free => "free",
            KeyClass::Strict => "stricter of both",
            KeyClass::Switched => "switched",
            KeyClass::Fixed => "fixed",
        }
    }
}

/// Whom a node's end or drain cuts short.
const NOTHING_NEW: &str = "what plays there plays on, nothing new goes to it";

/// A key that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub key: String,
    pub class: KeyClass,
    pub old: String,
    pub new: String,
    /// Whom it cuts short, in words.
    pub impact: Option<String>,
}

struct Walk {
    changes: Vec<Change>,
    within: String,
}

impl Walk {
    fn row<T: Debug + PartialEq>(&mut self, class: KeyClass, key: &str, old: &T, new: &T) {
        if old != new {
            let key = if self.within.is_empty() { key.to_owned() } else { format!("{}.{key}", self.within) };
            let (old, new) = (format!("{old:?}"), format!("{new:?}"));
            self.changes.push(Change { key, class, old, new, impact: None });
        }
    }

    fn free<T: Debug + PartialEq + Clone>(&mut self, key: &str, old: &T, new: &T) -> T {
        self.row(KeyClass::Free, key, old, new);
        new.clone()
    }

    fn switched<T: Debug + PartialEq + Clone>(&mut self, key: &str, old: &T, new: &T) -> T {
        self.row(KeyClass::Switched, key, old, new);
        old.clone()
    }

    fn fixed<T: Debug + PartialEq + Clone>(&mut self, key: &str, old: &T, new: &T) -> T {
        self.row(KeyClass::Fixed, key, old, new);
        old.clone()
    }

    fn strict<T: Debug + PartialEq + Copy>(
        &mut self, key: &str, old: T, new: T, stricter: impl Fn(T, T) -> T, cuts: &str,
    ) -> T {
        self.row(KeyClass::Strict, key, &old, &new);
        if old != new
            && stricter(old, new) == new
            && let Some(last) = self.changes.last_mut()
        {
            last.impact = Some(cuts.to_owned());
        }
        stricter(old, new)
    }

    fn ladder(&mut self, old: &Ladder, new: &Ladder) -> Ladder {
        self.within = "ladder".into();
        // Accounts of links hold what stands at the rates it was set up with.
        let Ladder { rates, utility, switch_cost } = new;
        Ladder {
            rates: self.fixed("rates", &old.rates, rates),
            utility: self.switched("utility", &old.utility, utility),
            switch_cost: self.free("switch_cost", &old.switch_cost, switch_cost),
        }
    }

    fn group(&mut self, old: &Group, new: &Group) -> Group {
        self.within = format!("group {}", old.name);
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
        // 0 stands for any number.
        let fewer = |a: u32, b: u32| if a == 0 || b == 0 { a.max(b) } else { a.min(b) };
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
                "a SETUP in doubt is repeated for a shorter time",
            ),
            floor,
            // A floor that rose over it counts for more: it is a rule.
            top: self.switched("top", &old.top, top).max(floor),
            scale: self.fixed("scale", &old.scale, scale),
            seats: self.strict(
                "seats",
                old.seats,
                *seats,
                fewer,
                "new sessions of a title, until enough have ended",
            ),
            join: self.fixed("join", &old.join, join),
            token: self.fixed("token", &old.token, token),
        }
    }

    fn fleet(&mut self, old: &Fleet, new: &Fleet) -> Fleet {
        self.within = "fleet".into();
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
        let slower = "nodes that warm take less";
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
            cold_from: self.strict("cold_from", old.cold_from, *cold_from, f64::min, slower),
            // Windows already begun are counted by these.
            warm_within: self.fixed("warm_within", &old.warm_within, warm_within),
            tip_multiple: self.strict("tip_multiple", old.tip_multiple, *tip_multiple, f64::min, slower),
            fall_window: self.fixed("fall_window", &old.fall_window, fall_window),
            drain_grace: self.strict(
                "drain_grace",
                old.drain_grace,
                *drain_grace,
                f64::min,
                "SETUPs on their way to a node that drains",
            ),
            cross_zone_price: self.free("cross_zone_price", &old.cross_zone_price, cross_zone_price),
        }
    }

    fn further(&mut self, old: &Option<Further>, new: &Option<Further>) -> Option<Further> {
        self.within = "further".into();
        let (Some(o), Some(Further { free, per_taken, span })) = (old, new) else {
            // Without a budget nothing is counted that one could begin with.
            return self.fixed("given", old, new);
        };
        let cuts = "SETUPs beyond a session's first";
        Some(Further {
            free: self.strict("free", o.free, *free, f64::min, cuts),
            per_taken: self.strict("per_taken", o.per_taken, *per_taken, f64::min, cuts),
            span: self.fixed("span", &o.span, span),
        })
    }

    fn directors(&mut self, old: &Directors, new: &Directors) -> Directors {
        self.within = "directors".into();
        let Directors { names, max_setups, come_back, contradiction } = new;
        let gone: Vec<&str> = old.names.iter().filter(|n| !names.contains(n)).map(String::as_str).collect();
        let cuts = (!gone.is_empty()).then(|| format!("directors that act no more: {}", gone.join(", ")));
        // Numbers are merged apart, by `merge_numberings`.
        let names = self.switched("names", &old.names, names);
        if let Some(last) = self.changes.last_mut().filter(|c| c.key == "directors.names") {
            last.impact = cuts;
        }
        Directors {
            names,
            max_setups: self.strict("max_setups", old.max_setups, *max_setups, u32::min, "SETUPs a session"),
            come_back: self.free("come_back", &old.come_back, come_back),
            // Who comes back waits by it without knowing the version before.
            contradiction: self.fixed("contradiction", &old.contradiction, contradiction),
        }
    }

    /// A node is used where every version that may be acted on has it, and none drains it.
    fn nodes(
        &mut self, old: &BTreeMap<u32, AgreedNode>, new: &BTreeMap<u32, AgreedNode>,
    ) -> BTreeMap<u32, AgreedNode> {
        let ids: BTreeSet<u32> = old.keys().chain(new.keys()).copied().collect();
        let mut both = BTreeMap::new();
        for id in ids {
            self.within = format!("node {id}");
            let (Some(o), Some(AgreedNode { id, zone, kind, cell, drain })) = (old.get(&id), new.get(&id))
            else {
                self.row(KeyClass::Strict, "listed", &old.contains_key(&id), &new.contains_key(&id));
                if let Some(last) = self.changes.last_mut().filter(|_| !new.contains_key(&id)) {
                    last.impact = Some(NOTHING_NEW.into());
                }
                continue;
            };
            let node = AgreedNode {
                id: *id,
                // Accounts and standing sessions are kept by these.
                zone: self.fixed("zone", &o.zone, zone),
                kind: self.fixed("kind", &o.kind, kind),
                cell: self.fixed("cell", &o.cell, cell),
                drain: self.strict("drain", o.drain, *drain, |a, b| a || b, NOTHING_NEW),
            };
            both.insert(*id, node);
        }
        both
    }

    fn lists(&mut self, old: &Lists, new: &Lists) -> Lists {
        let Lists { nodes, titles } = new;
        if old == new {
            return old.clone();
        }
        let both = match (&old.nodes, nodes) {
            (Some(o), Some(n)) => Some(self.nodes(o, n)),
            (one, other) => {
                self.within = String::new();
                self.row(KeyClass::Strict, "nodes listed", &one.is_some(), &other.is_some());
                if let Some(last) = self.changes.last_mut().filter(|_| one.is_none() && other.is_some()) {
                    last.impact = Some(format!("at nodes that it does not name: {NOTHING_NEW}"));
                }
                one.as_ref().or(other.as_ref()).cloned()
            }
        };
        match (&old.titles, titles) {
            (Some(o), Some(n)) => {
                let names: BTreeSet<&String> = o.keys().chain(n.keys()).collect();
                let lies = |t: Option<&AgreedTitle>| {
                    t.map(|AgreedTitle { name: _, first_cell, cells }| (*first_cell, *cells))
                };
                for name in names {
                    self.within = format!("title {name}");
                    self.row(
                        KeyClass::Switched,
                        "first cell and cells",
                        &lies(o.get(name)),
                        &lies(n.get(name)),
                    );
                }
            }
            (one, other) => {
                self.within = String::new();
                self.row(KeyClass::Switched, "titles listed", &one.is_some(), &other.is_some());
            }
        }
        Lists { nodes: both, titles: old.titles.clone() }
    }

    /// One keeper counts all seats of a school, so nobody else can act on another number: it goes by the new one as soon as
    /// it hears of it.
    fn schools(&mut self, old: &[School], new: &[School]) -> Vec<School> {
        let seats = |of: &[School]| -> BTreeMap<String, u32> {
            let name = |School { name, seats, seat_class }: &School| {
                (seat_class.as_ref().map_or(name.clone(), |c| format!("{name}:{c}")), *seats)
            };
            of.iter().map(name).collect()
        };
        let (old, named) = (seats(old), seats(new));
        let names: BTreeSet<&String> = old.keys().chain(named.keys()).collect();
        for name in names {
            self.within = format!("school {name}");
            let (o, n) = (old.get(name).copied().unwrap_or(0), named.get(name).copied().unwrap_or(0));
            self.row(KeyClass::Free, "seats", &o, &n);
            if let Some(last) = self.changes.last_mut().filter(|_| n < o) {
                last.impact = Some("new viewers of it, until enough seats came back".into());
            }
        }
        new.to_vec()
    }

    fn voters(&mut self, old: &Voters, new: &Voters) -> Voters {
        self.within = "voters".into();
        let Voters { at } = new;
        let gone: Vec<String> = old.at.keys().filter(|v| !at.contains_key(v)).map(u8::to_string).collect();
        // Directors need no side of it: each version's own list decides the one after it, and gives leases on it.
        let at = self.free("at", &old.at, at);
        if let Some(last) = self.changes.last_mut().filter(|c| c.key == "voters.at" && !gone.is_empty()) {
            last.impact = Some(format!("voters that decide no more: {}", gone.join(", ")));
        }
        Voters { at }
    }

    fn tokens(&mut self, old: &Option<Tokens>, new: &Option<Tokens>) -> Option<Tokens> {
        self.within = "tokens".into();
        let (Some(o), Some(n)) = (old, new) else { return self.fixed("given", old, new) };
        let Tokens { keys, audience, longest, clock_error, a_second, socket_a_second, warn, reread } = n;
        // Verifiers are made at a director's start.
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
        self.within = "keeper".into();
        let (Some(o), Some(n)) = (old, new) else { return self.fixed("given", old, new) };
        let Keeper { address, listen, ledger, lease, clock_error, wait, beat_every, ahead } = n;
        // The way to the keeper and what is held of it are made at a director's start.
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

/// What is acted on while both versions may be, and every key that differs.
pub fn merge_documents(old: &AgreedSettings, new: &AgreedSettings) -> (AgreedSettings, Vec<Change>) {
    let mut w = Walk { changes: Vec::new(), within: String::new() };
    let AgreedSettings { ladder, groups, fleet, further, directors, voters, lists, schools, tokens, keeper } =
        new;
    let names = |groups: &[Group]| groups.iter().map(|g| g.name.clone()).collect::<Vec<_>>();
    // Groups are known by their place.
    w.fixed("groups", &names(&old.groups), &names(groups));
    let merged = AgreedSettings {
        ladder: w.ladder(&old.ladder, ladder),
        groups: old.groups.iter().zip(groups).map(|(o, n)| w.group(o, n)).collect(),
        fleet: w.fleet(&old.fleet, fleet),
        further: w.further(&old.further, further),
        directors: w.directors(&old.directors, directors),
        voters: w.voters(&old.voters, voters),
        lists: w.lists(&old.lists, lists),
        schools: w.schools(&old.schools, schools),
        tokens: w.tokens(&old.tokens, tokens),
        keeper: w.keeper(&old.keeper, keeper),
    };
    (merged, w.changes)
}

/// Whether a document may follow another one.
///
/// # Errors
/// The first reason against it, naming the key. `sure` passes over the reasons that ask for a word.
pub fn check_transition(
    old: &AgreedSettings, new: &AgreedSettings, sure: bool,
) -> Result<Vec<Change>, String> {
    let (_, changes) = merge_documents(old, new);
    if let Some(c) = changes.iter().find(|c| c.class == KeyClass::Fixed) {
        return Err(format!("{}: it cannot change while the fleet runs, from {} to {}", c.key, c.old, c.new));
    }
    // A keeper knows directors by their numbers.
    let mut places = old.directors.names.iter().zip(&new.directors.names);
    if let Some((was, is)) = places.find(|(was, is)| was != is).filter(|_| new.keeper.is_some()) {
        return Err(format!(
            "directors.names: {was} has the place that {is} would get; where seats are kept, names come and go at the end"
        ));
    }
    let left = old.directors.names.iter().filter(|n| new.directors.names.contains(n)).count();
    if left * 2 <= old.directors.names.len() && !sure {
        let of = old.directors.names.len();
        return Err(format!(
            "directors.names: {} of {of} directors would go at once; say --sure if so",
            of - left
        ));
    }
    if let (Some(o), Some(n)) = (&old.lists.nodes, &new.lists.nodes) {
        let used = |id: &u32| n.get(id).is_some_and(|n| !n.drain);
        let (stay, of) = (o.keys().filter(|id| used(id)).count(), o.len());
        let were = o.values().filter(|n| !n.drain).count();
        if stay * 2 <= of && stay < were && !sure {
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

/// The settings that a director goes by, of one version or of several at their stricter side.
#[derive(Clone, Debug)]
pub struct MergedRules {
    /// What all share.
    shared: AgreedSettings,
    /// With the director's own, of the newest version; what all share stands above.
    book: Arc<Deployment>,
    /// The newest version names this director.
    pub listed: bool,
    /// Its turns: the number under which, among how many.
    turns: (u32, u32),
}

impl MergedRules {
    pub fn deployment(&self) -> Deployment {
        let mut book = Deployment::clone(&self.book);
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
        (book.ladder, book.groups, book.fleet, book.further) = (ladder, groups, fleet, further);
        (book.tokens, book.keeper, book.lists) = (tokens, keeper, lists);
        (book.director.max_setups, book.director.come_back) = (directors.max_setups, directors.come_back);
        (book.director.me, book.director.of) = self.turns;
        book
    }
}

impl Rules for MergedRules {
    type LocalSettings = LocalSettings;

    fn read(own: &LocalSettings, text: &str) -> Result<Self, String> {
        let (book, shared, listed) = own.merge_document(text).map_err(|faults| first(&faults))?;
        let names = &shared.directors.names;
        let at = names.iter().position(|n| *n == own.agreement.name).map(|at| at as u32);
        let turns = merge_numberings(&[(at, names.len() as u32)]);
        Ok(MergedRules { shared, book: Arc::new(book), listed, turns })
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
        let place = |of: &Self| (Some(of.turns.0), of.turns.1);
        MergedRules {
            shared: merge_documents(&older.shared, &newer.shared).0,
            book: newer.book.clone(),
            listed: newer.listed,
            turns: merge_numberings(&[place(older), place(newer)]),
        }
    }
}

/// The schools that a keeper of seats goes by: the newest version's, for nobody else counts them.
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
        let shared = AgreedSettings::parse("the document", text).map_err(|faults| first(&faults))?;
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

fn first(faults: &[SettingsError]) -> String {
    faults.first().map_or_else(|| "a fault".to_owned(), ToString::to_string)
}

/// Under which number among how many a director takes its turns while several numberings may be in use: turns that are its
/// own under all of them. `places`: its number, if listed, and how many there are, under each version.
pub fn merge_numberings(places: &[(Option<u32>, u32)]) -> (u32, u32) {
    /// Of so many turns none is ours: more than any list holds.
    const NEVER: (u32, u32) = (999_999_999, 1_000_000_000);
    let (mut me, mut of) = (0u64, 1u64);
    for (place, n) in places {
        let Some(place) = place.filter(|p| p < n) else { return NEVER };
        // The next turn that is ours under those before and under this one, if there is any.
        let n = u64::from(*n);
        let Some(at) = (0..n).map(|k| me + k * of).find(|at| at % n == u64::from(place)) else {
            return NEVER;
        };
        let (mut a, mut b) = (of, n);
        while b != 0 {
            (a, b) = (b, a % b);
        }
        of = of / a * n;
        me = at % of;
        if of > u64::from(NEVER.1) {
            return NEVER;
        }
    }
    (me as u32, of as u32)
}
