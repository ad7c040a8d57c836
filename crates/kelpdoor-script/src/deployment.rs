//! Types of the settings of directors, keepers and voters, and their validation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use kelpdoor::Terms;
use kelpdoor::terms::{FurtherBudget, GroupTerms, Reach, Repeat};
use serde::{Deserialize, Serialize};

use crate::eval::{Call, SettingsError, SourcePosition};

/// Maximum number of directors' names in an agreed document: a fleet of 5,800 with room to grow.
pub const MAX_DIRECTORS: usize = 8000;
/// Maximum number of directors in a fleet whose directors each have a number in their own settings.
pub const MAX_NUMBERED_DIRECTORS: u32 = 10_000;
/// Maximum number of zones of a fleet.
pub const MAX_ZONES: usize = 1000;
/// Smallest value of `directors.contradiction` that an agreed document may state, in seconds.
pub const MIN_CONTRADICTION: f64 = 0.5;
/// Largest value of `directors.contradiction` that an agreed document may state, in seconds.
pub const MAX_CONTRADICTION: f64 = 20.0;

/// The ladder of rates and the utility of each rung.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ladder {
    /// kB/s, increasing.
    pub rates: Vec<f64>,
    /// Utility of each rung, as many entries as `rates`.
    pub utility: Vec<f64>,
    /// Cost of a rung change, in seconds of the group's utility.
    #[serde(default)]
    pub switch_cost: f64,
}

/// Whether and where a SETUP may be repeated when an earlier one may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatWord {
    /// Repeating a SETUP is harmless.
    Freely,
    /// On any node, because all nodes know of each other's SETUPs.
    Anywhere,
    /// On nodes of the first node's zone, which know of each other's SETUPs.
    Zone,
    /// On nodes of the first node's cell, which know of each other's SETUPs.
    Cell,
    /// Only after proof that no earlier SETUP ran.
    Never,
}

/// A service group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: String,
    pub utility: f64,
    /// Start target in seconds.
    pub start_target: f64,
    #[serde(default = "default_repeat")]
    pub repeat: RepeatWord,
    /// Time in seconds within which a SETUP may be repeated.
    #[serde(default)]
    pub repeat_window: f64,
    /// Lowest rung.
    #[serde(default)]
    pub floor: u8,
    /// Highest rung; reduced to the top of the ladder.
    #[serde(default = "default_top")]
    pub top: u8,
    /// The group's rates relative to the ladder's.
    #[serde(default = "default_one")]
    pub scale: f64,
    /// Maximum number of sessions of one title that a director may hold; 0 means no limit.
    #[serde(default)]
    pub seats: u32,
    /// Load that a further viewer of a live title adds at the same node and rung, as a fraction of the rate; 1 means that
    /// nothing is shared.
    #[serde(default = "default_one")]
    pub join: f64,
    /// Whether sessions require an entitlement token and a seat of its school.
    #[serde(default)]
    pub token: bool,
}

/// Requirements on entitlement tokens and limits on their verification.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// File with a JWK set, read again while the process runs.
    pub keys: PathBuf,
    pub audience: String,
    /// Longest time from issue to expiry, in seconds.
    #[serde(default = "default_token_lifetime")]
    pub longest: f64,
    /// Allowed difference of issuers' clocks, in seconds.
    #[serde(default = "default_two_seconds")]
    pub clock_error: f64,
    /// Maximum number of tokens that the director verifies per second.
    #[serde(default = "default_tokens_per_second")]
    pub a_second: f64,
    /// Maximum number of tokens per second that are verified for one socket.
    #[serde(default = "default_five")]
    pub socket_a_second: f64,
    /// Time before a token's expiry at which the player is warned, in seconds.
    #[serde(default = "default_token_warning")]
    pub warn: f64,
    /// Interval at which the key set is read again, in seconds.
    #[serde(default = "default_two_seconds")]
    pub reread: f64,
}

/// The keeper, which counts the seats: another process at an address, or a part of this process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keeper {
    /// Address of the keeper; if absent, it runs in this process.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Address on which a keeper in this process listens.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// File for the ledger; without it a restart forgets who holds which seats.
    #[serde(default)]
    pub ledger: Option<PathBuf>,
    /// Lease in seconds: a director's seats outlive its last message by this time, and a director keeps seats for the same
    /// time after the keeper's last message.
    #[serde(default = "default_seat_lease")]
    pub lease: f64,
    /// Allowed difference between the clocks of directors and keeper, in seconds.
    #[serde(default = "default_two_seconds")]
    pub clock_error: f64,
    /// Time in seconds that a request waits for the keeper before it uses a seat leased ahead.
    #[serde(default = "default_one")]
    pub wait: f64,
    /// Interval between a director's heartbeats, in seconds.
    #[serde(default = "default_five")]
    pub beat_every: f64,
    /// Number of seats that a director leases ahead for each school in use.
    #[serde(default = "default_seats_ahead")]
    pub ahead: u32,
}

