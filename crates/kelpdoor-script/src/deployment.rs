//! The settings of a deployment as types, and their checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use kelpdoor::Terms;
use kelpdoor::terms::{FurtherBudget, GroupTerms, Reach, Repeat};
use serde::{Deserialize, Serialize};

use crate::eval::{Call, SettingsError, SourcePosition};

/// Directors' names in an agreed document at most: a fleet of 5,800 and what it grows by.
pub const MAX_DIRECTORS: usize = 8000;
/// Directors of a fleet at most where each has a number of its own.
pub const MAX_NUMBERED_DIRECTORS: u32 = 10_000;
/// Zones of a fleet at most.
pub const MAX_ZONES: usize = 1000;
/// Smallest value of `directors.contradiction` that an agreed document may state, in seconds.
pub const MIN_CONTRADICTION: f64 = 0.5;
/// Largest value of `directors.contradiction` that an agreed document may state, in seconds.
pub const MAX_CONTRADICTION: f64 = 20.0;

/// The ladder of rates, kB a second, and what each rung earns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ladder {
    pub rates: Vec<f64>,
    pub utility: Vec<f64>,
    /// A change costs so many seconds of the group's utility.
    #[serde(default)]
    pub switch_cost: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatWord {
    /// A SETUP may be repeated without harm.
    Freely,
    /// All nodes know of each other's SETUPs, or those of a zone or a cell do.
    Anywhere,
    Zone,
    Cell,
    /// Only after proof that nothing ran.
    Never,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: String,
    pub utility: f64,
    /// s
    pub start_target: f64,
    #[serde(default = "freely")]
    pub repeat: RepeatWord,
    /// s
    #[serde(default)]
    pub repeat_window: f64,
    #[serde(default)]
    pub floor: u8,
    #[serde(default = "top")]
    pub top: u8,
    #[serde(default = "one")]
    pub scale: f64,
    /// Sessions of one title that a director may hold; 0: any number.
    #[serde(default)]
    pub seats: u32,
    /// What a further viewer of a live title adds to its stream at the same node and rung, as a part of the rate; 1: all.
    #[serde(default = "one")]
    pub join: f64,
    /// Sessions need an entitlement token and a seat of its school.
    #[serde(default)]
    pub token: bool,
}

/// What entitlement tokens have to keep to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// A JWK set; read again while running.
    pub keys: PathBuf,
    pub audience: String,
    /// s; from issue to expiry at most.
    #[serde(default = "a_day")]
    pub longest: f64,
    /// s; issuers' clocks may differ by so much.
    #[serde(default = "two")]
    pub clock_error: f64,
    /// Verified a second, by the director and for one socket.
    #[serde(default = "a_thousand")]
    pub a_second: f64,
    #[serde(default = "five")]
    pub socket_a_second: f64,
    /// s; the player is told so long before its token runs out.
    #[serde(default = "a_minute")]
    pub warn: f64,
    /// s; the key set is looked at so often.
    #[serde(default = "two")]
    pub reread: f64,
}

/// Who counts the seats: another process at an address, or this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keeper {
    /// Of the keeper; absent: it runs in this process.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Where it writes its ledger; without one a restart forgets who holds what.
    #[serde(default)]
    pub ledger: Option<PathBuf>,
    /// s; what a director holds outlives its last word by so much, and so does a director its keeper's.
    #[serde(default = "two_minutes")]
    pub lease: f64,
    /// s; clocks of directors and keeper may differ by so much.
    #[serde(default = "two")]
    pub clock_error: f64,
    /// s; a request waits for the keeper so long before a seat lent ahead is used.
    #[serde(default = "one")]
    pub wait: f64,
    /// s; between a director's beats.
    #[serde(default = "five")]
    pub beat_every: f64,
    /// Seats that a director has lent ahead for each school that is asked for.
    #[serde(default = "two_seats")]
    pub ahead: u32,
}

/// Seats that a school bought.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct School {
    pub name: String,
    pub seats: u32,
    #[serde(default)]
    pub seat_class: Option<String>,
}

/// All settings of a keeper that is a process of its own.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperSettings {
    pub keeper: Keeper,
    pub schools: Vec<School>,
    /// Where schools are agreed: the voters to ask.
    pub agreement: Option<Agreement>,
}

