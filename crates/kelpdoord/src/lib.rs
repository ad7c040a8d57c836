//! `kelpdoord` as a function, so that the lab can start the very same program from its own binary.

mod agreed;

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader, IsTerminal, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::{Parser, Subcommand, ValueEnum};
use kelpdoor_agreement::VoterId;
use kelpdoor_clock::BootClock;
use kelpdoor_director::{RulesFollower, ServeOptions, journal, keeper_options, serve};
use kelpdoor_keeper::{
    AgreedSchools, KeeperClientMessage, KeeperServerMessage, RunningVoter, SchoolSeats, VoterOptions,
    start_voter,
};
use kelpdoor_platform::{StartupConfig, StartupError};
use kelpdoor_script::{Deployment, KEEPER_BUILTINS, KeeperSettings, LocalSettings, SettingsError, Voter};
use kelpdoor_tokens::KeySet;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(name = "kelpdoord", version, about = "A session front that places and shapes video sessions")]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

/// How a document is proposed.
#[derive(clap::Args)]
struct Proposal {
    /// The version that it was made from; 0 for the first.
    #[arg(long)]
    after: u64,
    /// A director's own settings, which name fleet and voters.
    #[arg(long)]
    config: PathBuf,
    /// Say what would change and whom it would cut short, and propose nothing.
    #[arg(long)]
    dry_run: bool,
    /// Half of the directors may go at once.
    #[arg(long)]
    sure: bool,
}

#[derive(Subcommand)]
enum What {
    /// Run a director. Its address is printed on standard output, logs go to standard error.
    Serve {
        /// The settings, a Starlark script.
        #[arg(long)]
        config: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        log: LogForm,
        /// What to log, as in `info` or `kelpdoor_director=debug`.
        #[arg(long, default_value = "info")]
        log_filter: String,
        /// Write all that comes in and all that is done to this file, for `replay`.
        #[arg(long)]
        journal: Option<PathBuf>,
        /// End at once when standard input closes, for whoever starts directors and may die before them.
        #[arg(long)]
        stay_with_stdin: bool,
        /// The fleet is founded now: once for each voter, which has no store yet; of a voter in this process.
        #[arg(long)]
        found: bool,
        /// Threads for sockets and decisions.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        threads: u16,
    },
    /// Check settings: each fault with file, line and column.
    Check {
        #[arg(long, required_unless_present = "document")]
        config: Option<PathBuf>,
        /// Rules that directors agree on, as for `propose`.
        #[arg(long, conflicts_with = "config")]
        document: Option<PathBuf>,
        /// Print the settings as they were understood.
        #[arg(long)]
        json: bool,
    },
    /// Run a voter of what directors agree on, the keeper of seats for many directors, or both. A hangup signal has it read
    /// the schools' seats again.
    Keeper {
        /// Its settings: `voter(..)`, or `keeper(..)` and `school(..)`.
        #[arg(long)]
        config: PathBuf,
        /// The fleet is founded now: once for each voter, which has no store yet.
        #[arg(long)]
        found: bool,
        #[arg(long, value_enum, default_value = "text")]
        log: LogForm,
        #[arg(long, default_value = "info")]
        log_filter: String,
        #[arg(long)]
        stay_with_stdin: bool,
    },
    /// Propose a document as the next version of the rules. Exit 0 if it was agreed.
    Propose {
        document: PathBuf,
        #[command(flatten)]
        how: Proposal,
    },
    /// Propose an earlier version's content as the next version.
    Back {
        version: u64,
        #[command(flatten)]
        how: Proposal,
    },
    /// Show voters, versions, and each director with what it acts on.
    Agreed {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
        /// Print the newest version's document.
        #[arg(long, conflicts_with = "json")]
        document: bool,
    },
    /// List schools with their seats: bought, held, lent ahead, free, and those whose tokens run out soon.
    Seats {
        /// The keeper's address.
        #[arg(long)]
        keeper: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Run a director on the users' platform, as PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG tell. A hangup signal has it read
    /// where the change log is again.
    Platform {
        /// What to log: `debug` adds a line a second of what the director believes of its nodes.
        #[arg(long, default_value = "info")]
        log_filter: String,
    },
    /// Feed a journal to the library again and compare every decision.
    Replay {
        journal: PathBuf,
        /// The settings; a journal of a director whose rules are agreed has them.
        #[arg(long)]
        config: Option<PathBuf>,
    },
}

fn told(faults: Vec<SettingsError>) -> anyhow::Error {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    anyhow::anyhow!(lines.join("\n"))
}

fn settings(path: &Path) -> Result<Deployment> {
    Deployment::read(path).map_err(told)
}

/// Ends this process when its standard input closes.
fn stay_with_stdin() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(1);
    });
}