/// The seats that a school bought.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct School {
    pub name: String,
    pub seats: u32,
    #[serde(default)]
    pub seat_class: Option<String>,
}

/// Complete settings of a keeper that runs as its own process.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperSettings {
    pub keeper: Keeper,
    pub schools: Vec<School>,
    /// The voters to ask, where schools are agreed.
    pub agreement: Option<Agreement>,
}

/// Properties of the media nodes that are known in advance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub zones: Vec<String>,
    /// Maximum number of streams of each kind of node.
    pub kinds: BTreeMap<String, f64>,
    pub cells: u16,
    pub racks: u16,
    /// Capacity of a node's link in kB/s per unit of the node's size.
    pub link_unit: f64,
    /// Capacity of a rack's uplink in kB/s; 0 means unknown.
    #[serde(default)]
    pub rack_uplink: f64,
    /// Whether nodes report how full the uplinks are.
    #[serde(default)]
    pub uplinks_told: bool,
    /// Demand relative to the link's capacity from which a node sends busy replies; 0 means that it never does for that.
    #[serde(default)]
    pub refuses_from: f64,
    /// Delay of notifications about delivery and load, in seconds.
    pub seen_after: f64,
    /// Interval between load notifications, in seconds; 0 means that there are none.
    pub told_every: f64,
    pub cold_from: f64,
    /// Seconds.
    pub warm_within: f64,
    pub tip_multiple: f64,
    /// Seconds.
    pub fall_window: f64,
    /// Drain grace in seconds: no new session goes to a node later than this after the notice of its drain.
    pub drain_grace: f64,
    #[serde(default)]
    pub cross_zone_price: f64,
}

/// A director's own place in the fleet and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Director {
    /// This director's number among `of`, from 0.
    pub me: u32,
    /// Number of directors in the fleet.
    pub of: u32,
    pub zone: String,
    pub listen: SocketAddr,
    pub max_setups: u32,
    /// Longest come-back time that players observe, in seconds.
    #[serde(default)]
    pub come_back: Option<f64>,
    /// Seed of the director's random numbers; if absent, each start draws a new one.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Budget of further SETUPs in any time span.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Further {
    pub free: f64,
    pub per_taken: f64,
    /// Seconds.
    pub span: f64,
}

/// The source of the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    pub address: SocketAddr,
    /// File for the last good list; if absent, none is stored.
    #[serde(default)]
    pub cache: Option<PathBuf>,
    /// Whether changes must be requested.
    #[serde(default)]
    pub ask: bool,
}

/// Limits on players.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Players {
    pub sockets: usize,
    /// Maximum number of sessions and pending answers at a time.
    pub sessions: usize,
    /// Per socket.
    pub messages_a_second: f64,
    pub queued_bytes: usize,
    /// Time that sessions outlive the loss of their socket, in seconds.
    pub resume_for: f64,
    /// Time that the answer to a request key is kept after the end for retries, in seconds.
    pub remember: f64,
    /// Time before the player's setup timeout at which an answer is sent at the latest, in seconds: it covers the way back.
    pub answer_ahead: f64,
    /// Time without input after which a socket is closed, in seconds.
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

/// Limits on connections to nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLinks {
    /// Seconds.
    pub connect_timeout: f64,
    /// First and longest wait before a lost connection is retried, in seconds.
    pub back_off: (f64, f64),
    /// Time without input after which a connection with sessions is probed, in seconds.
    pub quiet: f64,
    /// Time without input after which it is closed, in seconds.
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

/// The voters from which a process learns the agreed rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// Addresses of voters by number, as a list from 0 or as a map: where the agreed list is first requested.
    #[serde(deserialize_with = "by_number")]
    pub voters: BTreeMap<u8, SocketAddr>,
    /// Addresses by which this process reaches voters, where they differ from the agreed list.
    #[serde(default, deserialize_with = "by_number")]
    pub reach: BTreeMap<u8, SocketAddr>,
    pub fleet: String,
    /// This director's name in the agreed list.
    pub name: String,
    /// File for the newest known version.
    #[serde(default)]
    pub copy: Option<PathBuf>,
    /// For tests: the rate at which this process takes its monotonic clock to run.
    #[serde(default = "default_one")]
    pub clock_rate: f64,
    /// For tests: a file with the seconds by which this process takes its wall clock to be off.
    #[serde(default)]
    pub wall_off: Option<PathBuf>,
}