/// What is known of the media nodes beforehand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub zones: Vec<String>,
    /// Places (streams at most) of each kind of node.
    pub kinds: BTreeMap<String, f64>,
    pub cells: u16,
    pub racks: u16,
    /// kB a second for each unit of a node's size.
    pub link_unit: f64,
    /// kB a second; 0: not known.
    #[serde(default)]
    pub rack_uplink: f64,
    #[serde(default)]
    pub uplinks_told: bool,
    /// Of its link, by what is asked; so full a node replies busy. 0: never for that.
    #[serde(default)]
    pub refuses_from: f64,
    /// s; how late notices of delivery and load are.
    pub seen_after: f64,
    /// s; between notices of load; 0: none come.
    pub told_every: f64,
    pub cold_from: f64,
    /// s
    pub warm_within: f64,
    pub tip_multiple: f64,
    /// s
    pub fall_window: f64,
    /// s; nothing new to a node later than so long after word of its drain.
    pub drain_grace: f64,
    #[serde(default)]
    pub cross_zone_price: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Director {
    /// This director's number among `of`, from 0.
    pub me: u32,
    pub of: u32,
    pub zone: String,
    pub listen: SocketAddr,
    pub max_setups: u32,
    /// s; the longest come-back time that players heed.
    #[serde(default)]
    pub come_back: Option<f64>,
    /// Of all chance in this director; absent: a fresh one at each start.
    #[serde(default)]
    pub seed: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Further {
    pub free: f64,
    pub per_taken: f64,
    /// s
    pub span: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    pub address: SocketAddr,
    /// The last good list; none is kept where absent.
    #[serde(default)]
    pub cache: Option<PathBuf>,
    /// Changes come only when asked for.
    #[serde(default)]
    pub ask: bool,
}

/// Limits towards players.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Players {
    pub sockets: usize,
    /// Sessions held, and answers owed, at a time.
    pub sessions: usize,
    /// Of one socket.
    pub messages_a_second: f64,
    pub queued_bytes: usize,
    /// s; a lost socket leaves its sessions so long.
    pub resume_for: f64,
    /// s; the answer to a request key is kept so long after the end, for retries.
    pub remember: f64,
    /// s; answers are given so long before the player's setup timeout, for the way back.
    pub answer_ahead: f64,
    /// s; a socket from which nothing comes for so long is closed.
    pub idle: f64,
}

impl Default for Players {
    fn default() -> Self {
        Players {
            sockets: 10_000,
            sessions: 20_000,
            messages_a_second: 50.0,
            queued_bytes: 65_536,
            resume_for: 10.0,
            remember: 30.0,
            answer_ahead: 0.1,
            idle: 60.0,
        }
    }
}

/// Limits towards nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLinks {
    /// s
    pub connect_timeout: f64,
    /// s; first and longest wait before a lost link is tried again.
    pub back_off: (f64, f64),
    /// s; a link with sessions on which nothing came for so long is asked whether it lives.
    pub quiet: f64,
    /// s; and closed when nothing came for so long.
    pub dead_after: f64,
    pub queued_bytes: usize,
}

impl Default for NodeLinks {
    fn default() -> Self {
        NodeLinks {
            connect_timeout: 0.5,
            back_off: (0.5, 10.0),
            quiet: 4.0,
            dead_after: 12.0,
            queued_bytes: 1 << 20,
        }
    }
}

/// Where a director asks for the rules that it shares with others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// Of voters by their numbers, as a list from 0 on or with each number said: where the agreed list is asked for first.
    #[serde(deserialize_with = "by_number")]
    pub voters: BTreeMap<u8, SocketAddr>,
    /// Where this process reaches a voter otherwise than the agreed list says.
    #[serde(default, deserialize_with = "by_number")]
    pub reach: BTreeMap<u8, SocketAddr>,
    pub fleet: String,
    /// This director's name in the agreed list.
    pub name: String,
    /// Where the newest version known is kept.
    #[serde(default)]
    pub copy: Option<PathBuf>,
    /// For trials: how fast this process takes its steady clock to run.
    #[serde(default = "one")]
    pub clock_rate: f64,
    /// For trials: a file with the seconds by which this process takes its wall clock to be off.
    #[serde(default)]
    pub wall_off: Option<PathBuf>,
}

/// A voter's own settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Its number, which no other voter of the fleet ever had.
    pub me: u8,
    /// Of voters by their numbers: who found the fleet, or where the agreed list is asked for first.
    #[serde(deserialize_with = "by_number")]
    pub voters: BTreeMap<u8, SocketAddr>,
    /// Where this process reaches a voter otherwise than the agreed list says.
    #[serde(default, deserialize_with = "by_number")]
    pub reach: BTreeMap<u8, SocketAddr>,
    /// Where it listens, if not where `voters` has it.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    pub fleet: String,
    pub store: PathBuf,
    /// For trials: how fast this process takes its steady clock to run.
    #[serde(default = "one")]
    pub clock_rate: f64,
}

/// Who decides the version after the one that this stands in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voters {
    /// By number, as directors and the others reach them.
    #[serde(deserialize_with = "by_number")]
    pub at: BTreeMap<u8, SocketAddr>,
}

