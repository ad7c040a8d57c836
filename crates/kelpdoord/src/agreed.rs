//! What operators ask voters for: the next version, and who acts on what.

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

use crate::told;

/// A voter is connected within this.
const CONNECT: Duration = Duration::from_secs(1);
/// Somewhat longer than a voter takes to give a proposal up.
const ANSWER: Duration = Duration::from_secs(7);
/// Looks for the newest version wait so long for a voter; those that are up answer within ms.
const LOOK: Duration = Duration::from_secs(1);
/// Lists of voters followed from one to the next at most.
const LISTS: usize = 4;
/// s; a director that has not asked for so long is shown as cut off, whatever its lease was.
const CUT_OFF: f64 = 5.0;

/// A document's text, and what it says.
pub fn document(file: &Path) -> Result<(String, AgreedSettings)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| name.clone())?;
    let shared = AgreedSettings::parse(&name, &text).map_err(told)?;
    Ok((text, shared))
}

/// The voters as they are known here: of the settings at first, then of the newest version that any of those has.
pub struct Voters {
    own: Agreement,
    at: BTreeMap<VoterId, SocketAddr>,
    newest: Option<Chosen>,
}

impl Voters {
    /// As a director's own settings name them.
    pub fn of(config: &Path) -> Result<Self> {
        let own = LocalSettings::read(config).map_err(told)?;
        let own = own.with_context(|| format!("{}: no agreement(..) in it", config.display()))?;
        let own = own.agreement;
        // Those of the settings may all be gone by now: a director's copy names those who came after them.
        let kept = load_cached_version(&own)?;
        let at = voter_addresses(&own.voters, kept.as_ref().and_then(listed_in), &own.reach);
        let mut voters = Voters { own, at, newest: None };
        // A newer list may name more, who know of a newer list still.
        for _ in 0..LISTS {
            let before = voters.at.clone();
            voters.look();
            if voters.at == before {
                break;
            }
        }
        Ok(voters)
    }

    /// The newest version of each voter that answers soon; all are asked at once, so that one that stands still holds up
    /// nothing.
    fn standing(&self) -> Vec<(VoterId, u64)> {
        let ask = |k: VoterId| match self.ask_within(k, &ClientRequest::Status, LOOK) {
            Ok(VoterResponse::Status { newest, .. }) => Some((k, newest)),
            _ => None,
        };
        std::thread::scope(|s| {
            let all: Vec<_> = self.at.keys().map(|k| s.spawn(move || ask(*k))).collect();
            all.into_iter().filter_map(|t| t.join().ok().flatten()).collect()
        })
    }

    /// Asks each voter known of for the newest version, and takes its list.
    fn look(&mut self) {
        let mut newest: Option<Chosen> = self.newest.take();
        let mut standing = self.standing();
        standing.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        for (k, n) in standing {
            if n <= newest.as_ref().map_or(0, |c| c.number) {
                break;
            }
            if let Ok(VoterResponse::Content { found: Some(c) }) =
                self.ask_within(k, &ClientRequest::Content { number: n }, LOOK)
            {
                newest = Some(c);
            }
        }
        if let Some(c) = &newest {
            self.at = voter_addresses(&self.own.voters, listed_in(c), &self.own.reach);
        }
        self.newest = newest;
    }

    /// Those who decide the next version, if any was agreed; else those of the settings.
    fn deciding(&self) -> Vec<VoterId> {
        let list = self
            .newest
            .as_ref()
            .and_then(|c| AgreedSettings::parse("the newest version", &c.value.text).ok());
        match list {
            Some(shared) => shared.voters.at.into_keys().map(VoterId).collect(),
            None => self.at.keys().copied().collect(),
        }
    }

    /// A voter's answer.
    fn ask(&self, k: VoterId, ask: &ClientRequest) -> Result<VoterResponse> {
        self.ask_within(k, ask, ANSWER)
    }

    fn ask_within(&self, k: VoterId, ask: &ClientRequest, wait: Duration) -> Result<VoterResponse> {
        let at = *self.at.get(&k).context("no such voter")?;
        let k = k.0;
        let mut stream =
            TcpStream::connect_timeout(&at, CONNECT).with_context(|| format!("voter {k} at {at}"))?;
        stream.set_read_timeout(Some(wait))?;
        stream.set_write_timeout(Some(CONNECT))?;
        let mut text = serde_json::to_vec(&ClientRequest::Hello { fleet: self.own.fleet.clone() })?;
        text.push(b'\n');
        serde_json::to_writer(&mut text, ask)?;
        text.push(b'\n');
        stream.write_all(&text)?;
        let mut lines = BufReader::new(stream).take(4 * MAX_LINE as u64);
        let mut next = || -> Result<VoterResponse> {
            let mut line = String::new();
            let n = lines.read_line(&mut line).with_context(|| format!("voter {k} at {at}: no answer"))?;
            if n == 0 {
                bail!("voter {k} at {at}: no answer");
            }
            match serde_json::from_str(&line).with_context(|| format!("voter {k} at {at}"))? {
                VoterResponse::Fault(why) => bail!("voter {k} at {at}: {why}"),
                tell => Ok(tell),
            }
        };
        match next()? {
            VoterResponse::Welcome { me } if me.0 == k => next(),
            VoterResponse::Welcome { me } => bail!("the voter at {at} has number {}, not {k}", me.0),
            other => bail!("voter {k} at {at} answers with something else: {other:?}"),
        }
    }