/// A voter's own settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Its number, which no other voter of the fleet has ever had.
    pub me: u8,
    /// Addresses of voters by number: those that found the fleet, or where the agreed list is first requested.
    #[serde(deserialize_with = "by_number")]
    pub voters: BTreeMap<u8, SocketAddr>,
    /// Addresses by which this process reaches voters, where they differ from the agreed list.
    #[serde(default, deserialize_with = "by_number")]
    pub reach: BTreeMap<u8, SocketAddr>,
    /// Address on which it listens, if it differs from its address in `voters`.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    pub fleet: String,
    pub store: PathBuf,
    /// For tests: the rate at which this process takes its monotonic clock to run.
    #[serde(default = "default_one")]
    pub clock_rate: f64,
}

/// The voters that decide the version after the one that contains this.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voters {
    /// Addresses by number, as directors and other voters reach them.
    #[serde(deserialize_with = "by_number")]
    pub at: BTreeMap<u8, SocketAddr>,
}

/// Reads addresses by number from a list or a map.
fn by_number<'de, D: serde::Deserializer<'de>>(from: D) -> Result<BTreeMap<u8, SocketAddr>, D::Error> {
    use serde::de::Error;
    let address = |at: &serde_json::Value| -> Result<SocketAddr, D::Error> {
        at.as_str()
            .and_then(|at| at.parse().ok())
            .ok_or_else(|| D::Error::custom(format!("{at} is not an address with a port")))
    };
    match serde_json::Value::deserialize(from)? {
        serde_json::Value::Array(all) => {
            let number =
                |k: usize| u8::try_from(k).map_err(|_| D::Error::custom("at most 256 voters are allowed"));
            all.iter().enumerate().map(|(k, at)| Ok((number(k)?, address(at)?))).collect()
        }
        serde_json::Value::Object(all) => {
            let number = |k: &String| {
                let k = k.parse().ok().filter(|n: &u8| n.to_string() == *k);
                k.ok_or_else(|| D::Error::custom("voter numbers must be from 0 to 255"))
            };
            all.iter().map(|(k, at)| Ok((number(k)?, address(at)?))).collect()
        }
        other => Err(D::Error::custom(format!("{other} is neither a list nor a map of addresses"))),
    }
}

/// Whether no address is listed twice.
fn has_distinct_values(addresses: &BTreeMap<u8, SocketAddr>) -> bool {
    addresses.values().collect::<std::collections::BTreeSet<_>>().len() == addresses.len()
}

/// The directors of a fleet that agrees on its rules, and the limits of each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directors {
    /// Names in the order of the directors' numbers.
    pub names: Vec<String>,
    pub max_setups: u32,
    /// Longest come-back time that players observe, in seconds.
    #[serde(default)]
    pub come_back: Option<f64>,
    /// Longest time that two directors may act on rules that contradict each other, in seconds.
    #[serde(default = "default_two_seconds")]
    pub contradiction: f64,
}

/// A node in the agreed list, which all directors may use. The roster's feed states its address and whether it is up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreedNode {
    #[serde(rename = "name")]
    pub id: u32,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    /// No new session goes to it.
    #[serde(default)]
    pub drain: bool,
}

/// The consecutive cells that hold a title, in the agreed list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreedTitle {
    pub name: String,
    pub first_cell: u16,
    pub cells: u16,
}

/// Agreed nodes and titles. Those that are `None` come from the roster's feed alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lists {
    pub nodes: Option<BTreeMap<u32, AgreedNode>>,
    pub titles: Option<BTreeMap<String, AgreedTitle>>,
}

/// An agreed document: the rules that directors share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgreedSettings {
    pub ladder: Ladder,
    pub groups: Vec<Group>,
    pub fleet: Fleet,
    pub further: Option<Further>,
    pub directors: Directors,
    pub voters: Voters,
    pub lists: Lists,
    /// For a keeper that follows the rules; directors do not use them.
    pub schools: Vec<School>,
    pub tokens: Option<Tokens>,
    pub keeper: Option<Keeper>,
}

/// A director's local settings, where the rest is agreed.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    file: String,
    calls: Vec<Call>,
    pub agreement: Agreement,
    /// Settings of a voter in this process.
    pub voter: Option<Voter>,
}

