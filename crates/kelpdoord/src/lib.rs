//! The daemon `kelpdoord`: command line, settings, logging and signals around the libraries. It is a library so that
//! `kelpdoor-lab` can run the same program from its own binary.

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
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

/// Options of a proposal.
#[derive(clap::Args)]
struct ProposalOptions {
    /// The version that the document is based on; 0 for the first.
    #[arg(long)]
    after: u64,
    /// A director's local settings, which name the fleet and its voters.
    #[arg(long)]
    config: PathBuf,
    /// Print what would change and its impact, without proposing it.
    #[arg(long)]
    dry_run: bool,
    /// Confirm a change that removes half or more of the directors, voters or usable nodes at once.
    #[arg(long)]
    sure: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Run a director. Prints its address on standard output; logs go to standard error.
    Serve {
        /// The settings, a Starlark script.
        #[arg(long)]
        config: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        log: LogFormat,
        /// What to log, as in `info` or `kelpdoor_director=debug`.
        #[arg(long, default_value = "info")]
        log_filter: String,
        /// Record every input and effect in this file, for `replay`.
        #[arg(long)]
        journal: Option<PathBuf>,
        /// Exit when standard input closes, so that the process does not outlive the one that started it.
        #[arg(long)]
        stay_with_stdin: bool,
        /// Found a new fleet. Needed once for each voter, while it has no store yet; applies to a voter in this process.
        #[arg(long)]
        found: bool,
        /// Number of worker threads, for sockets and decisions.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        threads: u16,
    },
    /// Check settings and print each error with file, line and column.
    Check {
        #[arg(long, required_unless_present = "document")]
        config: Option<PathBuf>,
        /// A document of agreed rules, as for `propose`.
        #[arg(long, conflicts_with = "config")]
        document: Option<PathBuf>,
        /// Print the parsed settings as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run a voter for the agreed rules, the keeper of seats that directors share, or both. SIGHUP reloads the schools'
    /// seats.
    Keeper {
        /// The settings: `voter(..)`, or `keeper(..)` and `school(..)`, or all of them.
        #[arg(long)]
        config: PathBuf,
        /// Found a new fleet. Needed once for each voter, while it has no store yet.
        #[arg(long)]
        found: bool,
        #[arg(long, value_enum, default_value = "text")]
        log: LogFormat,
        #[arg(long, default_value = "info")]
        log_filter: String,
        #[arg(long)]
        stay_with_stdin: bool,
    },
    /// Propose a document as the next version of the rules. Exits with status 0 if it was agreed.
    Propose {
        document: PathBuf,
        #[command(flatten)]
        how: ProposalOptions,
    },
    /// Propose the content of an earlier version as the next version.
    Back {
        version: u64,
        #[command(flatten)]
        how: ProposalOptions,
    },
    /// Show the voters, their versions, and the version that each director acts on.
    Agreed {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
        /// Print the document of the newest version.
        #[arg(long, conflicts_with = "json")]
        document: bool,
    },
    /// List each school's seats: bought, held, leased to directors in advance, free, and held by tokens that expire soon.
    Seats {
        /// The keeper's address.
        #[arg(long)]
        keeper: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Run a director on the users' platform, configured by PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG. SIGHUP reloads the
    /// address of the change log.
    Platform {
        /// What to log; `debug` adds a line per second with the director's estimates of its nodes.
        #[arg(long, default_value = "info")]
        log_filter: String,
    },
    /// Replay a journal and compare every decision with the recorded one.
    Replay {
        journal: PathBuf,
        /// The settings; not needed if the journal is of a director with agreed rules, which records them.
        #[arg(long)]
        config: Option<PathBuf>,
    },
}

/// Joins settings errors into one error, one per line.
fn join_errors(errors: Vec<SettingsError>) -> anyhow::Error {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    anyhow::anyhow!(lines.join("\n"))
}

fn read_deployment(path: &Path) -> Result<Deployment> {
    Deployment::read(path).map_err(join_errors)
}

/// Starts a thread that exits the process with status 1 when standard input closes.
fn exit_when_stdin_closes() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(1);
    });
}

