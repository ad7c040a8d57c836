//! `kelpdoord` as a function, so that the lab can start the very same program from its own binary.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use clap::{Parser, Subcommand, ValueEnum};
use kelpdoor_director::{ServeOptions, journal, serve};
use kelpdoor_script::Deployment;
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
    /// Feed a journal to the library again and compare every decision.
    Replay {
        journal: PathBuf,
        #[arg(long)]
        config: PathBuf,
    },
}

fn settings(path: &Path) -> Result<Deployment> {
    Deployment::read(path).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        anyhow::anyhow!(lines.join("\n"))
    })
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
        What::Serve { config, log, log_filter, journal, stay_with_stdin, threads } => {
            let deployment = settings(&config)?;
            logs(log, &log_filter)?;
            if stay_with_stdin {
                std::thread::spawn(|| {
                    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
                    std::process::exit(1);
                });
            }
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(threads.into()).enable_all().build()?.block_on(run(deployment, journal))
        }
        What::Check { config, json } => {
            let deployment = settings(&config)?;
            if json {
                println!("{}", serde_json::to_string_pretty(&deployment)?);
            } else {
                println!("{}: good", config.display());
            }
            Ok(())
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
            ExitCode::FAILURE
        }
    }
}
