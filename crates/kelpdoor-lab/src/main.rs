//! The lab's command line.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use clap::{Parser, Subcommand};
use comfy_table::Table;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use kelpdoor_lab::agreement_check::{AgreementVerdict, check_agreement};
use kelpdoor_lab::chaos::{self, ScheduleSize};
use kelpdoor_lab::check::{Verdict, check};
use kelpdoor_lab::day::{self, TroubleRunner};
use kelpdoor_lab::fleet::{ODD_SETTINGS, Processes, StandIns, settings};
use kelpdoor_lab::record::{self, Recorder};
use kelpdoor_lab::scale;
use kelpdoor_lab::trouble::TroubleScript;
use kelpdoor_tokens::{Audience, Claims};
use tokio::io::AsyncBufReadExt;
use tokio::sync::{Mutex, Semaphore};
use tokio::task::JoinSet;

#[derive(Parser)]
#[command(name = "kelpdoor-lab", version, about = "Stand-ins, bad days and their checker for kelpdoor")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-ins and two directors, print their addresses, and run until interrupted.
    Up,
    /// Run a bad day against real directors and check the rules. Exit 1 if one is violated.
    BadDay {
        /// A trouble script; without it, the default day.
        script: Option<PathBuf>,
        /// Run the short day.
        #[arg(long, conflicts_with = "script")]
        short: bool,
        /// Seed instead of the script's; with several days, the seed of the first one.
        #[arg(long)]
        seed: Option<u64>,
        /// Number of days, each with the next seed.
        #[arg(long, default_value_t = 1)]
        days: u64,
        /// Use unusual settings: few seats, high floors, a small budget, cold nodes that fail soon.
        #[arg(long)]
        odd: bool,
        /// Keep record, logs and settings there.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Run random schedules of faults against real processes. Exit 1 with the seed and a shortened schedule if a property
    /// is violated.
    Chaos {
        #[command(subcommand)]
        command: ChaosCommand,
    },
    /// Measure a director under load, and a plain relay for comparison.
    Load {
        /// New sessions a second.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        /// How long each session is held, s.
        #[arg(long, default_value_t = 20.0)]
        hold: f64,
        /// How long the load is measured once it is at its full size, s.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        #[arg(long, default_value_t = 200)]
        sockets: u32,
        #[arg(long, default_value_t = 40)]
        nodes: u32,
        /// How often both are measured, alternately.
        #[arg(long, default_value_t = 1)]
        turns: u32,
    },
    /// Run the plain relay that `load` measures for comparison.
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        config: PathBuf,
    },
    /// Work with trouble scripts.
    Trouble {
        #[command(subcommand)]
        command: TroubleCommand,
    },
    /// Issue a token to try out a deployment. A directory without a key pair gets a new one and its key set.
    Token {
        /// Directory of the key pair and of `keys.json`, the key set for `tokens(keys = ..)`.
        #[arg(long)]
        keys: PathBuf,
        #[arg(long)]
        school: String,
        /// Identifies the seat within the school; a renewal has the same id.
        #[arg(long)]
        id: String,
        #[arg(long, default_value = "kelpdoor")]
        audience: String,
        #[arg(long)]
        group: Option<String>,
        #[arg(long)]
        seat_class: Option<String>,
        /// Lifetime, s.
        #[arg(long, default_value_t = 600.0)]
        lasts: f64,
    },
    /// Measure the cost of each role as a fleet grows, and plan a fleet from it.
    Scale(scale::Scale),
    /// Check a record.
    Check { record: PathBuf },
}

#[derive(Subcommand)]
enum ChaosCommand {
    /// Directors that agree on their rules, which change during cuts, slow connections, kills, stalls and lost disks.
    Agreement {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of schedules, each with the next seed.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Run for half the time and shorten nothing.
        #[arg(long)]
        short: bool,
        #[arg(long, default_value_t = 5)]
        directors: u32,
        #[arg(long, default_value_t = 3)]
        voters: u32,
        /// Number of schedules that run at the same time.
        #[arg(long, default_value_t = 1)]
        at_once: usize,
        /// Keep records, logs and settings there.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Print the schedule without running it.
        #[arg(long)]
        print: bool,
    },
}

#[derive(Subcommand)]
enum TroubleCommand {
    /// Convert a day drawn by the bench into a script at a size that fits one machine, and print it.
    FromDay { day: PathBuf },
    /// Check a script and print each error with file, line and column.
    Check { script: PathBuf },
}