/// A voter, the keeper of seats, or both.
async fn keep(config: PathBuf, found: bool) -> Result<()> {
    let file = config.display().to_string();
    let calls = kelpdoor_script::evaluate_file(&config, KEEPER_BUILTINS).map_err(told)?;
    let voter = Voter::from_calls(&file, &calls).map_err(told)?;
    let seats = voter.is_none() || calls.iter().any(|c| c.builtin != "voter");
    let book = if seats { Some(KeeperSettings::from_calls(&file, &calls).map_err(told)?) } else { None };
    match (voter, book) {
        (Some(voter), Some(book)) => {
            tokio::try_join!(vote(voter, found), count_seats(config, book)).map(|_| ())
        }
        (Some(voter), None) => vote(voter, found).await,
        (None, Some(book)) => count_seats(config, book).await,
        (None, None) => Ok(()),
    }
}

/// Starts a voter, and says where it listens.
async fn vote_at(voter: Voter, found: bool) -> Result<RunningVoter> {
    let listen = voter.listen.or(voter.voters.get(&voter.me).copied()).context("voter: listen is missing")?;
    let options = VoterOptions {
        me: VoterId(voter.me),
        voters: voter.voters,
        reach: voter.reach,
        listen,
        fleet: voter.fleet,
        store: voter.store,
        found,
        clock_rate: voter.clock_rate,
    };
    start_voter(options).await.with_context(|| format!("the voter on {listen}"))
}

async fn vote(voter: Voter, found: bool) -> Result<()> {
    let mut ends = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut running = vote_at(voter, found).await?;
    println!("kelpdoord voter listening on {}", running.address);
    std::io::stdout().flush()?;
    let [term, int] = &mut ends;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        ended = running.ended() => bail!("the voter ended by itself: {ended:?}"),
    }
    running.shut_down().await;
    running.ended().await.map_err(|e| anyhow::anyhow!("the voter did not end well: {e}"))
}

async fn count_seats(config: PathBuf, book: KeeperSettings) -> Result<()> {
    let mut ends = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut again = signal(SignalKind::hangup())?;
    let mut options = keeper_options(&book.keeper, &book.schools);
    let follows = book.agreement.is_some();
    let mut following = JoinSet::new();
    if let Some(own) = book.agreement {
        let clock = BootClock::new(own.clock_rate);
        let (tell, seats) = watch::channel(SchoolSeats::unknown());
        following.spawn(agreed::follow_schools(own, tell));
        options.agreed = Some(AgreedSchools { seats, clock });
    }
    let listen = options.listen;
    let mut running =
        kelpdoor_keeper::start(options).await.with_context(|| format!("the keeper on {listen}"))?;
    println!("kelpdoord keeper listening on {}", running.address);
    std::io::stdout().flush()?;
    let [term, int] = &mut ends;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            Some(ended) = following.join_next() => bail!("the agreed schools are not to be had: {ended:?}"),
            _ = again.recv() => match KeeperSettings::read(&config) {
                Ok(_) if follows => tracing::info!("the schools are agreed: nothing to read again"),
                Ok(book) => {
                    tracing::info!(schools = book.schools.len(), "read again; listen, ledger and leases stay");
                    running.set_schools(keeper_options(&book.keeper, &book.schools).schools).await;
                }
                Err(faults) => tracing::error!("{}; the schools stay as they were", told(faults)),
            },
            ended = running.ended() => bail!("the keeper ended by itself: {ended:?}"),
        }
    }
    running.shut_down().await;
    running.ended().await.map_err(|e| anyhow::anyhow!("the keeper did not end well: {e}"))
}