/// Complete settings of one director.
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

fn default_token_lifetime() -> f64 {
    86_400.0
}

fn default_token_warning() -> f64 {
    60.0
}

fn default_seat_lease() -> f64 {
    120.0
}

fn default_tokens_per_second() -> f64 {
    1000.0
}

fn default_two_seconds() -> f64 {
    2.0
}

fn default_five() -> f64 {
    5.0
}

fn default_seats_ahead() -> u32 {
    2
}

fn default_repeat() -> RepeatWord {
    RepeatWord::Freely
}

fn default_top() -> u8 {
    u8::MAX
}

fn default_one() -> f64 {
    1.0
}

/// Reads calls and collects all errors, so that one run reports them together.
struct Reader<'a> {
    file: &'a str,
    calls: &'a [Call],
    errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    /// Reads the only call of a builtin; `None` and, if it is required, an error where it is missing.
    fn single<T: serde::de::DeserializeOwned>(
        &mut self, builtin: &str, required: bool,
    ) -> Option<(T, &'a Call)> {
        let mut matching = self.calls.iter().filter(|c| c.builtin == builtin);
        let first = matching.next();
        for duplicate in matching {
            self.errors.push(duplicate.error(self.file, format!("{builtin} is given twice")));
        }
        let Some(call) = first else {
            if required {
                let message = format!("{builtin}(..) is missing");
                self.errors.push(SettingsError {
                    file: self.file.to_owned(),
                    pos: SourcePosition::default(),
                    message,
                });
            }
            return None;
        };
        match call.parse_args(self.file) {
            Ok(value) => Some((value, call)),
            Err(error) => {
                self.errors.push(error);
                None
            }
        }
    }

    /// Adds an error at the call unless `valid`.
    fn check(&mut self, call: &Call, valid: bool, message: &str) {
        if !valid {
            self.errors.push(call.error(self.file, format!("{}: {message}", call.builtin)));
        }
    }
}

impl Reader<'_> {
    fn keeper(&mut self, required: bool) -> (Option<Keeper>, Vec<School>) {
        let keeper = self.single::<Keeper>("keeper", required);
        if let Some((k, call)) = &keeper {
            let times = [k.lease, k.clock_error, k.wait, k.beat_every];
            self.check(
                call,
                all_non_negative(&times) && k.wait > 0.0,
                "all values must be at least 0, and wait above 0",
            );
            self.check(call, k.beat_every >= 0.1, "beat_every must be at least 0.1 s");
            self.check(
                call,
                k.lease >= 3.0 * k.beat_every + k.clock_error,
                "lease must be at least 3 * beat_every + clock_error",
            );
            let outside = k.address.is_some();
            self.check(
                call,
                !(outside && (k.ledger.is_some() || k.listen.is_some())),
                "listen and ledger apply to a keeper in this process, address to one in another process",
            );
        }
        let schools = self.schools();
        let inside = keeper.as_ref().is_some_and(|(k, _)| k.address.is_none());
        for call in self.calls.iter().filter(|c| c.builtin == "school") {
            self.check(
                call,
                inside,
                "schools belong to the settings of the process in which the keeper runs",
            );
        }
        (keeper.map(|k| k.0), schools)
    }

    fn schools(&mut self) -> Vec<School> {
        let mut schools: Vec<School> = Vec::new();
        for call in self.calls.iter().filter(|c| c.builtin == "school") {
            match call.parse_args::<School>(self.file) {
                Err(error) => self.errors.push(error),
                Ok(s) => {
                    let names = [Some(&s.name), s.seat_class.as_ref()];
                    let is_valid = |n: &String| !n.is_empty() && n.len() <= 128 && !n.contains(':');
                    self.check(
                        call,
                        names.into_iter().flatten().all(is_valid),
                        "name and seat_class must have 1 to 128 bytes and no colon",
                    );
                    let taken = schools.iter().any(|o| (&o.name, &o.seat_class) == (&s.name, &s.seat_class));
                    self.check(call, !taken, "the name is taken");
                    self.check(call, s.seats <= 1_000_000, "seats must be at most 1,000,000");
                    schools.push(s);
                }
            }
        }
        schools
    }

    /// Reads and checks `agreement(..)`.
    fn agreement(&mut self, required: bool) -> Option<Agreement> {
        let (a, call) = self.single::<Agreement>("agreement", required)?;
        self.check(call, (1..=64).contains(&a.voters.len()), "voters must have 1 to 64 entries");
        self.check(
            call,
            is_plain_name(&a.name) && is_plain_name(&a.fleet),
            "name and fleet must have 1 to 64 letters, digits and . _ -",
        );
        self.check(call, has_distinct_values(&a.voters), "an address is listed twice");
        self.check(call, is_valid_clock_rate(a.clock_rate), "clock_rate from 0.95 to 1.05");
        Some(a)
    }
}

