//! Commands that query voters: proposing a version of the agreed rules, and showing which director acts on which version.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use kelpdoor_agreement::keys::{self, Change, check_transition};
use kelpdoor_agreement::{Chosen, ClientRequest, DirectorStatus, MAX_LINE, Value, VoterId, VoterResponse};
use kelpdoor_director::{RulesFollower, load_cached_version, seat_pools};
use kelpdoor_keeper::{SchoolSeats, parse_document, voter_addresses};
use kelpdoor_script::{AgreedSettings, Agreement, LocalSettings};
use serde_json::json;
use tokio::sync::watch;

use crate::join_errors;

/// Timeout for connecting to a voter and for writing a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a response: longer than a voter takes to give up on a proposal.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(7);
/// Timeout for a response in a search for the newest version. Voters that are up respond within milliseconds.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of voter lists to follow, each named by the newest version that the voters of the list before have.
const MAX_VOTER_LISTS: usize = 4;
/// A director that has sent no request for this many seconds is shown as cut off, whatever its lease.
const CUT_OFF_SECONDS: f64 = 5.0;

/// Reads a document of agreed rules; returns its text and the parsed settings.
///
/// # Errors
///
/// If the file cannot be read or its settings are invalid.
pub fn read_document(file: &Path) -> Result<(String, AgreedSettings)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| name.clone())?;
    let settings = AgreedSettings::parse(&name, &text).map_err(join_errors)?;
    Ok((text, settings))
}

/// The known voters: at first those of the local settings, then those listed in the newest version that any of them has.
pub struct Voters {
    agreement: Agreement,
    addresses: BTreeMap<VoterId, SocketAddr>,
    newest: Option<Chosen>,
}

impl Voters {
    /// Reads a director's local settings and finds the current voters from those that the settings name.
    ///
    /// # Errors
    ///
    /// If the settings are invalid or have no `agreement(..)`, or if the director's copy of the rules is of another fleet.
    pub fn from_config(config: &Path) -> Result<Self> {
        let settings = LocalSettings::read(config).map_err(join_errors)?;
        let settings = settings.with_context(|| format!("{}: agreement(..) is missing", config.display()))?;
        let agreement = settings.agreement;
        // All voters in the settings may have been replaced; the director's stored copy lists their successors.
        let stored = load_cached_version(&agreement)?;
        let addresses =
            voter_addresses(&agreement.voters, stored.as_ref().and_then(listed_voters), &agreement.reach);
        let mut voters = Voters { agreement, addresses, newest: None };
        // A newer list may name further voters, and those may know of an even newer list.
        for _ in 0..MAX_VOTER_LISTS {
            let before = voters.addresses.clone();
            voters.refresh();
            if voters.addresses == before {
                break;
            }
        }
        Ok(voters)
    }

    /// Returns the newest version of each voter that responds within [`STATUS_TIMEOUT`]. Queries all voters in parallel, so
    /// that a stalled voter does not delay the others.
    fn newest_by_voter(&self) -> Vec<(VoterId, u64)> {
        let query = |k: VoterId| match self.request_within(k, &ClientRequest::Status, STATUS_TIMEOUT) {
            Ok(VoterResponse::Status { newest, .. }) => Some((k, newest)),
            _ => None,
        };
        std::thread::scope(|s| {
            let threads: Vec<_> = self.addresses.keys().map(|k| s.spawn(move || query(*k))).collect();
            threads.into_iter().filter_map(|t| t.join().ok().flatten()).collect()
        })
    }

    /// Fetches the newest version that any known voter has, and updates the addresses from its list.
    fn refresh(&mut self) {
        let mut newest: Option<Chosen> = self.newest.take();
        let mut by_voter = self.newest_by_voter();
        by_voter.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        for (k, n) in by_voter {
            if n <= newest.as_ref().map_or(0, |c| c.number) {
                break;
            }
            if let Ok(VoterResponse::Content { found: Some(c) }) =
                self.request_within(k, &ClientRequest::Content { number: n }, STATUS_TIMEOUT)
            {
                newest = Some(c);
            }
        }
        if let Some(c) = &newest {
            self.addresses = voter_addresses(&self.agreement.voters, listed_voters(c), &self.agreement.reach);
        }
        self.newest = newest;
    }

    /// Returns the voters that decide the next version: those listed in the newest version, or those of the settings if no
    /// version is agreed yet.
    fn deciding_voters(&self) -> Vec<VoterId> {
        let list = self
            .newest
            .as_ref()
            .and_then(|c| AgreedSettings::parse("the newest version", &c.value.text).ok());
        match list {
            Some(settings) => settings.voters.at.into_keys().map(VoterId).collect(),
            None => self.addresses.keys().copied().collect(),
        }
    }