/// Reads a script; without a path, the default or the short day.
fn load_script(path: Option<&Path>, short: bool) -> Result<TroubleScript> {
    let read = match path {
        Some(path) => TroubleScript::read(path),
        None if short => TroubleScript::parse("short-day.star", day::SHORT_SCRIPT),
        None => TroubleScript::parse("bad-day.star", day::DEFAULT_SCRIPT),
    };
    read.map_err(|errors| {
        anyhow::anyhow!(errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })
}

/// Median and 99th percentile of times in microseconds.
fn format_times(of: &Histogram<u64>) -> String {
    let ms = |q| of.value_at_quantile(q) as f64 / 1e3;
    format!("{:.1} ms, {:.1} ms", ms(0.5), ms(0.99))
}

fn print_verdict(v: &Verdict) {
    let mut table = Table::new();
    let rows = [
        ("viewers", v.viewers.to_string()),
        ("sessions asked for", v.starts.to_string()),
        ("playing, busy, failed", format!("{}, {}, {}", v.playing, v.busy, v.failed)),
        ("no answer in time, director down or stalled", v.excused.to_string()),
        ("SETUPs, of these further", format!("{}, {}", v.setups, v.further)),
        ("rung changes", v.rung_changes.to_string()),
        ("start time, median and 99th percentile", format_times(&v.start_times)),
        ("start time with a token, the same", format_times(&v.token_start_times)),
        ("largest load of a cold node, of its limit", format!("{:.0} %", 100.0 * v.max_cold_load)),
        ("tokens, sessions played with them", format!("{}, {}", v.tokens, v.token_sessions)),
        ("most seats of a school in use, of", format!("{}, {}", v.seats_used.0, v.seats_used.1)),
        ("cold nodes that failed under load", v.cold_overloads.to_string()),
        ("service", format!("{:.3}", v.service)),
    ];
    for (name, value) in rows {
        table.add_row([name, &value]);
    }
    println!("{table}");
    let mut rules = Table::new();
    rules.set_header(["rule", "", "broken"]);
    let names = [
        "one final answer in time",
        "no double set-up",
        "nothing new to drained nodes",
        "cold nodes not overloaded",
        "floors and seats",
        "budget for further SETUPs",
        "seats of schools counted and freed once",
        "no SETUP for viewers that have left",
    ];
    for (k, name) in names.iter().enumerate() {
        let count = v.violations.iter().filter(|b| usize::from(b.rule) == k + 1).count();
        rules.add_row([(k + 1).to_string(), (*name).to_owned(), count.to_string()]);
    }
    println!("{rules}");
    for b in v.violations.iter().take(20) {
        println!("rule {} broken, line {} of the record: {}", b.rule, b.line, b.what);
    }
}

/// Runs one day and prints the result. Returns whether all checks passed.
async fn bad_day(script: TroubleScript, odd: bool, keep: Option<PathBuf>) -> Result<bool> {
    let temporary = tempfile::tempdir()?;
    let dir = keep.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&dir)?;
    let bar = if std::io::stderr().is_terminal() {
        ProgressBar::new(script.size.seconds as u64)
    } else {
        ProgressBar::hidden()
    };
    bar.set_style(ProgressStyle::with_template("{elapsed} {bar:40} {pos} of {len} s")?);
    let result =
        day::run(&script, if odd { ODD_SETTINGS } else { "" }, &std::env::current_exe()?, &dir, false, |t| {
            bar.set_position(t as u64)
        })
        .await?;
    bar.finish_and_clear();
    let lines = record::read(&result.record)?;
    let verdict = check(&lines);
    print_verdict(&verdict);
    let mut agreed = true;
    if script.size.voters > 0 {
        let judged = check_agreement(&lines, script.size.contradiction);
        print_agreement(&judged);
        judged
            .violations
            .iter()
            .take(20)
            .for_each(|(n, what)| println!("agreement broken, line {n} of the record: {what}"));
        agreed = judged.violations.is_empty();
    }
    if !result.exited_cleanly {
        println!("a director did not exit cleanly; its log is in {}", dir.display());
    }
    Ok(verdict.violations.is_empty() && agreed && result.exited_cleanly)
}

fn print_agreement(j: &AgreementVerdict) {
    println!(
        "{} versions, {} acknowledged; {} SETUPs, {} of them with an older version beside, {} after the last trouble; \
         older alone for {:.2} s, mixed for {:.2} s at most",
        j.versions, j.acknowledged, j.setups, j.merged_setups, j.calm_setups, j.max_older_alone, j.max_mixed
    );
}