impl Reader<'_> {
    /// Reads and checks the nodes and titles of a document.
    fn lists(&mut self) -> Lists {
        let fleet = self
            .calls
            .iter()
            .find(|c| c.builtin == "fleet")
            .and_then(|c| c.parse_args::<Fleet>(self.file).ok());
        // A missing or bad fleet is an error of its own.
        let Some(fleet) = fleet else { return Lists::default() };
        let mut lists = Lists::default();
        for call in self.calls.iter().filter(|c| c.builtin == "node") {
            match call.parse_args::<AgreedNode>(self.file) {
                Err(error) => self.errors.push(error),
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
                Err(error) => self.errors.push(error),
                Ok(t) => {
                    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._~-".contains(&b);
                    let valid = (1..=128).contains(&t.name.len()) && t.name.bytes().all(plain);
                    self.check(call, valid, "name must have 1 to 128 letters, digits and . _ ~ -");
                    let within = t.first_cell < fleet.cells && (1..=fleet.cells).contains(&t.cells);
                    self.check(
                        call,
                        within,
                        "first_cell must be below the fleet's cells, and cells from 1 to that number",
                    );
                    let taken = lists.titles.get_or_insert_default().insert(t.name.clone(), t).is_some();
                    self.check(call, !taken, "the name is taken");
                }
            }
        }
        lists
    }
}

impl KeeperSettings {
    /// Reads the settings file of a keeper that runs as its own process.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn read(path: &std::path::Path) -> Result<Self, Vec<SettingsError>> {
        KeeperSettings::from_calls(
            &path.display().to_string(),
            &crate::eval::evaluate_file(path, crate::KEEPER_BUILTINS)?,
        )
    }

    /// Like [`read`](Self::read), from a script's calls.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Self, Vec<SettingsError>> {
        let mut r = Reader { file, calls, errors: Vec::new() };
        let (keeper, schools) = r.keeper(true);
        let agreement = r.agreement(false);
        if let Some(call) = calls.iter().find(|c| c.builtin == "school").filter(|_| agreement.is_some()) {
            r.errors.push(call.error(file, "school is agreed, it is no setting of the keeper"));
        }
        match keeper {
            Some(keeper) if r.errors.is_empty() && keeper.address.is_none() => {
                Ok(KeeperSettings { keeper, schools, agreement })
            }
            Some(_) if r.errors.is_empty() => {
                let message = "the settings of a keeper must have listen instead of address".to_owned();
                Err(vec![SettingsError { file: file.to_owned(), pos: SourcePosition::default(), message }])
            }
            _ => Err(r.errors),
        }
    }
}

/// Whether all values are finite and at least 0.
fn all_non_negative(values: &[f64]) -> bool {
    values.iter().all(|v| v.is_finite() && *v >= 0.0)
}

impl Voter {
    /// Reads a voter's settings from a script's calls; `None` if there are none.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Option<Self>, Vec<SettingsError>> {
        let mut r = Reader { file, calls, errors: Vec::new() };
        let voter = r.single::<Voter>("voter", false);
        if let Some((v, call)) = &voter {
            r.check(call, (1..=64).contains(&v.voters.len()), "voters must have 1 to 64 entries");
            r.check(
                call,
                v.listen.is_some() || v.voters.contains_key(&v.me),
                "listen is required unless voters has an address for me",
            );
            r.check(call, is_plain_name(&v.fleet), "fleet must have 1 to 64 letters, digits and . _ -");
            r.check(call, has_distinct_values(&v.voters), "an address is listed twice");
            r.check(call, is_valid_clock_rate(v.clock_rate), "clock_rate from 0.95 to 1.05");
        }
        if r.errors.is_empty() { Ok(voter.map(|v| v.0)) } else { Err(r.errors) }
    }
}

/// Whether a clock rate for tests is near 1. A clock that stands still would make a lease endless.
fn is_valid_clock_rate(rate: f64) -> bool {
    (0.95..=1.05).contains(&rate)
}

/// Whether a name has 1 to 64 letters, digits and . _ -
fn is_plain_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    (1..=64).contains(&name.len()) && name.bytes().all(plain)
}