/// Addresses by number, from a list or a map.
fn by_number<'de, D: serde::Deserializer<'de>>(from: D) -> Result<BTreeMap<u8, SocketAddr>, D::Error> {
    use serde::de::Error;
    let address = |at: &serde_json::Value| -> Result<SocketAddr, D::Error> {
        at.as_str()
            .and_then(|at| at.parse().ok())
            .ok_or_else(|| D::Error::custom(format!("{at} is no address with a port")))
    };
    match serde_json::Value::deserialize(from)? {
        serde_json::Value::Array(all) => {
            let number = |k: usize| u8::try_from(k).map_err(|_| D::Error::custom("256 voters at most"));
            all.iter().enumerate().map(|(k, at)| Ok((number(k)?, address(at)?))).collect()
        }
        serde_json::Value::Object(all) => {
            let number = |k: &String| {
                let k = k.parse().ok().filter(|n: &u8| n.to_string() == *k);
                k.ok_or_else(|| D::Error::custom("voters are numbered from 0 to 255"))
            };
            all.iter().map(|(k, at)| Ok((number(k)?, address(at)?))).collect()
        }
        other => Err(D::Error::custom(format!("{other} is no list of addresses"))),
    }
}

fn distinct(addresses: &BTreeMap<u8, SocketAddr>) -> bool {
    addresses.values().collect::<std::collections::BTreeSet<_>>().len() == addresses.len()
}

/// The directors of a fleet that agrees on its rules, and what each of them keeps to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directors {
    /// The order is their numbering.
    pub names: Vec<String>,
    pub max_setups: u32,
    /// s
    #[serde(default)]
    pub come_back: Option<f64>,
    /// s; no two directors act on rules that contradict each other for longer.
    #[serde(default = "two")]
    pub contradiction: f64,
}

/// A node that all directors may use, as the agreed list has it. The feed tells where it is and whether it is up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreedNode {
    #[serde(rename = "name")]
    pub id: u32,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    /// Nothing new goes to it.
    #[serde(default)]
    pub drain: bool,
}

/// Where a title lies, as the agreed list has it: so many cells in a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreedTitle {
    pub name: String,
    pub first_cell: u16,
    pub cells: u16,
}

/// Nodes and titles on which directors agree; where one is `None`, the feed alone has them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lists {
    pub nodes: Option<BTreeMap<u32, AgreedNode>>,
    pub titles: Option<BTreeMap<String, AgreedTitle>>,
}

/// Rules that directors agree on, as one document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgreedSettings {
    pub ladder: Ladder,
    pub groups: Vec<Group>,
    pub fleet: Fleet,
    pub further: Option<Further>,
    pub directors: Directors,
    pub voters: Voters,
    pub lists: Lists,
    /// Of a keeper that follows the rules; a director has no use for them.
    pub schools: Vec<School>,
    pub tokens: Option<Tokens>,
    pub keeper: Option<Keeper>,
}

/// A director's own settings, where the rest is agreed.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    file: String,
    calls: Vec<Call>,
    pub agreement: Agreement,
    /// Of a voter in this process.
    pub voter: Option<Voter>,
}

/// All settings of one director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    pub ladder: Ladder,
    pub groups: Vec<Group>,
    pub fleet: Fleet,
    pub director: Director,
    pub further: Option<Further>,
    pub roster: Roster,
    pub players: Players,
    pub node_links: NodeLinks,
    pub tokens: Option<Tokens>,
    pub keeper: Option<Keeper>,
    /// Of a keeper in this process.
    pub schools: Vec<School>,
    /// Where rules are agreed.
    #[serde(default)]
    pub lists: Lists,
}

fn a_day() -> f64 {
    86_400.0
}

fn a_minute() -> f64 {
    60.0
}

fn two_minutes() -> f64 {
    120.0
}

fn a_thousand() -> f64 {
    1000.0
}

fn two() -> f64 {
    2.0
}

fn five() -> f64 {
    5.0
}

fn two_seats() -> u32 {
    2
}

fn freely() -> RepeatWord {
    RepeatWord::Freely
}

fn top() -> u8 {
    u8::MAX
}

fn one() -> f64 {
    1.0
}