/// Asks a keeper how its schools stand.
fn seats(keeper: SocketAddr, json: bool) -> Result<()> {
    let wait = Some(Duration::from_secs(5));
    let mut stream = TcpStream::connect_timeout(&keeper, Duration::from_secs(5))
        .with_context(|| format!("the keeper at {keeper}"))?;
    stream.set_read_timeout(wait)?;
    stream.set_write_timeout(wait)?;
    let mut ask = serde_json::to_vec(&KeeperClientMessage::Status)?;
    ask.push(b'\n');
    stream.write_all(&ask)?;
    let mut line = String::new();
    BufReader::new(stream).take(64 << 20).read_line(&mut line).context("no answer")?;
    if json {
        print!("{line}");
        return Ok(());
    }
    let KeeperServerMessage::Status { directors, schools } =
        serde_json::from_str(&line).context("its answer")?
    else {
        bail!("it answers with something else: {line}");
    };
    println!("{directors} directors");
    let width = schools.iter().map(|s| s.school.len()).max().unwrap_or(0).max(6);
    println!(
        "{:width$} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "school", "bought", "held", "lent", "free", "expiring"
    );
    for s in schools {
        let (b, h, l, f, e) = (s.bought, s.held, s.leased, s.free, s.expiring);
        println!("{:width$} {b:>8} {h:>8} {l:>8} {f:>8} {e:>8}", s.school);
    }
    Ok(())
}

fn logs(form: LogForm, filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).context("--log-filter")?;
    let out = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match form {
        LogForm::Json => out.json().init(),
        LogForm::Text => out.with_ansi(std::io::stderr().is_terminal()).init(),
    }
    Ok(())
}

/// A director's settings: all of its own, or its own part where the rest is agreed.
enum Mine {
    Whole(Box<Deployment>),
    Agreed(Box<LocalSettings>),
}

fn mine(path: &Path) -> Result<Mine> {
    match LocalSettings::read(path).map_err(told)? {
        Some(own) => Ok(Mine::Agreed(Box::new(own))),
        None => Ok(Mine::Whole(Box::new(settings(path)?))),
    }
}

async fn run(mine: Mine, journal: Option<PathBuf>, found: bool) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut voter = None;
    let (deployment, agreed) = match mine {
        Mine::Whole(_) if found => bail!("--found is for a process with a voter(..) in its settings"),
        Mine::Whole(deployment) => (*deployment, None),
        Mine::Agreed(own) => {
            let name = own.agreement.name.clone();
            match own.voter.clone() {
                Some(v) => {
                    let running = vote_at(v, found).await?;
                    tracing::info!(address = %running.address, "a voter in this process");
                    voter = Some(running);
                }
                None if found => bail!("--found is for a process with a voter(..) in its settings"),
                None => {}
            }
            tracing::info!(name, "asking the voters for the rules");
            let started = tokio::select! {
                started = RulesFollower::start(*own) => started?,
                _ = term.recv() => return Ok(()),
                _ = int.recv() => return Ok(()),
            };
            (started.1, Some(started.0))
        }
    };
    let listen = deployment.director.listen;
    let mut running = serve(ServeOptions { deployment, agreed, journal })
        .await
        .with_context(|| format!("listening on {listen}"))?;
    println!("kelpdoord listening on {}", running.address);
    std::io::stdout().flush()?;
    let mut signal = async || {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    // A voter that cannot write ends, and says so; the director goes on by the others.
    let mut voted = async || match &mut voter {
        Some(v) => v.ended().await,
        None => std::future::pending().await,
    };
    let mut by_itself = false;
    loop {
        tokio::select! {
            () = signal() => break,
            ended = running.ended() => bail!("the director ended by itself: {ended:?}"),
            ended = voted(), if !by_itself => {
                tracing::error!(?ended, "the voter in this process ended; the director goes on");
                by_itself = true;
            }
        }
    }
    let counts = running.counts();
    tracing::info!(
        owed = counts.pending,
        playing = counts.playing,
        "shutting down; a second signal ends at once"
    );
    running.shut_down().await;
    tokio::select! {
        ended = running.ended() => {
            ended.map_err(|e| anyhow::anyhow!("the director did not end well: {e}"))?;
            tracing::info!("all is answered");
        }
        () = signal() => bail!("ended at once by a second signal"),
    }
    if let Some(mut voter) = voter.filter(|_| !by_itself) {
        voter.shut_down().await;
        voter.ended().await.map_err(|e| anyhow::anyhow!("the voter did not end well: {e}"))?;
    }
    Ok(())
}