/// Runs what the settings contain: a voter, the keeper of seats, or both.
async fn run_keeper_command(config: PathBuf, found: bool) -> Result<()> {
    let file = config.display().to_string();
    let calls = kelpdoor_script::evaluate_file(&config, KEEPER_BUILTINS).map_err(join_errors)?;
    let voter = Voter::from_calls(&file, &calls).map_err(join_errors)?;
    let has_keeper = voter.is_none() || calls.iter().any(|c| c.builtin != "voter");
    let keeper =
        if has_keeper { Some(KeeperSettings::from_calls(&file, &calls).map_err(join_errors)?) } else { None };
    match (voter, keeper) {
        (Some(voter), Some(keeper)) => {
            tokio::try_join!(run_voter(voter, found), run_seat_keeper(config, keeper)).map(|_| ())
        }
        (Some(voter), None) => run_voter(voter, found).await,
        (None, Some(keeper)) => run_seat_keeper(config, keeper).await,
        (None, None) => Ok(()),
    }
}

/// Starts a voter on the address in its settings, or else on its entry in the list of voters.
async fn launch_voter(voter: Voter, found: bool) -> Result<RunningVoter> {
    let listen = voter
        .listen
        .or(voter.voters.get(&voter.me).copied())
        .context("voter: neither listen nor its own entry in voters is set")?;
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

/// Runs a voter until SIGTERM, SIGINT or its failure.
async fn run_voter(voter: Voter, found: bool) -> Result<()> {
    let mut stop_signals = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut running = launch_voter(voter, found).await?;
    println!("kelpdoord voter listening on {}", running.address);
    std::io::stdout().flush()?;
    let [term, int] = &mut stop_signals;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        ended = running.ended() => bail!("the voter stopped unexpectedly: {ended:?}"),
    }
    running.shut_down().await;
    running.ended().await.map_err(|e| anyhow::anyhow!("the voter failed during shutdown: {e}"))
}

/// Runs the keeper of seats until SIGTERM, SIGINT or its failure. SIGHUP reloads the schools, unless they are agreed.
async fn run_seat_keeper(config: PathBuf, settings: KeeperSettings) -> Result<()> {
    let mut stop_signals = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut hangup = signal(SignalKind::hangup())?;
    let mut options = keeper_options(&settings.keeper, &settings.schools);
    let follows_agreement = settings.agreement.is_some();
    let mut follower_tasks = JoinSet::new();
    if let Some(agreement) = settings.agreement {
        let clock = BootClock::new(agreement.clock_rate);
        let (sender, seats) = watch::channel(SchoolSeats::unknown());
        follower_tasks.spawn(agreed::follow_schools(agreement, sender));
        options.agreed = Some(AgreedSchools { seats, clock });
    }
    let listen = options.listen;
    let mut running =
        kelpdoor_keeper::start(options).await.with_context(|| format!("the keeper on {listen}"))?;
    println!("kelpdoord keeper listening on {}", running.address);
    std::io::stdout().flush()?;
    let [term, int] = &mut stop_signals;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            Some(ended) = follower_tasks.join_next() => bail!("following the agreed schools failed: {ended:?}"),
            _ = hangup.recv() => match KeeperSettings::read(&config) {
                Ok(_) if follows_agreement => tracing::info!("ignored SIGHUP: the schools are agreed, not in the settings file"),
                Ok(settings) => {
                    tracing::info!(schools = settings.schools.len(), "reloaded the schools; listen, ledger and leases are unchanged");
                    running.set_schools(keeper_options(&settings.keeper, &settings.schools).schools).await;
                }
                Err(errors) => tracing::error!("cannot reload the schools, they stay unchanged: {}", join_errors(errors)),
            },
            ended = running.ended() => bail!("the keeper stopped unexpectedly: {ended:?}"),
        }
    }
    running.shut_down().await;
    running.ended().await.map_err(|e| anyhow::anyhow!("the keeper failed during shutdown: {e}"))
}