/// Completes the `director` call of a director whose rules are agreed with the arguments that the document gives.
fn complete_director_call(local: &Call, d: &Directors, me: u32) -> Call {
    let mut call = local.clone();
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
    /// Reads the local settings in a file with `agreement(..)`; `None` if the file holds complete settings.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn read(path: &std::path::Path) -> Result<Option<Self>, Vec<SettingsError>> {
        let file = path.display().to_string();
        let calls = crate::eval::evaluate_file(path, crate::LOCAL_OR_COMPLETE_BUILTINS)?;
        if !calls.iter().any(|c| c.builtin == "agreement") {
            return Ok(None);
        }
        let mut r = Reader { file: &file, calls: &calls, errors: Vec::new() };
        let agreement = r.agreement(true);
        for call in &calls {
            if !crate::LOCAL_BUILTINS.contains(&call.builtin.as_str()) {
                r.errors.push(
                    call.error(
                        &file,
                        format!("{} is agreed, it is no setting of one director", call.builtin),
                    ),
                );
            }
            for key in ["me", "of", "max_setups", "come_back"] {
                if call.builtin == "director" && call.args.contains_key(key) {
                    r.errors.push(call.error(
                        &file,
                        format!("director: {key} is agreed, it is no setting of one director"),
                    ));
                }
            }
        }
        for builtin in ["director", "roster"] {
            if !calls.iter().any(|c| c.builtin == builtin) {
                let message = format!("{builtin}(..) is missing");
                r.errors.push(SettingsError { file: file.clone(), pos: SourcePosition::default(), message });
            }
        }
        let mut errors = r.errors;
        let voter = Voter::from_calls(&file, &calls).unwrap_or_else(|more| {
            errors.extend(more);
            None
        });
        if let (Some(a), Some(v)) = (&agreement, &voter)
            && a.fleet != v.fleet
        {
            let message =
                format!("voter: fleet {:?} differs from the director's fleet {:?}", v.fleet, a.fleet);
            errors.push(SettingsError { file: file.clone(), pos: SourcePosition::default(), message });
        }
        match agreement {
            Some(agreement) if errors.is_empty() => Ok(Some(LocalSettings { file, calls, agreement, voter })),
            _ => Err(errors),
        }
    }

    /// Merges an agreed document into the local settings. Returns the complete settings, the document, and whether its list
    /// names this director. A director that is not named is numbered as the last one.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn merge_document(
        &self, text: &str,
    ) -> Result<(Deployment, AgreedSettings, bool), Vec<SettingsError>> {
        let (shared, doc) = AgreedSettings::parse_with_calls(DOCUMENT_NAME, text)?;
        let d = &shared.directors;
        let place = d.names.iter().position(|n| *n == self.agreement.name);
        let me = place.unwrap_or(d.names.len() - 1) as u32;
        let local = self.calls.iter().filter(|c| !["agreement", "voter"].contains(&c.builtin.as_str()));
        let local =
            local.map(|c| if c.builtin == "director" { complete_director_call(c, d, me) } else { c.clone() });
        let all: Vec<Call> = doc.into_iter().chain(local).collect();
        Ok((Deployment::from_calls(&self.file, &all)?, shared, place.is_some()))
    }
}

/// File name of an agreed document in errors.
const DOCUMENT_NAME: &str = "the document";