fn act(arguments: Arguments) -> Result<()> {
    match arguments.what {
        What::Serve { config, log, log_filter, journal, stay_with_stdin: stay, found, threads } => {
            let mine = mine(&config)?;
            logs(log, &log_filter)?;
            if stay {
                stay_with_stdin();
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(threads.into()).enable_all().build()?.block_on(run(mine, journal, found))
        }
        What::Check { document: Some(file), json, .. } => {
            let shared = agreed::document(&file)?.1;
            if json {
                println!("{}", serde_json::to_string_pretty(&shared)?);
            } else {
                println!("{}: good", file.display());
            }
            Ok(())
        }
        What::Check { config, json, .. } => {
            let config = config.context("--config is needed")?;
            let deployment = match mine(&config)? {
                Mine::Whole(deployment) => deployment,
                Mine::Agreed(own) => {
                    println!(
                        "{}: good, the rest is agreed by fleet {}",
                        config.display(),
                        own.agreement.fleet
                    );
                    return Ok(());
                }
            };
            if let Some(tokens) = &deployment.tokens {
                let keys = || tokens.keys.display().to_string();
                let text = std::fs::read_to_string(&tokens.keys).with_context(keys)?;
                KeySet::parse(&text).with_context(keys)?;
            }
            if json {
                println!("{}", serde_json::to_string_pretty(&deployment)?);
            } else {
                println!("{}: good", config.display());
            }
            Ok(())
        }
        What::Propose { document, how } => {
            let voters = agreed::Voters::of(&how.config)?;
            voters.propose(&agreed::document(&document)?.0, how.after, how.dry_run, how.sure)
        }
        What::Back { version, how } => {
            let voters = agreed::Voters::of(&how.config)?;
            voters.propose(&voters.content(version)?.value.text, how.after, how.dry_run, how.sure)
        }
        What::Agreed { config, json, document } => {
            let voters = agreed::Voters::of(&config)?;
            if document { voters.print_document() } else { voters.show(json) }
        }
        What::Keeper { config, found, log, log_filter, stay_with_stdin: stay } => {
            logs(log, &log_filter)?;
            if stay {
                stay_with_stdin();
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(1).enable_all().build()?.block_on(keep(config, found))
        }
        What::Seats { keeper, json } => seats(keeper, json),
        What::Platform { log_filter } => {
            let start = StartupConfig::read(|name| std::env::var(name).ok())?;
            logs(LogForm::Text, &log_filter)?;
            let listen = start.listen;
            kelpdoor_platform::run(start).with_context(|| format!("listening on {listen}"))
        }
        What::Replay { journal, config } => {
            let deployment = config.map(|config| settings(&config)).transpose()?;
            let file = File::open(&journal).with_context(|| journal.display().to_string())?;
            let done = journal::replay(BufReader::new(file), deployment.as_ref())?;
            println!("{} inputs, {} rounds, {} effects", done.inputs, done.rounds, done.effects);
            match done.first_difference {
                None => Ok(()),
                Some((line, what)) => bail!("line {line}: {what}"),
            }
        }
    }
}

/// The whole program.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(if e.use_stderr() { 2 } else { 0 });
        }
    };
    match act(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("kelpdoord: {e:#}");
            if e.is::<StartupError>() {
                return ExitCode::from(2);
            }
            ExitCode::FAILURE
        }
    }
}