/// Collects faults, so that one look shows them all.
struct Reader<'a> {
    file: &'a str,
    calls: &'a [Call],
    faults: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    /// The one call of a word, or the default where it may be left out.
    fn one<T: serde::de::DeserializeOwned>(&mut self, word: &str, needed: bool) -> Option<(T, &'a Call)> {
        let mut of = self.calls.iter().filter(|c| c.builtin == word);
        let first = of.next();
        for again in of {
            self.faults.push(again.error(self.file, format!("{word} is given twice")));
        }
        let Some(call) = first else {
            if needed {
                let message = format!("{word}(..) is missing");
                self.faults.push(SettingsError {
                    file: self.file.to_owned(),
                    pos: SourcePosition::default(),
                    message,
                });
            }
            return None;
        };
        match call.parse_args(self.file) {
            Ok(value) => Some((value, call)),
            Err(fault) => {
                self.faults.push(fault);
                None
            }
        }
    }

    fn check(&mut self, call: &Call, good: bool, what: &str) {
        if !good {
            self.faults.push(call.error(self.file, format!("{}: {what}", call.builtin)));
        }
    }
}

impl Reader<'_> {
    fn keeper(&mut self, needed: bool) -> (Option<Keeper>, Vec<School>) {
        let keeper = self.one::<Keeper>("keeper", needed);
        if let Some((k, call)) = &keeper {
            let times = [k.lease, k.clock_error, k.wait, k.beat_every];
            self.check(call, sane(&times) && k.wait > 0.0, "figures of at least 0, wait above");
            self.check(call, k.beat_every >= 0.1, "beat_every of 0.1 s at least");
            self.check(
                call,
                k.lease >= 3.0 * k.beat_every + k.clock_error,
                "lease of three beats and the clock error at least",
            );
            let outside = k.address.is_some();
            self.check(
                call,
                !(outside && (k.ledger.is_some() || k.listen.is_some())),
                "listen and ledger are settings of a keeper in this process, address of one outside",
            );
        }
        let schools = self.schools();
        let inside = keeper.as_ref().is_some_and(|(k, _)| k.address.is_none());
        for call in self.calls.iter().filter(|c| c.builtin == "school") {
            self.check(call, inside, "schools are settings of the process that the keeper runs in");
        }
        (keeper.map(|k| k.0), schools)
    }

    fn schools(&mut self) -> Vec<School> {
        let mut schools: Vec<School> = Vec::new();
        for call in self.calls.iter().filter(|c| c.builtin == "school") {
            match call.parse_args::<School>(self.file) {
                Err(fault) => self.faults.push(fault),
                Ok(s) => {
                    let names = [Some(&s.name), s.seat_class.as_ref()];
                    let good = |n: &String| !n.is_empty() && n.len() <= 128 && !n.contains(':');
                    self.check(
                        call,
                        names.into_iter().flatten().all(good),
                        "names of 1 to 128 bytes, no colon",
                    );
                    let taken = schools.iter().any(|o| (&o.name, &o.seat_class) == (&s.name, &s.seat_class));
                    self.check(call, !taken, "the name is taken");
                    self.check(call, s.seats <= 1_000_000, "a million seats at most");
                    schools.push(s);
                }
            }
        }
        schools
    }

    /// Checks an agreement's own words.
    fn agreement(&mut self, needed: bool) -> Option<Agreement> {
        let (a, call) = self.one::<Agreement>("agreement", needed)?;
        self.check(call, (1..=64).contains(&a.voters.len()), "1 to 64 voters are named");
        self.check(
            call,
            plain_name(&a.name) && plain_name(&a.fleet),
            "name and fleet of 1 to 64 letters, digits and . _ -",
        );
        self.check(call, distinct(&a.voters), "an address stands twice");
        self.check(call, trial_rate(a.clock_rate), "clock_rate from 0.95 to 1.05");
        Some(a)
    }
}

impl Reader<'_> {
    /// Nodes and titles of a document.
    fn lists(&mut self) -> Lists {
        let fleet = self
            .calls
            .iter()
            .find(|c| c.builtin == "fleet")
            .and_then(|c| c.parse_args::<Fleet>(self.file).ok());
        // Without one, that is the fault.
        let Some(fleet) = fleet else { return Lists::default() };
        let mut lists = Lists::default();
        for call in self.calls.iter().filter(|c| c.builtin == "node") {
            match call.parse_args::<AgreedNode>(self.file) {
                Err(fault) => self.faults.push(fault),
                Ok(n) => {
                    self.check(call, fleet.zones.contains(&n.zone), "the zone is none of the fleet's");
                    self.check(call, fleet.kinds.contains_key(&n.kind), "the kind is none of the fleet's");
                    self.check(call, n.cell < fleet.cells, "the fleet has fewer cells");
                    let nodes = lists.nodes.get_or_insert_default();
                    let taken = nodes.insert(n.id, n).is_some();
                    self.check(call, !taken, "the number is taken");
                }
            }
        }
        for call in self.calls.iter().filter(|c| c.builtin == "title") {
            match call.parse_args::<AgreedTitle>(self.file) {
                Err(fault) => self.faults.push(fault),
                Ok(t) => {
                    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._~-".contains(&b);
                    let good = (1..=128).contains(&t.name.len()) && t.name.bytes().all(plain);
                    self.check(call, good, "a name of 1 to 128 letters, digits and . _ ~ -");
                    let lies = t.first_cell < fleet.cells && (1..=fleet.cells).contains(&t.cells);
                    self.check(call, lies, "cells that the fleet has, one at least");
                    let taken = lists.titles.get_or_insert_default().insert(t.name.clone(), t).is_some();
                    self.check(call, !taken, "the name is taken");
                }
            }
        }
        lists
    }
}