impl AgreedSettings {
    /// Parses a document and checks it as directors will read it.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        Ok(AgreedSettings::parse_with_calls(file, text)?.0)
    }

    /// Like [`parse`](Self::parse); also returns the calls that are part of a director's settings.
    fn parse_with_calls(file: &str, text: &str) -> Result<(Self, Vec<Call>), Vec<SettingsError>> {
        let calls = crate::eval::evaluate(file, text, crate::AGREED_BUILTINS)?;
        let mut r = Reader { file, calls: &calls, errors: Vec::new() };
        let directors = r.single::<Directors>("directors", true);
        if let Some((d, call)) = &directors {
            r.check(call, (1..=MAX_DIRECTORS).contains(&d.names.len()), "names must have 1 to 8000 entries");
            r.check(
                call,
                d.names.iter().all(|n| is_plain_name(n)),
                "each name must have 1 to 64 letters, digits and . _ -",
            );
            let distinct: std::collections::BTreeSet<_> = d.names.iter().collect();
            r.check(call, distinct.len() == d.names.len(), "a name stands twice");
            r.check(
                call,
                (MIN_CONTRADICTION..=MAX_CONTRADICTION).contains(&d.contradiction),
                "contradiction must be from 0.5 to 20 s",
            );
        }
        let voters = r.single::<Voters>("voters", true);
        if let Some((v, call)) = &voters {
            r.check(call, matches!(v.at.len(), 3 | 5), "at must list three or five voters");
            r.check(call, has_distinct_values(&v.at), "an address is listed twice");
        }
        let lists = r.lists();
        let schools = r.schools();
        if let Some(call) = calls.iter().find(|c| c.builtin == "keeper") {
            // A keeper in each director's process would count each school's seats several times.
            r.check(
                call,
                call.args.contains_key("address"),
                "address: directors that share rules share one keeper",
            );
        }
        // Placeholders for a director's local settings, so that the checks of complete settings apply here as well.
        let zone =
            calls.iter().find(|c| c.builtin == "fleet").and_then(|c| c.args.get("zones")?.get(0).cloned());
        let local_call = |builtin: &str, args: serde_json::Value| {
            let args = args.as_object().cloned().unwrap_or_default();
            Call { builtin: builtin.to_owned(), pos: SourcePosition::default(), args }
        };
        let placeholder = "127.0.0.1:1";
        let director = local_call("director", serde_json::json!({ "zone": zone, "listen": placeholder }));
        let roster = local_call("roster", serde_json::json!({ "address": placeholder }));
        let (Some((directors, _)), Some((voters, _))) = (directors, voters) else { return Err(r.errors) };
        let mut errors = r.errors;
        let mut all: Vec<Call> = calls
            .iter()
            .filter(|c| !["directors", "voters", "node", "title", "school"].contains(&c.builtin.as_str()))
            .cloned()
            .collect();
        let doc = all.clone();
        all.extend([complete_director_call(&director, &directors, 0), roster]);
        match Deployment::from_calls(file, &all) {
            Ok(d) if errors.is_empty() => {
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
            Ok(_) => Err(errors),
            Err(more) => {
                errors.extend(more);
                Err(errors)
            }
        }
    }
}