    /// Sends a request to a voter and returns the response.
    fn request(&self, k: VoterId, request: &ClientRequest) -> Result<VoterResponse> {
        self.request_within(k, request, RESPONSE_TIMEOUT)
    }

    fn request_within(
        &self, k: VoterId, request: &ClientRequest, timeout: Duration,
    ) -> Result<VoterResponse> {
        let address = *self.addresses.get(&k).context("unknown voter")?;
        let k = k.0;
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
            .with_context(|| format!("voter {k} at {address}"))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        let mut text = serde_json::to_vec(&ClientRequest::Hello { fleet: self.agreement.fleet.clone() })?;
        text.push(b'\n');
        serde_json::to_writer(&mut text, request)?;
        text.push(b'\n');
        stream.write_all(&text)?;
        let mut lines = BufReader::new(stream).take(4 * MAX_LINE as u64);
        let mut read_response = || -> Result<VoterResponse> {
            let mut line = String::new();
            let n =
                lines.read_line(&mut line).with_context(|| format!("voter {k} at {address}: no response"))?;
            if n == 0 {
                bail!("voter {k} at {address}: connection closed without a response");
            }
            match serde_json::from_str(&line).with_context(|| format!("voter {k} at {address}"))? {
                VoterResponse::Fault(why) => bail!("voter {k} at {address}: {why}"),
                response => Ok(response),
            }
        };
        match read_response()? {
            VoterResponse::Welcome { me } if me.0 == k => read_response(),
            VoterResponse::Welcome { me } => bail!("the voter at {address} has number {}, not {k}", me.0),
            other => bail!("voter {k} at {address}: unexpected response: {other:?}"),
        }
    }

    /// Fetches an agreed version from the first voter that still has it.
    ///
    /// # Errors
    ///
    /// If no voter has it; the context lists the voters that failed.
    pub fn fetch_version(&self, number: u64) -> Result<Chosen> {
        let mut error = anyhow::anyhow!("no voter has version {number} any more");
        for k in self.addresses.keys() {
            match self.request(*k, &ClientRequest::Content { number }) {
                Ok(VoterResponse::Content { found: Some(c) }) => return Ok(c),
                Ok(_) => {}
                Err(e) => error = error.context(e),
            }
        }
        Err(error)
    }

    /// Returns the newest version, provided that a majority of the deciding voters responds.
    fn newest_from_majority(&self) -> Result<Option<Chosen>> {
        let deciding = self.deciding_voters();
        let responding = self.newest_by_voter().iter().filter(|(k, _)| deciding.contains(k)).count();
        if responding * 2 <= deciding.len() {
            bail!("{responding} of {} voters responded, which is no majority", deciding.len());
        }
        Ok(self.newest.clone())
    }

    /// Prints the newest version's document on standard output and its label on standard error.
    ///
    /// # Errors
    ///
    /// If no majority responds or no version is agreed yet.
    pub fn print_document(&self) -> Result<()> {
        let c = self.newest_from_majority()?.context("no version is agreed yet")?;
        eprintln!("version {}", c.label());
        print!("{}", c.value.text);
        Ok(())
    }

    /// Proposes `text` as the version that follows `after`, and prints the label of the agreed version. With `dry_run`, prints
    /// the changes with their impact, and proposes nothing.
    ///
    /// # Errors
    ///
    /// If the document is invalid, `after` is not the newest version, another proposal was chosen, or no voter confirms.
    pub fn propose(&self, text: &str, after: u64, dry_run: bool, sure: bool) -> Result<()> {
        let new = AgreedSettings::parse("the document", text).map_err(join_errors)?;
        if dry_run {
            let newest = self.newest_from_majority()?;
            let number = newest.as_ref().map_or(0, |c| c.number);
            if number != after {
                bail!("the newest version is {number}, not {after}");
            }
            let Some(newest) = newest else {
                println!("it would be the first version");
                return Ok(());
            };
            let old = AgreedSettings::parse("the version before", &newest.value.text).map_err(join_errors)?;
            print_changes(&check_transition(&old, &new, sure).map_err(|e| anyhow::anyhow!(e))?);
            return Ok(());
        }
        // Every voter gets the proposal under the same id, so that one whose response was lost is not proposed twice.
        let value = Value { id: fastrand::u64(..), text: text.to_owned() };
        let mut refusals = Vec::new();
        for k in self.deciding_voters() {
            match self.request(k, &ClientRequest::Propose { after, value: value.clone(), sure }) {
                Ok(VoterResponse::Agreed { number }) => {
                    println!("agreed {}", Chosen { number, value }.label());
                    return Ok(());
                }
                Ok(VoterResponse::Lost { newest, digest }) => {
                    bail!("another proposal came first: the newest version is {newest}/{digest}")
                }
                Ok(VoterResponse::NotTaken { why } | VoterResponse::Unknown { why }) => {
                    refusals.push(format!("voter {}: {why}", k.0))
                }
                Ok(other) => refusals.push(format!("voter {}: unexpected response: {other:?}", k.0)),
                Err(e) => refusals.push(format!("{e:#}")),
            }
        }
        bail!("the proposal is not known to be agreed:\n{}", refusals.join("\n"))
    }

