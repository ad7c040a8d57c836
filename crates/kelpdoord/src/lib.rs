//! `kelpdoord` as a function, so that the lab can start the very same program from its own binary.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader, IsTerminal, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::{Parser, Subcommand, ValueEnum};
use kelpdoor_director::{ServeOptions, journal, keeper_options, serve};
use kelpdoor_keeper::{Ask, Tell};
use kelpdoor_platform::{Start, StartFault};
use kelpdoor_script::{Deployment, Fault, KeeperBook};
use kelpdoor_tokens::KeySet;
use tokio::signal::unix::{SignalKind, signal};
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
        /// Threads for sockets and decisions.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        threads: u16,
    },
    /// Check settings: each fault with file, line and column.
    Check {
        #[arg(long)]
        config: PathBuf,
        /// Print the settings as they were understood.
        #[arg(long)]
        json: bool,
    },
    /// Run the keeper of seats for many directors. A hangup signal has it read the schools' seats again.
    Keeper {
        /// Its settings: `keeper(..)` and `school(..)`.
        #[arg(long)]
        config: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        log: LogForm,
        #[arg(long, default_value = "info")]
        log_filter: String,
        #[arg(long)]
        stay_with_stdin: bool,
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
        #[arg(long)]
        config: PathBuf,
    },
}

fn told(faults: Vec<Fault>) -> anyhow::Error {
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

async fn keep(config: PathBuf) -> Result<()> {
    let book = KeeperBook::read(&config).map_err(told)?;
    let mut ends = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut again = signal(SignalKind::hangup())?;
    let options = keeper_options(&book.keeper, &book.schools);
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
            _ = again.recv() => match KeeperBook::read(&config) {
                Ok(book) => {
                    tracing::info!(schools = book.schools.len(), "read again; listen, ledger and leases stay");
                    running.buy(keeper_options(&book.keeper, &book.schools).schools).await;
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
    let mut ask = serde_json::to_vec(&Ask::Standing)?;
    ask.push(b'\n');
    stream.write_all(&ask)?;
    let mut line = String::new();
    BufReader::new(stream).take(64 << 20).read_line(&mut line).context("no answer")?;
    if json {
        print!("{line}");
        return Ok(());
    }
    let Tell::Standing { directors, schools } = serde_json::from_str(&line).context("its answer")? else {
        bail!("it answers with something else: {line}");
    };
    println!("{directors} directors");
    let width = schools.iter().map(|s| s.school.len()).max().unwrap_or(0).max(6);
    println!(
        "{:width$} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "school", "bought", "held", "lent", "free", "expiring"
    );
    for s in schools {
        let (b, h, l, f, e) = (s.bought, s.held, s.lent, s.free, s.expiring);
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

async fn run(deployment: Deployment, journal: Option<PathBuf>) -> Result<()> {
    let listen = deployment.director.listen;
    let mut ends = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut running = serve(ServeOptions { deployment, journal })
        .await
        .with_context(|| format!("listening on {listen}"))?;
    println!("kelpdoord listening on {}", running.address);
    std::io::stdout().flush()?;
    let [term, int] = &mut ends;
    let mut signal = async || {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    tokio::select! {
        () = signal() => {}
        ended = running.ended() => bail!("the director ended by itself: {ended:?}"),
    }
    let counts = running.counts();
    tracing::info!(
        owed = counts.owed,
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
    Ok(())
}

fn act(arguments: Arguments) -> Result<()> {
    match arguments.what {
        What::Serve { config, log, log_filter, journal, stay_with_stdin: stay, threads } => {
            let deployment = settings(&config)?;
            logs(log, &log_filter)?;
            if stay {
                stay_with_stdin();
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(threads.into()).enable_all().build()?.block_on(run(deployment, journal))
        }
        What::Check { config, json } => {
            let deployment = settings(&config)?;
            if let Some(tokens) = &deployment.tokens {
                let keys = || tokens.keys.display().to_string();
                let text = std::fs::read_to_string(&tokens.keys).with_context(keys)?;
                KeySet::read(&text).with_context(keys)?;
            }
            if json {
                println!("{}", serde_json::to_string_pretty(&deployment)?);
            } else {
                println!("{}: good", config.display());
            }
            Ok(())
        }
        What::Keeper { config, log, log_filter, stay_with_stdin: stay } => {
            logs(log, &log_filter)?;
            if stay {
                stay_with_stdin();
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(1).enable_all().build()?.block_on(keep(config))
        }
        What::Seats { keeper, json } => seats(keeper, json),
        What::Platform { log_filter } => {
            let start = Start::read(|name| std::env::var(name).ok())?;
            logs(LogForm::Text, &log_filter)?;
            let listen = start.listen;
            kelpdoor_platform::run(start).with_context(|| format!("listening on {listen}"))
        }
        What::Replay { journal, config } => {
            let deployment = settings(&config)?;
            let file = File::open(&journal).with_context(|| journal.display().to_string())?;
            let done = journal::replay(BufReader::new(file), &deployment)?;
            println!("{} inputs, {} rounds, {} effects", done.inputs, done.rounds, done.effects);
            match done.differs {
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
            if e.is::<StartFault>() {
                return ExitCode::from(2);
            }
            ExitCode::FAILURE
        }
    }
}