/// Runs schedules, up to `at_once` at a time. Returns whether all passed.
async fn chaos(
    seeds: std::ops::Range<u64>, scale: ScheduleSize, at_once: usize, keep: Option<PathBuf>,
) -> Result<bool> {
    let temporary = tempfile::tempdir()?;
    let dir = keep.unwrap_or_else(|| temporary.path().to_owned());
    let program = std::env::current_exe()?;
    let permits = Arc::new(Semaphore::new(at_once.max(1)));
    let mut plays = JoinSet::new();
    for seed in seeds {
        let (permits, program, dir) = (permits.clone(), program.clone(), dir.join(seed.to_string()));
        plays.spawn(async move {
            let _permit = permits.acquire_owned().await;
            let script = chaos::parse_schedule(&chaos::schedule(seed, scale))?;
            anyhow::Ok((seed, dir.clone(), chaos::run(&script, &program, &dir).await?))
        });
    }
    let mut passed = 0;
    let mut bad = Vec::new();
    let (mut alone, mut mixed, mut taken) = (0.0f64, 0.0f64, Vec::new());
    while let Some(played) = plays.join_next().await {
        let (seed, dir, played) = played??;
        print!(
            "seed {seed}: {} playing, {} busy, {} failed; ",
            played.rules.playing, played.rules.busy, played.rules.failed
        );
        print_agreement(&played.agreement);
        alone = alone.max(played.agreement.max_older_alone);
        mixed = mixed.max(played.agreement.max_mixed);
        taken.extend(played.agreement.adoption_delays.iter().copied());
        if played.passed() {
            passed += 1;
        } else {
            played.violations().iter().take(10).for_each(|b| println!("  {b}"));
            bad.push((seed, dir));
        }
    }
    taken.sort_by(f64::total_cmp);
    let at = |part: f64| {
        taken.get((part * (taken.len().saturating_sub(1)) as f64) as usize).copied().unwrap_or(0.0)
    };
    println!(
        "{passed} good, {} broken; older alone for {alone:.2} s, mixed for {mixed:.2} s at most; from proposal to the last SETUP \
         without it {:.2} s at the median, {:.2} s at most",
        bad.len(),
        at(0.5),
        at(1.0)
    );
    bad.sort();
    if let Some((seed, dir)) = bad.first()
        && scale.max_reruns > 0
    {
        println!("seed {seed}, shortened:");
        let lines = chaos::shorten(chaos::schedule(*seed, scale), &program, dir, scale.max_reruns).await?;
        lines.iter().for_each(|l| println!("{l}"));
    }
    Ok(bad.is_empty())
}

/// Applies the troubles of a line of input now.
fn apply_line(runner: &TroubleRunner, line: &str) {
    let size = serde_json::to_value(&runner.script.size).unwrap_or_default();
    let day: Vec<String> =
        size.as_object().into_iter().flatten().map(|(k, v)| format!("{k} = {v}")).collect();
    match TroubleScript::parse("input", &format!("day({}); {line}", day.join(", "))) {
        Ok(script) => script.troubles.into_iter().for_each(|(kind, t)| {
            let runner = runner.clone();
            tokio::spawn(async move { runner.apply(kind, &t).await });
        }),
        Err(errors) => errors.iter().for_each(|f| println!("{f}")),
    }
}

/// Starts stand-ins and directors and applies troubles from standard input until interrupted.
async fn up() -> Result<()> {
    let dir = tempfile::tempdir()?;
    let mut script = load_script(None, true)?;
    script.size.directors = 2;
    let shared = settings(&script.size, "");
    let stand_ins = StandIns::start(&script.size, &shared, Recorder::disabled()).await?;
    let mut processes = Processes::new(
        &script.size,
        &shared,
        std::env::current_exe()?,
        stand_ins.roster_address,
        Recorder::disabled(),
        dir.path(),
        false,
    );
    processes.start_keeper().await?;
    processes.start_voters().await?;
    for d in 0..2 {
        println!("director {d}: ws://{}/", processes.start(d).await?);
    }
    println!(
        "subprotocol kelpdoor.session.v1; groups lecture, story, reading, paid; titles title-00 to title-39"
    );
    if let (Some(keeper), Some(token_issuer)) = (&processes.keeper, &processes.token_issuer) {
        let token = token_issuer.token(&kelpdoor_lab::schools::school_name(0), "by-hand", 600.0)?;
        println!("group ticket needs a token, as this one, good for ten minutes: {token}");
        println!("keeper of seats: {}, for kelpdoord seats --keeper", keeper.address);
    }
    println!("settings and logs in {}; Ctrl-C stops the lab", dir.path().display());
    println!(
        "enter a line of a trouble script to apply it now, for example: crash(at = 0, nodes = [2], lasts = 5)"
    );
    let agreeing = processes.agreeing.clone();
    let runner = TroubleRunner {
        stand_ins: stand_ins.into(),
        processes: Arc::new(Mutex::new(processes)),
        script: Arc::new(script),
        agreeing,
    };
    let mut lines = tokio::io::BufReader::new(tokio::io::stdin()).lines();
    let mut open = true;
    loop {
        tokio::select! {
            done = tokio::signal::ctrl_c() => {
                done?;
                break;
            }
            line = lines.next_line(), if open => match line? {
                None => open = false,
                Some(line) => apply_line(&runner, &line),
            },
        }
    }
    let mut processes = runner.processes.lock().await;
    for d in 0..2 {
        processes.end(d).await?;
    }
    Ok(())
}