impl KeeperSettings {
    /// Reads the settings of a keeper's own process.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn read(path: &std::path::Path) -> Result<Self, Vec<SettingsError>> {
        KeeperSettings::from_calls(
            &path.display().to_string(),
            &crate::eval::evaluate_file(path, crate::KEEPER_BUILTINS)?,
        )
    }

    /// As [`read`](Self::read), from a script's calls.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Self, Vec<SettingsError>> {
        let mut r = Reader { file, calls, faults: Vec::new() };
        let (keeper, schools) = r.keeper(true);
        let agreement = r.agreement(false);
        if let Some(call) = calls.iter().find(|c| c.builtin == "school").filter(|_| agreement.is_some()) {
            r.faults.push(call.error(file, "school is agreed, it is no setting of the keeper"));
        }
        match keeper {
            Some(keeper) if r.faults.is_empty() && keeper.address.is_none() => {
                Ok(KeeperSettings { keeper, schools, agreement })
            }
            Some(_) if r.faults.is_empty() => {
                let message = "a keeper's own settings have listen, not address".to_owned();
                Err(vec![SettingsError { file: file.to_owned(), pos: SourcePosition::default(), message }])
            }
            _ => Err(r.faults),
        }
    }
}

fn sane(values: &[f64]) -> bool {
    values.iter().all(|v| v.is_finite() && *v >= 0.0)
}

impl Voter {
    /// A voter's settings from a script's calls, if it has any.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Option<Self>, Vec<SettingsError>> {
        let mut r = Reader { file, calls, faults: Vec::new() };
        let voter = r.one::<Voter>("voter", false);
        if let Some((v, call)) = &voter {
            r.check(call, (1..=64).contains(&v.voters.len()), "1 to 64 voters are named");
            r.check(
                call,
                v.listen.is_some() || v.voters.contains_key(&v.me),
                "listen, or an address of me among the voters",
            );
            r.check(call, plain_name(&v.fleet), "fleet is a name of 1 to 64 letters, digits and . _ -");
            r.check(call, distinct(&v.voters), "an address stands twice");
            r.check(call, trial_rate(v.clock_rate), "clock_rate from 0.95 to 1.05");
        }
        if r.faults.is_empty() { Ok(voter.map(|v| v.0)) } else { Err(r.faults) }
    }
}

/// A clock that stood still would make a lease endless.
fn trial_rate(rate: f64) -> bool {
    (0.95..=1.05).contains(&rate)
}

fn plain_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    (1..=64).contains(&name.len()) && name.bytes().all(plain)
}

/// The `director` call of a director whose rules are agreed: its own arguments and those that the document gives.
fn completed(own: &Call, d: &Directors, me: u32) -> Call {
    let mut call = own.clone();
    let mut put = |name: &str, value: serde_json::Value| {
        call.args.insert(name.to_owned(), value);
    };
    put("me", me.into());
    put("of", d.names.len().into());
    put("max_setups", d.max_setups.into());
    if let Some(come_back) = d.come_back {
        put("come_back", come_back.into());
    }
    call
}