/// Queries a keeper for the seats of its schools and prints them.
fn print_seats(keeper: SocketAddr, json: bool) -> Result<()> {
    let timeout = Some(Duration::from_secs(5));
    let mut stream = TcpStream::connect_timeout(&keeper, Duration::from_secs(5))
        .with_context(|| format!("the keeper at {keeper}"))?;
    stream.set_read_timeout(timeout)?;
    stream.set_write_timeout(timeout)?;
    let mut request = serde_json::to_vec(&KeeperClientMessage::Status)?;
    request.push(b'\n');
    stream.write_all(&request)?;
    let mut line = String::new();
    BufReader::new(stream).take(64 << 20).read_line(&mut line).context("no response from the keeper")?;
    if json {
        print!("{line}");
        return Ok(());
    }
    let KeeperServerMessage::Status { directors, schools } =
        serde_json::from_str(&line).context("the keeper's response")?
    else {
        bail!("unexpected response from the keeper: {line}");
    };
    println!("{directors} directors");
    let width = schools.iter().map(|s| s.school.len()).max().unwrap_or(0).max(6);
    println!(
        "{:width$} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "school", "bought", "held", "lent", "free", "expiring"
    );
    for s in schools {
        let (bought, held, lent, free, expiring) = (s.bought, s.held, s.leased, s.free, s.expiring);
        println!("{:width$} {bought:>8} {held:>8} {lent:>8} {free:>8} {expiring:>8}", s.school);
    }
    Ok(())
}

/// Sends log events to standard error.
fn init_logging(format: LogFormat, filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).context("--log-filter")?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Json => builder.json().init(),
        LogFormat::Text => builder.with_ansi(std::io::stderr().is_terminal()).init(),
    }
    Ok(())
}

/// A director's settings file: complete settings, or local settings where the rest is agreed.
enum DirectorSettings {
    Complete(Box<Deployment>),
    Local(Box<LocalSettings>),
}

fn read_director_settings(path: &Path) -> Result<DirectorSettings> {
    match LocalSettings::read(path).map_err(join_errors)? {
        Some(local) => Ok(DirectorSettings::Local(Box::new(local))),
        None => Ok(DirectorSettings::Complete(Box::new(read_deployment(path)?))),
    }
}