/// Runs a subcommand. Returns whether all checks passed.
async fn run_command(arguments: Arguments) -> Result<bool> {
    match arguments.command {
        Command::Up => up().await.map(|()| true),
        Command::BadDay { script, short, seed, days, odd, keep } => {
            let mut script = load_script(script.as_deref(), short)?;
            script.size.seed = seed.unwrap_or(script.size.seed);
            let mut passed = true;
            for k in 0..days {
                if days > 1 {
                    println!("seed {}", script.size.seed);
                }
                let keep = keep.as_ref().map(|d| if days > 1 { d.join(k.to_string()) } else { d.clone() });
                passed &= bad_day(script.clone(), odd, keep).await?;
                script.size.seed += 1;
            }
            Ok(passed)
        }
        Command::Chaos {
            command: ChaosCommand::Agreement { seed, runs, short, directors, voters, at_once, keep, print },
        } => {
            let (seconds, shorten) = if short { (26.0, 0) } else { (50.0, 12) };
            anyhow::ensure!((1..=20).contains(&directors), "1 to 20 directors");
            anyhow::ensure!(matches!(voters, 3 | 5), "three or five voters");
            let scale = ScheduleSize { directors, voters, seconds, max_reruns: shorten };
            if print {
                chaos::schedule(seed, scale).iter().for_each(|l| println!("{l}"));
                return Ok(true);
            }
            chaos(seed..seed + runs, scale, at_once, keep).await
        }
        Command::Load { rate, hold, seconds, sockets, nodes, turns } => {
            let load = kelpdoor_lab::load::Load { rate, hold, seconds, sockets, nodes, turns };
            println!("{}", load.run(&std::env::current_exe()?).await?);
            Ok(true)
        }
        Command::Relay { config } => kelpdoor_lab::relay::run(&config).await.map(|()| true),
        Command::Trouble { command: TroubleCommand::FromDay { day } } => {
            let text = std::fs::read_to_string(&day).with_context(|| day.display().to_string())?;
            print!(
                "{}",
                kelpdoor_lab::drawn_day::to_script(&text).with_context(|| day.display().to_string())?
            );
            Ok(true)
        }
        Command::Trouble { command: TroubleCommand::Check { script } } => {
            let read = load_script(Some(&script), false)?;
            println!("{}: good, {} troubles", script.display(), read.troubles.len());
            Ok(true)
        }
        Command::Token { keys, school, id, audience, group, seat_class, lasts } => {
            let now = record::now();
            let aud = Audience::One(audience);
            let claims =
                Claims { aud, school, group, seat_class, jti: id, iat: now, nbf: None, exp: now + lasts };
            let issuer = kelpdoor_lab::schools::load_or_create_issuer(&keys)?;
            println!("{}", issuer.sign(&claims).map_err(|e| anyhow::anyhow!(e))?);
            Ok(true)
        }
        Command::Scale(of) => {
            scale::run(of).await?;
            Ok(true)
        }
        Command::Check { record } => {
            let lines = record::read(&record).context("reading the record")?;
            if lines.is_empty() {
                bail!("{}: the record is empty", record.display());
            }
            let verdict = check(&lines);
            print_verdict(&verdict);
            Ok(verdict.violations.is_empty())
        }
    }
}

fn main() -> ExitCode {
    // The lab starts a daemon by running itself with `director` as the first argument.
    let mut arguments = std::env::args_os();
    let program = arguments.next().unwrap_or_default();
    if std::env::args_os().nth(1).is_some_and(|a| a == "director") {
        return kelpdoord::main(std::iter::once(program).chain(arguments.skip(1)));
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("kelpdoor-lab: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_command(Arguments::parse())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("kelpdoor-lab: {e:#}");
            ExitCode::from(2)
        }
    }
}