impl LocalSettings {
    /// What a settings file holds of its own, where it has `agreement(..)`; `None` where it is a whole deployment.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn read(path: &std::path::Path) -> Result<Option<Self>, Vec<SettingsError>> {
        let file = path.display().to_string();
        let calls = crate::eval::evaluate_file(path, crate::LOCAL_OR_COMPLETE_BUILTINS)?;
        if !calls.iter().any(|c| c.builtin == "agreement") {
            return Ok(None);
        }
        let mut r = Reader { file: &file, calls: &calls, faults: Vec::new() };
        let agreement = r.agreement(true);
        for call in &calls {
            if !crate::LOCAL_BUILTINS.contains(&call.builtin.as_str()) {
                r.faults.push(
                    call.error(
                        &file,
                        format!("{} is agreed, it is no setting of one director", call.builtin),
                    ),
                );
            }
            for key in ["me", "of", "max_setups", "come_back"] {
                if call.builtin == "director" && call.args.contains_key(key) {
                    r.faults.push(call.error(
                        &file,
                        format!("director: {key} is agreed, it is no setting of one director"),
                    ));
                }
            }
        }
        for word in ["director", "roster"] {
            if !calls.iter().any(|c| c.builtin == word) {
                let message = format!("{word}(..) is missing");
                r.faults.push(SettingsError { file: file.clone(), pos: SourcePosition::default(), message });
            }
        }
        let mut faults = r.faults;
        let voter = Voter::from_calls(&file, &calls).unwrap_or_else(|more| {
            faults.extend(more);
            None
        });
        if let (Some(a), Some(v)) = (&agreement, &voter)
            && a.fleet != v.fleet
        {
            let message = format!("voter: its fleet is {:?}, the director's is {:?}", v.fleet, a.fleet);
            faults.push(SettingsError { file: file.clone(), pos: SourcePosition::default(), message });
        }
        match agreement {
            Some(agreement) if faults.is_empty() => Ok(Some(LocalSettings { file, calls, agreement, voter })),
            _ => Err(faults),
        }
    }

    /// This director's settings under a document, and whether its list names this director. One that it does not name
    /// reads as the last.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn merge_document(
        &self, text: &str,
    ) -> Result<(Deployment, AgreedSettings, bool), Vec<SettingsError>> {
        let (shared, doc) = AgreedSettings::parts(DOCUMENT, text)?;
        let d = &shared.directors;
        let place = d.names.iter().position(|n| *n == self.agreement.name);
        let me = place.unwrap_or(d.names.len() - 1) as u32;
        let own = self.calls.iter().filter(|c| !["agreement", "voter"].contains(&c.builtin.as_str()));
        let own = own.map(|c| if c.builtin == "director" { completed(c, d, me) } else { c.clone() });
        let all: Vec<Call> = doc.into_iter().chain(own).collect();
        Ok((Deployment::from_calls(&self.file, &all)?, shared, place.is_some()))
    }
}

/// How faults name an agreed document.
const DOCUMENT: &str = "the document";

impl AgreedSettings {
    /// Checks a document as directors will read it.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        Ok(AgreedSettings::parts(file, text)?.0)
    }

    /// And the calls that are a director's too.
    fn parts(file: &str, text: &str) -> Result<(Self, Vec<Call>), Vec<SettingsError>> {
        let calls = crate::eval::evaluate(file, text, crate::AGREED_BUILTINS)?;
        let mut r = Reader { file, calls: &calls, faults: Vec::new() };
        let directors = r.one::<Directors>("directors", true);
        if let Some((d, call)) = &directors {
            r.check(call, (1..=MAX_DIRECTORS).contains(&d.names.len()), "1 to 8000 names");
            r.check(
                call,
                d.names.iter().all(|n| plain_name(n)),
                "names of 1 to 64 letters, digits and . _ -",
            );
            let distinct: std::collections::BTreeSet<_> = d.names.iter().collect();
            r.check(call, distinct.len() == d.names.len(), "a name stands twice");
            r.check(
                call,
                (MIN_CONTRADICTION..=MAX_CONTRADICTION).contains(&d.contradiction),
                "contradiction from 0.5 to 20 s",
            );
        }
        let voters = r.one::<Voters>("voters", true);
        if let Some((v, call)) = &voters {
            r.check(call, matches!(v.at.len(), 3 | 5), "three or five voters");
            r.check(call, distinct(&v.at), "an address stands twice");
        }
        let lists = r.lists();
        let schools = r.schools();
        if let Some(call) = calls.iter().find(|c| c.builtin == "keeper") {
            // One in each director's process would count each school's seats several times.
            r.check(
                call,
                call.args.contains_key("address"),
                "address: directors that share rules share one keeper",
            );
        }
        // A director's own words, so that all that is checked for one is checked here.
        let zone =
            calls.iter().find(|c| c.builtin == "fleet").and_then(|c| c.args.get("zones")?.get(0).cloned());
        let own = |word: &str, args: serde_json::Value| {
            let args = args.as_object().cloned().unwrap_or_default();
            Call { builtin: word.to_owned(), pos: SourcePosition::default(), args }
        };
        let stand_in = "127.0.0.1:1";
        let director = own("director", serde_json::json!({ "zone": zone, "listen": stand_in }));
        let roster = own("roster", serde_json::json!({ "address": stand_in }));
        let (Some((directors, _)), Some((voters, _))) = (directors, voters) else { return Err(r.faults) };
        let mut faults = r.faults;
        let mut all: Vec<Call> = calls
            .iter()
            .filter(|c| !["directors", "voters", "node", "title", "school"].contains(&c.builtin.as_str()))
            .cloned()
            .collect();
        let doc = all.clone();
        all.extend([completed(&director, &directors, 0), roster]);
        match Deployment::from_calls(file, &all) {
            Ok(d) if faults.is_empty() => {
                let Deployment { ladder, groups, fleet, further, tokens, keeper, .. } = d;
                Ok((
                    AgreedSettings {
                        ladder,
                        groups,
                        fleet,
                        further,
                        directors,
                        voters,
                        lists,
                        schools,
                        tokens,
                        keeper,
                    },
                    doc,
                ))
            }
            Ok(_) => Err(faults),
            Err(more) => {
                faults.extend(more);
                Err(faults)
            }
        }
    }
}