impl Deployment {
    /// Reads and checks the settings from a script's calls.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn from_calls(file: &str, calls: &[Call]) -> Result<Self, Vec<SettingsError>> {
        let mut r = Reader { file, calls, errors: Vec::new() };
        let ladder = r.single::<Ladder>("ladder", true);
        if let Some((l, call)) = &ladder {
            let rising = l.rates.windows(2).all(|w| w[0] < w[1]);
            r.check(
                call,
                !l.rates.is_empty() && l.rates[0] > 0.0 && rising,
                "rates must be above 0 and increase",
            );
            r.check(call, l.utility.len() == l.rates.len(), "utility must have as many entries as rates");
            r.check(call, l.rates.len() <= 64, "at most 64 rungs are allowed");
            r.check(
                call,
                all_non_negative(&l.utility)
                    && all_non_negative(&l.rates)
                    && all_non_negative(&[l.switch_cost]),
                "all values must be at least 0",
            );
        }
        let rungs = ladder.as_ref().map_or(u8::MAX, |(l, _)| l.rates.len().min(64) as u8);
        let mut groups: Vec<Group> = Vec::new();
        for call in calls.iter().filter(|c| c.builtin == "group") {
            match call.parse_args::<Group>(file) {
                Err(error) => r.errors.push(error),
                Ok(mut g) => {
                    r.check(call, !groups.iter().any(|o| o.name == g.name), "the name is taken");
                    r.check(call, g.floor < rungs, "floor is not on the ladder");
                    g.top = g.top.min(rungs.saturating_sub(1));
                    r.check(call, g.floor <= g.top, "floor is above top");
                    r.check(
                        call,
                        g.scale > 0.0 && g.start_target > 0.0,
                        "scale and start_target must be above 0",
                    );
                    r.check(
                        call,
                        all_non_negative(&[g.scale, g.start_target, g.utility, g.repeat_window, g.join])
                            && g.join <= 1.0,
                        "all values must be at least 0, and join at most 1",
                    );
                    groups.push(g);
                }
            }
        }
        if !(1..=64).contains(&groups.len()) && r.errors.is_empty() {
            let message = "1 to 64 group(..) are required".to_owned();
            r.errors.push(SettingsError { file: file.to_owned(), pos: SourcePosition::default(), message });
        }
        let fleet = r.single::<Fleet>("fleet", true);
        if let Some((f, call)) = &fleet {
            r.check(call, f.cells > 0 && f.racks > 0 && f.racks <= f.cells, "1 <= racks <= cells");
            r.check(
                call,
                !f.zones.is_empty() && !f.kinds.is_empty(),
                "at least one zone and one kind are required",
            );
            r.check(
                call,
                f.kinds.len() <= 255 && f.zones.len() <= MAX_ZONES,
                "at most 255 kinds and 1000 zones are allowed",
            );
            r.check(
                call,
                f.warm_within > 0.0 && f.fall_window > 0.0 && f.link_unit > 0.0,
                "warm_within, fall_window and link_unit must be above 0",
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
            r.check(
                call,
                all_non_negative(&all) && f.cold_from <= 1.0,
                "all values must be at least 0, and cold_from at most 1",
            );
        }
        let director = r.single::<Director>("director", true);
        if let Some((d, call)) = &director {
            r.check(
                call,
                d.me < d.of && d.of <= MAX_NUMBERED_DIRECTORS,
                "me must be below of, and of at most 10,000",
            );
            r.check(call, (1..=100).contains(&d.max_setups), "max_setups must be from 1 to 100");
            r.check(call, all_non_negative(&[d.come_back.unwrap_or(0.0)]), "come_back must be at least 0");
            if let Some((f, _)) = &fleet {
                r.check(call, f.zones.contains(&d.zone), "the zone is none of the fleet's");
            }
        }
        let further = r.single::<Further>("further", false);
        if let Some((b, call)) = &further {
            r.check(
                call,
                all_non_negative(&[b.free, b.per_taken, b.span]) && b.span > 0.0,
                "all values must be at least 0, and span above 0",
            );
        }
        let roster = r.single::<Roster>("roster", true);
        let players = r.single::<Players>("players", false);
        if let Some((p, call)) = &players {
            let all = [p.messages_a_second, p.resume_for, p.remember, p.answer_ahead, p.idle];
            r.check(
                call,
                all_non_negative(&all) && p.messages_a_second >= 1.0 && p.idle >= 1.0,
                "all values must be at least 0, messages_a_second and idle at least 1",
            );
            r.check(
                call,
                p.answer_ahead >= 0.02,
                "answer_ahead must be at least 0.02 s, or answers arrive late",
            );
            r.check(
                call,
                p.sockets > 0 && p.sessions > 0 && p.queued_bytes >= 4096,
                "sockets and sessions must be above 0, and queued_bytes at least 4096",
            );
        }
        let links = r.single::<NodeLinks>("node_links", false);
        if let Some((l, call)) = &links {
            let all = [l.connect_timeout, l.back_off.0, l.back_off.1, l.quiet, l.dead_after];
            r.check(call, all.iter().all(|v| v.is_finite() && *v > 0.0), "times must be above 0");
            r.check(
                call,
                l.quiet < l.dead_after && l.back_off.0 <= l.back_off.1,
                "quiet must be below dead_after, and back_off must not decrease",
            );
        }
        let tokens = r.single::<Tokens>("tokens", false);
        if let Some((t, call)) = &tokens {
            let all = [t.longest, t.clock_error, t.a_second, t.socket_a_second, t.warn, t.reread];
            r.check(call, all_non_negative(&all), "all values must be at least 0");
            r.check(
                call,
                t.a_second >= 1.0 && t.socket_a_second >= 1.0,
                "a_second and socket_a_second must be at least 1",
            );
            r.check(call, t.reread >= 0.05, "reread must be at least 0.05 s");
            r.check(call, !t.audience.is_empty(), "audience must not be empty");
        }
        let tokens_required = groups.iter().any(|g| g.token);
        let (keeper, schools) = r.keeper(tokens_required);
        if tokens_required && tokens.is_none() && r.errors.is_empty() {
            let message = "tokens(..) is required, because a group needs tokens".to_owned();
            r.errors.push(SettingsError { file: file.to_owned(), pos: SourcePosition::default(), message });
        }
        match (ladder, fleet, director, roster) {
            (Some((ladder, _)), Some((fleet, _)), Some((director, _)), Some((roster, _)))
                if r.errors.is_empty() =>
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
            _ => Err(r.errors),
        }
    }

    /// Evaluates and checks a settings script.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        Deployment::from_calls(file, &crate::eval::evaluate(file, text, crate::DEPLOYMENT_BUILTINS)?)
    }

    /// Evaluates and checks a settings file.
    ///
    /// # Errors
    /// All errors found, each with its position.
    pub fn read(path: &std::path::Path) -> Result<Self, Vec<SettingsError>> {
        Deployment::from_calls(
            &path.display().to_string(),
            &crate::eval::evaluate_file(path, crate::DEPLOYMENT_BUILTINS)?,
        )
    }

    /// The director's terms.
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