    /// An agreed version, from whichever voter still has it.
    pub fn content(&self, number: u64) -> Result<Chosen> {
        let mut why = anyhow::anyhow!("no voter has version {number} any more");
        for k in self.at.keys() {
            match self.ask(*k, &ClientRequest::Content { number }) {
                Ok(VoterResponse::Content { found: Some(c) }) => return Ok(c),
                Ok(_) => {}
                Err(e) => why = why.context(e),
            }
        }
        Err(why)
    }

    fn newest(&self) -> Result<Option<Chosen>> {
        let deciding = self.deciding();
        let heard = self.standing().iter().filter(|(k, _)| deciding.contains(k)).count();
        if heard * 2 <= deciding.len() {
            bail!("{heard} of {} voters answer, which is no majority", deciding.len());
        }
        Ok(self.newest.clone())
    }

    pub fn print_document(&self) -> Result<()> {
        let c = self.newest()?.context("nothing is agreed yet")?;
        eprintln!("version {}", c.label());
        print!("{}", c.value.text);
        Ok(())
    }

    pub fn propose(&self, text: &str, after: u64, dry_run: bool, sure: bool) -> Result<()> {
        let new = AgreedSettings::parse("the document", text).map_err(told)?;
        if dry_run {
            let newest = self.newest()?;
            let number = newest.as_ref().map_or(0, |c| c.number);
            if number != after {
                bail!("the newest version is {number}, not {after}");
            }
            let Some(newest) = newest else {
                println!("it would be the first version");
                return Ok(());
            };
            let old = AgreedSettings::parse("the version before", &newest.value.text).map_err(told)?;
            show_changes(&check_transition(&old, &new, sure).map_err(|e| anyhow::anyhow!(e))?);
            return Ok(());
        }
        // The same under the same name at each voter: one that was heard only half is not proposed twice.
        let value = Value { id: fastrand::u64(..), text: text.to_owned() };
        let mut why = Vec::new();
        for k in self.deciding() {
            match self.ask(k, &ClientRequest::Propose { after, value: value.clone(), sure }) {
                Ok(VoterResponse::Agreed { number }) => {
                    println!("agreed {}", Chosen { number, value }.label());
                    return Ok(());
                }
                Ok(VoterResponse::Lost { newest, digest }) => {
                    bail!("another proposal came first: the newest version is {newest}/{digest}")
                }
                Ok(VoterResponse::NotTaken { why: w } | VoterResponse::Unknown { why: w }) => {
                    why.push(format!("voter {}: {w}", k.0))
                }
                Ok(other) => why.push(format!("voter {} answers with something else: {other:?}", k.0)),
                Err(e) => why.push(format!("{e:#}")),
            }
        }
        bail!("not agreed, as far as is known:\n{}", why.join("\n"))
    }

    pub fn show(&self, json: bool) -> Result<()> {
        let mut voters = Vec::new();
        let mut directors: BTreeMap<String, DirectorStatus> = BTreeMap::new();
        let (mut newest, mut rate) = (0, 0.0f64);
        for k in self.at.keys() {
            let answer = self.ask(*k, &ClientRequest::Status);
            let k = k.0;
            voters.push(match answer {
                Ok(VoterResponse::Status { newest: n, digest, pending, votes, listed, changes, directors: of, .. }) => {
                    newest = newest.max(n);
                    rate = rate.max(changes);
                    for d in of {
                        let known = directors.get(&d.name).is_none_or(|o| o.heard > d.heard);
                        if known {
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
            let of = |d: &DirectorStatus| {
                json!({ "name": d.name, "version": d.have, "behind": newest.saturating_sub(d.have), "acts": d.acts,
                    "heard": d.heard, "lease_left": (d.left - d.heard).max(0.0), "cut_off": d.heard > CUT_OFF })
            };
            let directors: Vec<_> = directors.values().map(of).collect();
            println!(
                "{}",
                json!({ "fleet": self.own.fleet, "newest": newest, "changes_a_second": rate, "voters": voters, "directors": directors })
            );
            return Ok(());
        }
        println!(
            "fleet {}, newest version {newest}, {rate:.2} changes a second over the last minute",
            self.own.fleet
        );
        for v in &voters {
            let k = &v["voter"];
            match v["fault"].as_str() {
                Some(fault) => println!("voter {k}: {fault}"),
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
            let cut = if d.heard > CUT_OFF { ", cut off" } else { "" };
            let acts = if d.acts.is_empty() { "nothing" } else { &d.acts };
            let behind = match newest.saturating_sub(d.have) {
                0 => String::new(),
                n => format!(", {n} versions behind"),
            };
            println!("director {}: acts on {acts}{behind}, heard {:.1} s ago{cut}", d.name, d.heard);
        }
        Ok(())
    }
}

/// Tells a keeper of seats the agreed schools, under a lease like a director's.
pub async fn follow_schools(own: Agreement, sold: watch::Sender<SchoolSeats>) -> Result<()> {
    let book = |of: &keys::SchoolSeats| (seat_pools(of.schools()), true);
    let mut following = RulesFollower::start_with(own, (), book).await?;
    loop {
        let r = following.rules();
        let schools = r.settings.to_vec();
        sold.send_replace(SchoolSeats { schools, label: r.label, from: r.from, until: r.until });
        following.changed().await;
    }
}

/// Where a version says that voters are reached.
fn listed_in(c: &Chosen) -> Option<BTreeMap<u8, SocketAddr>> {
    parse_document(&c.value.text).ok().map(|s| s.voters.at.clone())
}

fn show_changes(changes: &[Change]) {
    if changes.is_empty() {
        println!("nothing would change");
    }
    for c in changes {
        println!("{}: {} -> {}, {}", c.key, c.old, c.new, c.class.name());
        if let Some(cuts) = &c.impact {
            println!("    cut short: {cuts}");
        }
    }
}