impl Deployment {
    /// Reads the settings from a script's calls.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Self, Vec<SettingsError>> {
        let mut r = Reader { file, calls, faults: Vec::new() };
        let ladder = r.one::<Ladder>("ladder", true);
        if let Some((l, call)) = &ladder {
            let rising = l.rates.windows(2).all(|w| w[0] < w[1]);
            r.check(
                call,
                !l.rates.is_empty() && l.rates[0] > 0.0 && rising,
                "rates have to rise from above 0",
            );
            r.check(call, l.utility.len() == l.rates.len(), "utility has as many entries as rates");
            r.check(call, l.rates.len() <= 64, "64 rungs at most");
            r.check(
                call,
                sane(&l.utility) && sane(&l.rates) && sane(&[l.switch_cost]),
                "figures of at least 0",
            );
        }
        let rungs = ladder.as_ref().map_or(u8::MAX, |(l, _)| l.rates.len().min(64) as u8);
        let mut groups: Vec<Group> = Vec::new();
        for call in calls.iter().filter(|c| c.builtin == "group") {
            match call.parse_args::<Group>(file) {
                Err(fault) => r.faults.push(fault),
                Ok(mut g) => {
                    r.check(call, !groups.iter().any(|o| o.name == g.name), "the name is taken");
                    r.check(call, g.floor < rungs, "floor is not on the ladder");
                    g.top = g.top.min(rungs.saturating_sub(1));
                    r.check(call, g.floor <= g.top, "floor is over top");
                    r.check(call, g.scale > 0.0 && g.start_target > 0.0, "scale and start_target above 0");
                    r.check(
                        call,
                        sane(&[g.scale, g.start_target, g.utility, g.repeat_window, g.join]) && g.join <= 1.0,
                        "figures of at least 0, join 1 at most",
                    );
                    groups.push(g);
                }
            }
        }
        if !(1..=64).contains(&groups.len()) && r.faults.is_empty() {
            let message = "one to 64 group(..) are asked for".to_owned();
            r.faults.push(SettingsError { file: file.to_owned(), pos: SourcePosition::default(), message });
        }
        let fleet = r.one::<Fleet>("fleet", true);
        if let Some((f, call)) = &fleet {
            r.check(call, f.cells > 0 && f.racks > 0 && f.racks <= f.cells, "1 <= racks <= cells");
            r.check(call, !f.zones.is_empty() && !f.kinds.is_empty(), "one zone and one kind at least");
            r.check(
                call,
                f.kinds.len() <= 255 && f.zones.len() <= MAX_ZONES,
                "255 kinds, 1000 zones at most",
            );
            r.check(
                call,
                f.warm_within > 0.0 && f.fall_window > 0.0 && f.link_unit > 0.0,
                "warm_within, fall_window and link_unit above 0",
            );
            let all = [
                f.refuses_from,
                f.rack_uplink,
                f.seen_after,
                f.told_every,
                f.cold_from,
                f.tip_multiple,
                f.drain_grace,
            ];
            r.check(call, sane(&all) && f.cold_from <= 1.0, "figures of at least 0, cold_from 1 at most");
        }
        let director = r.one::<Director>("director", true);
        if let Some((d, call)) = &director {
            r.check(
                call,
                d.me < d.of && d.of <= MAX_NUMBERED_DIRECTORS,
                "me is under of, of is 10,000 at most",
            );
            r.check(call, (1..=100).contains(&d.max_setups), "max_setups from 1 to 100");
            r.check(call, sane(&[d.come_back.unwrap_or(0.0)]), "come_back of at least 0");
            if let Some((f, _)) = &fleet {
                r.check(call, f.zones.contains(&d.zone), "the zone is none of the fleet's");
            }
        }
        let further = r.one::<Further>("further", false);
        if let Some((b, call)) = &further {
            r.check(
                call,
                sane(&[b.free, b.per_taken, b.span]) && b.span > 0.0,
                "figures of at least 0, span above",
            );
        }
        let roster = r.one::<Roster>("roster", true);
        let players = r.one::<Players>("players", false);
        if let Some((p, call)) = &players {
            let all = [p.messages_a_second, p.resume_for, p.remember, p.answer_ahead, p.idle];
            r.check(call, sane(&all) && p.messages_a_second >= 1.0 && p.idle >= 1.0, "figures out of range");
            r.check(call, p.answer_ahead >= 0.02, "answer_ahead of 0.02 s at least, or answers come late");
            r.check(call, p.sockets > 0 && p.sessions > 0 && p.queued_bytes >= 4096, "limits too small");
        }
        let links = r.one::<NodeLinks>("node_links", false);
        if let Some((l, call)) = &links {
            let all = [l.connect_timeout, l.back_off.0, l.back_off.1, l.quiet, l.dead_after];
            r.check(call, all.iter().all(|v| v.is_finite() && *v > 0.0), "times above 0");
            r.check(
                call,
                l.quiet < l.dead_after && l.back_off.0 <= l.back_off.1,
                "quiet under dead_after, back_off rising",
            );
        }
        let tokens = r.one::<Tokens>("tokens", false);
        if let Some((t, call)) = &tokens {
            let all = [t.longest, t.clock_error, t.a_second, t.socket_a_second, t.warn, t.reread];
            r.check(call, sane(&all), "figures of at least 0");
            r.check(call, t.a_second >= 1.0 && t.socket_a_second >= 1.0, "one token a second at least");
            r.check(call, t.reread >= 0.05, "reread of 0.05 s at least");
            r.check(call, !t.audience.is_empty(), "audience is empty");
        }
        let needed = groups.iter().any(|g| g.token);
        let (keeper, schools) = r.keeper(needed);
        if needed && tokens.is_none() && r.faults.is_empty() {
            let message = "a group needs tokens, and tokens(..) is missing".to_owned();
            r.faults.push(SettingsError { file: file.to_owned(), pos: SourcePosition::default(), message });
        }
        match (ladder, fleet, director, roster) {
            (Some((ladder, _)), Some((fleet, _)), Some((director, _)), Some((roster, _)))
                if r.faults.is_empty() =>
            {
                Ok(Deployment {
                    ladder,
                    groups,
                    fleet,
                    director,
                    further: further.map(|f| f.0),
                    roster,
                    players: players.map(|p| p.0).unwrap_or_default(),
                    node_links: links.map(|l| l.0).unwrap_or_default(),
                    tokens: tokens.map(|t| t.0),
                    keeper,
                    schools,
                    lists: Lists::default(),
                })
            }
            _ => Err(r.faults),
        }
    }

    /// Runs a settings script.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        Deployment::from_calls(file, &crate::eval::evaluate(file, text, crate::DEPLOYMENT_BUILTINS)?)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// Every fault found, each with its place.
    pub fn read(path: &std::path::Path) -> Result<Self, Vec<SettingsError>> {
        Deployment::from_calls(
            &path.display().to_string(),
            &crate::eval::evaluate_file(path, crate::DEPLOYMENT_BUILTINS)?,
        )
    }

    /// What the decisions are given.
    pub fn terms(&self) -> Terms {
        let (f, d) = (&self.fleet, &self.director);
        let group = |g: &Group| GroupTerms {
            start_target: g.start_target,
            utility: g.utility,
            repeat: match g.repeat {
                RepeatWord::Freely => Repeat::Freely,
                RepeatWord::Anywhere => Repeat::Within(Reach::Anywhere),
                RepeatWord::Zone => Repeat::Within(Reach::Zone),
                RepeatWord::Cell => Repeat::Within(Reach::Cell),
                RepeatWord::Never => Repeat::Never,
            },
            repeat_window: g.repeat_window,
            floor: g.floor,
            top: g.top,
            scale: g.scale,
            seats: g.seats,
            join: g.join,
        };
        Terms {
            me: d.me,
            directors: d.of,
            zone: f.zones.iter().position(|z| *z == d.zone).unwrap_or(0) as u16,
            groups: self.groups.iter().map(group).collect(),
            ladder: self.ladder.rates.clone(),
            rung_utility: self.ladder.utility.clone(),
            places_by_kind: f.kinds.values().copied().collect(),
            cells: f.cells,
            racks: f.racks,
            link_unit: f.link_unit,
            rack_uplink: f.rack_uplink,
            seen_after: f.seen_after,
            told_every: f.told_every,
            switch_cost: self.ladder.switch_cost,
            cross_zone_price: f.cross_zone_price,
            max_setups: d.max_setups,
            may_withdraw: true,
            come_back: d.come_back,
            cold_from: f.cold_from,
            warm_within: f.warm_within,
            tip_multiple: f.tip_multiple,
            refuses_from: Some(f.refuses_from).filter(|&full| full > 0.0),
            fall_window: f.fall_window,
            further: self.further.map(|b| FurtherBudget {
                free: b.free,
                per_taken: b.per_taken,
                span: b.span,
            }),
            ask_list: self.roster.ask,
            uplinks_told: f.uplinks_told,
        }
    }
}