    /// Prints the status of every known voter, and of every director that any of them knows. Voters that do not respond are
    /// shown with their error.
    pub fn print_status(&self, json: bool) -> Result<()> {
        let mut voters = Vec::new();
        let mut directors: BTreeMap<String, DirectorStatus> = BTreeMap::new();
        let (mut newest, mut rate) = (0, 0.0f64);
        for k in self.addresses.keys() {
            let response = self.request(*k, &ClientRequest::Status);
            let k = k.0;
            voters.push(match response {
                Ok(VoterResponse::Status { newest: n, digest, pending, votes, listed, changes, directors: known, .. }) => {
                    newest = newest.max(n);
                    rate = rate.max(changes);
                    for d in known {
                        let is_latest = directors.get(&d.name).is_none_or(|o| o.heard > d.heard);
                        if is_latest {
                            directors.insert(d.name.clone(), d);
                        }
                    }
                    json!({ "voter": k, "version": n, "digest": digest, "pending": pending, "votes": votes, "listed": listed })
                }
                Ok(other) => json!({ "voter": k, "fault": format!("{other:?}") }),
                Err(e) => json!({ "voter": k, "fault": format!("{e:#}") }),
            });
        }
        if json {
            let to_json = |d: &DirectorStatus| {
                json!({ "name": d.name, "version": d.have, "behind": newest.saturating_sub(d.have), "acts": d.acts,
                    "heard": d.heard, "lease_left": (d.left - d.heard).max(0.0), "cut_off": d.heard > CUT_OFF_SECONDS })
            };
            let directors: Vec<_> = directors.values().map(to_json).collect();
            println!(
                "{}",
                json!({ "fleet": self.agreement.fleet, "newest": newest, "changes_a_second": rate, "voters": voters, "directors": directors })
            );
            return Ok(());
        }
        println!(
            "fleet {}, newest version {newest}, {rate:.2} changes a second over the last minute",
            self.agreement.fleet
        );
        for v in &voters {
            let k = &v["voter"];
            match v["fault"].as_str() {
                Some(error) => println!("voter {k}: {error}"),
                None => {
                    let votes = match (v["listed"] == true, v["votes"] == true) {
                        (false, _) => ", not on the list",
                        (true, false) => ", does not vote",
                        (true, true) => "",
                    };
                    let pending = if v["pending"] == true { ", a newer one is being decided" } else { "" };
                    println!(
                        "voter {k}: version {}/{}{pending}{votes}",
                        v["version"],
                        v["digest"].as_str().unwrap_or("")
                    );
                }
            }
        }
        for d in directors.values() {
            let cut_off = if d.heard > CUT_OFF_SECONDS { ", cut off" } else { "" };
            let acts = if d.acts.is_empty() { "nothing" } else { &d.acts };
            let behind = match newest.saturating_sub(d.have) {
                0 => String::new(),
                n => format!(", {n} versions behind"),
            };
            println!("director {}: acts on {acts}{behind}, heard {:.1} s ago{cut_off}", d.name, d.heard);
        }
        Ok(())
    }
}

/// Passes the agreed schools to a keeper of seats, under a lease like a director's. Runs until cancelled.
///
/// # Errors
///
/// If following the agreed rules cannot be started.
pub async fn follow_schools(agreement: Agreement, sold: watch::Sender<SchoolSeats>) -> Result<()> {
    let read_schools = |seats: &keys::SchoolSeats| (seat_pools(seats.schools()), true);
    let mut following = RulesFollower::start_with(agreement, (), read_schools).await?;
    loop {
        let r = following.rules();
        let schools = r.settings.to_vec();
        sold.send_replace(SchoolSeats { schools, label: r.label, from: r.from, until: r.until });
        following.changed().await;
    }
}

/// Returns the addresses of the voters that a version lists; `None` if its document is unreadable.
fn listed_voters(c: &Chosen) -> Option<BTreeMap<u8, SocketAddr>> {
    parse_document(&c.value.text).ok().map(|s| s.voters.at.clone())
}

fn print_changes(changes: &[Change]) {
    if changes.is_empty() {
        println!("nothing would change");
    }
    for c in changes {
        println!("{}: {} -> {}, {}", c.key, c.old, c.new, c.class.name());
        if let Some(impact) = &c.impact {
            println!("    impact: {impact}");
        }
    }
}