/// Runs a director, and its voter if the settings have one, until SIGTERM, SIGINT or the director's failure. A first signal
/// lets pending requests be answered; a second one stops at once.
async fn run_director(settings: DirectorSettings, journal: Option<PathBuf>, found: bool) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut voter = None;
    let (deployment, agreed) = match settings {
        DirectorSettings::Complete(_) if found => {
            bail!("--found is for a process with a voter(..) in its settings")
        }
        DirectorSettings::Complete(deployment) => (*deployment, None),
        DirectorSettings::Local(local) => {
            let name = local.agreement.name.clone();
            match local.voter.clone() {
                Some(settings) => {
                    let running = launch_voter(settings, found).await?;
                    tracing::info!(address = %running.address, "started a voter in this process");
                    voter = Some(running);
                }
                None if found => bail!("--found is for a process with a voter(..) in its settings"),
                None => {}
            }
            tracing::info!(name, "requesting the agreed rules from the voters");
            let started = tokio::select! {
                started = RulesFollower::start(*local) => started?,
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
    let mut stop_signal = async || {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    // A voter that cannot write to its store stops with an error; the director continues with the other voters.
    let mut voter_ended = async || match &mut voter {
        Some(v) => v.ended().await,
        None => std::future::pending().await,
    };
    let mut voter_failed = false;
    loop {
        tokio::select! {
            () = stop_signal() => break,
            ended = running.ended() => bail!("the director stopped unexpectedly: {ended:?}"),
            ended = voter_ended(), if !voter_failed => {
                tracing::error!(?ended, "the voter in this process stopped unexpectedly; the director continues");
                voter_failed = true;
            }
        }
    }
    let counts = running.counts();
    tracing::info!(
        owed = counts.pending,
        playing = counts.playing,
        "shutting down; a second signal stops at once"
    );
    running.shut_down().await;
    tokio::select! {
        ended = running.ended() => {
            ended.map_err(|e| anyhow::anyhow!("the director failed during shutdown: {e}"))?;
            tracing::info!("every request is answered");
        }
        () = stop_signal() => bail!("stopped by a second signal before every request was answered"),
    }
    if let Some(mut voter) = voter.filter(|_| !voter_failed) {
        voter.shut_down().await;
        voter.ended().await.map_err(|e| anyhow::anyhow!("the voter failed during shutdown: {e}"))?;
    }
    Ok(())
}

fn run_command(command: Command) -> Result<()> {
    match command {
        Command::Serve { config, log, log_filter, journal, stay_with_stdin: stay, found, threads } => {
            let settings = read_director_settings(&config)?;
            init_logging(log, &log_filter)?;
            if stay {
                exit_when_stdin_closes();
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime
                .worker_threads(threads.into())
                .enable_all()
                .build()?
                .block_on(run_director(settings, journal, found))
        }
        Command::Check { document: Some(file), json, .. } => {
            let settings = agreed::read_document(&file)?.1;
            if json {
                println!("{}", serde_json::to_string_pretty(&settings)?);
            } else {
                println!("{}: good", file.display());
            }
            Ok(())
        }
        Command::Check { config, json, .. } => {
            let config = config.context("--config is needed")?;
            let deployment = match read_director_settings(&config)? {
                DirectorSettings::Complete(deployment) => deployment,
                DirectorSettings::Local(local) => {
                    println!(
                        "{}: good, the rest is agreed by fleet {}",
                        config.display(),
                        local.agreement.fleet
                    );
                    return Ok(());
                }
            };
            if let Some(tokens) = &deployment.tokens {
                let path = || tokens.keys.display().to_string();
                let text = std::fs::read_to_string(&tokens.keys).with_context(path)?;
                KeySet::parse(&text).with_context(path)?;
            }
            if json {
                println!("{}", serde_json::to_string_pretty(&deployment)?);
            } else {
                println!("{}: good", config.display());
            }
            Ok(())
        }
        Command::Propose { document, how } => {
            let voters = agreed::Voters::from_config(&how.config)?;
            voters.propose(&agreed::read_document(&document)?.0, how.after, how.dry_run, how.sure)
        }
        Command::Back { version, how } => {
            let voters = agreed::Voters::from_config(&how.config)?;
            voters.propose(&voters.fetch_version(version)?.value.text, how.after, how.dry_run, how.sure)
        }
        Command::Agreed { config, json, document } => {
            let voters = agreed::Voters::from_config(&config)?;
            if document { voters.print_document() } else { voters.print_status(json) }
        }
        Command::Keeper { config, found, log, log_filter, stay_with_stdin: stay } => {
            init_logging(log, &log_filter)?;
            if stay {
                exit_when_stdin_closes();
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(1).enable_all().build()?.block_on(run_keeper_command(config, found))
        }
        Command::Seats { keeper, json } => print_seats(keeper, json),
        Command::Platform { log_filter } => {
            let config = StartupConfig::read(|name| std::env::var(name).ok())?;
            init_logging(LogFormat::Text, &log_filter)?;
            let listen = config.listen;
            kelpdoor_platform::run(config).with_context(|| format!("listening on {listen}"))
        }
        Command::Replay { journal, config } => {
            let deployment = config.map(|config| read_deployment(&config)).transpose()?;
            let file = File::open(&journal).with_context(|| journal.display().to_string())?;
            let done = journal::replay(BufReader::new(file), deployment.as_ref())?;
            println!("{} inputs, {} rounds, {} effects", done.inputs, done.rounds, done.effects);
            match done.first_difference {
                None => Ok(()),
                Some((line, difference)) => bail!("line {line}: {difference}"),
            }
        }
    }
}

/// Runs the program. `arguments` starts with the program's name. Returns 2 for errors in arguments or in the platform's
/// configuration, and 1 for all others.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(if e.use_stderr() { 2 } else { 0 });
        }
    };
    match run_command(arguments.command) {
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
