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
use kelpdoor_lab::day::{self, Stage};
use kelpdoor_lab::fleet::{Fold, ODD, World, settings};
use kelpdoor_lab::record::{self, Recorder};
use kelpdoor_lab::scale;
use kelpdoor_lab::trouble::Script;
use kelpdoor_tokens::{Audience, Claims};
use tokio::io::AsyncBufReadExt;
use tokio::sync::{Mutex, Semaphore};
use tokio::task::JoinSet;

#[derive(Parser)]
#[command(name = "kelpdoor-lab", version, about = "Stand-ins, bad days and their checker for kelpdoor")]
struct Arguments {
    #[command(subcommand)]
    what: Act,
}

#[derive(Subcommand)]
enum Act {
    /// Start stand-ins and two directors, print where they listen, and stay until interrupted.
    Up,
    /// Play a bad day against real directors and judge the six rules. Exit 1 if one broke.
    BadDay {
        /// A trouble script; the default day where absent.
        script: Option<PathBuf>,
        /// The short day.
        #[arg(long, conflicts_with = "script")]
        short: bool,
        /// Another seed than the script's; several days with seeds from there on.
        #[arg(long)]
        seed: Option<u64>,
        #[arg(long, default_value_t = 1)]
        days: u64,
        /// Under odd settings: few seats, high floors, a small budget, a cold start that tips soon.
        #[arg(long)]
        odd: bool,
        /// Keep record, logs and settings there.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Play random schedules of faults against real processes. Exit 1 with seed and a shortened schedule if a property broke.
    Chaos {
        #[command(subcommand)]
        what: ChaosAct,
    },
    /// Load a director, and beside it in the same run a plain relay, and measure both.
    Load {
        /// New sessions a second.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        /// How long each is held, s.
        #[arg(long, default_value_t = 20.0)]
        hold: f64,
        /// How long it is measured once all are held, s.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        #[arg(long, default_value_t = 200)]
        sockets: u32,
        #[arg(long, default_value_t = 40)]
        nodes: u32,
        /// Times that both are measured, in turn.
        #[arg(long, default_value_t = 1)]
        turns: u32,
    },
    /// The plain relay that `load` measures beside the director.
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        config: PathBuf,
    },
    /// Trouble scripts.
    Trouble {
        #[command(subcommand)]
        what: TroubleAct,
    },
    /// Issue a token for trying a deployment out. Key pair and key set are made in the folder if it has none.
    Token {
        /// Holds the key pair, and `keys.json`, the key set for `tokens(keys = ..)`.
        #[arg(long)]
        keys: PathBuf,
        #[arg(long)]
        school: String,
        /// Names the seat, with the school; a renewal has the same one.
        #[arg(long)]
        id: String,
        #[arg(long, default_value = "kelpdoor")]
        audience: String,
        #[arg(long)]
        group: Option<String>,
        #[arg(long)]
        seat_class: Option<String>,
        /// s
        #[arg(long, default_value_t = 600.0)]
        lasts: f64,
    },
    /// Measure what each role costs as a fleet grows, and work out a fleet from it.
    Scale(scale::Scale),
    /// Judge a record again.
    Check { record: PathBuf },
}

#[derive(Subcommand)]
enum ChaosAct {
    /// Directors that agree on their rules: cuts, slow lines, kills, stalls and lost disks, with rules changing meanwhile.
    Agreement {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Schedules, of seeds from there on.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Half the time, nothing shortened.
        #[arg(long)]
        short: bool,
        #[arg(long, default_value_t = 5)]
        directors: u32,
        #[arg(long, default_value_t = 3)]
        voters: u32,
        /// Schedules played at a time.
        #[arg(long, default_value_t = 1)]
        at_once: usize,
        /// Keep records, logs and settings there.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Print the schedule and play nothing.
        #[arg(long)]
        print: bool,
    },
}

#[derive(Subcommand)]
enum TroubleAct {
    /// Print a script made of a day drawn by the bench, at a size that fits one machine.
    FromDay { day: PathBuf },
    /// Check a script: each fault with file, line and column.
    Check { script: PathBuf },
}

fn script_of(path: Option<&Path>, short: bool) -> Result<Script> {
    let read = match path {
        Some(path) => Script::read(path),
        None if short => Script::run("short-day.star", day::SHORT),
        None => Script::run("bad-day.star", day::DEFAULT),
    };
    read.map_err(|faults| {
        anyhow::anyhow!(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })
}

fn times(of: &Histogram<u64>) -> String {
    let ms = |q| of.value_at_quantile(q) as f64 / 1e3;
    format!("{:.1} ms, {:.1} ms", ms(0.5), ms(0.99))
}

fn show(v: &Verdict) {
    let mut table = Table::new();
    let rows = [
        ("viewers", v.wishes.to_string()),
        ("sessions asked for", v.starts.to_string()),
        ("playing, busy, failed", format!("{}, {}, {}", v.playing, v.busy, v.failed)),
        ("no answer in time, director down or stalled", v.excused.to_string()),
        ("SETUPs, of them further", format!("{}, {}", v.setups, v.further)),
        ("rung changes", v.rung_changes.to_string()),
        ("start time, median and 99 in 100", times(&v.start_times)),
        ("the same with a token", times(&v.ticket_times)),
        ("most of a cold node's limit used", format!("{:.0} %", 100.0 * v.cold_use)),
        ("tokens, sessions played with them", format!("{}, {}", v.tokens, v.ticketed)),
        ("most seats of a school in use, of", format!("{}, {}", v.seats_used.0, v.seats_used.1)),
        ("cold nodes pushed over", v.falls.to_string()),
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
        "cold nodes not pushed",
        "floors and seats",
        "budget for further SETUPs",
        "seats of schools counted once, freed once",
        "nothing for viewers that have gone",
    ];
    for (k, name) in names.iter().enumerate() {
        let count = v.broken.iter().filter(|b| usize::from(b.rule) == k + 1).count();
        rules.add_row([(k + 1).to_string(), (*name).to_owned(), count.to_string()]);
    }
    println!("{rules}");
    for b in v.broken.iter().take(20) {
        println!("rule {} broken, line {} of the record: {}", b.rule, b.line, b.what);
    }
}

async fn bad_day(script: Script, odd: bool, keep: Option<PathBuf>) -> Result<bool> {
    let temporary = tempfile::tempdir()?;
    let dir = keep.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&dir)?;
    let bar = if std::io::stderr().is_terminal() {
        ProgressBar::new(script.size.seconds as u64)
    } else {
        ProgressBar::hidden()
    };
    bar.set_style(ProgressStyle::with_template("{elapsed} {bar:40} {pos} of {len} s")?);
    let over = day::run(&script, if odd { ODD } else { "" }, &std::env::current_exe()?, &dir, false, |t| {
        bar.set_position(t as u64)
    })
    .await?;
    bar.finish_and_clear();
    let lines = record::read(&over.record)?;
    let verdict = check(&lines);
    show(&verdict);
    let mut agreed = true;
    if script.size.voters > 0 {
        let judged = check_agreement(&lines, script.size.contradiction);
        show_agreed(&judged);
        judged
            .violations
            .iter()
            .take(20)
            .for_each(|(n, what)| println!("agreement broken, line {n} of the record: {what}"));
        agreed = judged.violations.is_empty();
    }
    if !over.ended_well {
        println!("a director did not end well; its log is in {}", dir.display());
    }
    Ok(verdict.broken.is_empty() && agreed && over.ended_well)
}

fn show_agreed(j: &AgreementVerdict) {
    println!(
        "{} versions, {} acknowledged; {} SETUPs, {} of them with an older version beside, {} after the last trouble; \
         older alone for {:.2} s, mixed for {:.2} s at most",
        j.versions, j.acknowledged, j.setups, j.merged_setups, j.calm_setups, j.max_older_alone, j.max_mixed
    );
}

/// Plays schedules, some at once; whether all were good.
async fn chaos(
    seeds: std::ops::Range<u64>, scale: ScheduleSize, at_once: usize, keep: Option<PathBuf>,
) -> Result<bool> {
    let temporary = tempfile::tempdir()?;
    let dir = keep.unwrap_or_else(|| temporary.path().to_owned());
    let program = std::env::current_exe()?;
    let room = Arc::new(Semaphore::new(at_once.max(1)));
    let mut plays = JoinSet::new();
    for seed in seeds {
        let (room, program, dir) = (room.clone(), program.clone(), dir.join(seed.to_string()));
        plays.spawn(async move {
            let _permit = room.acquire_owned().await;
            let script = chaos::parse_schedule(&chaos::schedule(seed, scale))?;
            anyhow::Ok((seed, dir.clone(), chaos::run(&script, &program, &dir).await?))
        });
    }
    let mut good = 0;
    let mut bad = Vec::new();
    let (mut alone, mut mixed, mut taken) = (0.0f64, 0.0f64, Vec::new());
    while let Some(played) = plays.join_next().await {
        let (seed, dir, played) = played??;
        print!(
            "seed {seed}: {} playing, {} busy, {} failed; ",
            played.rules.playing, played.rules.busy, played.rules.failed
        );
        show_agreed(&played.agreement);
        alone = alone.max(played.agreement.max_older_alone);
        mixed = mixed.max(played.agreement.max_mixed);
        taken.extend(played.agreement.adoption_delays.iter().copied());
        if played.passed() {
            good += 1;
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
        "{good} good, {} broken; older alone for {alone:.2} s, mixed for {mixed:.2} s at most; from proposal to the last SETUP \
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

/// Does the troubles of a line, now.
fn live(stage: &Stage, line: &str) {
    let size = serde_json::to_value(&stage.script.size).unwrap_or_default();
    let day: Vec<String> =
        size.as_object().into_iter().flatten().map(|(k, v)| format!("{k} = {v}")).collect();
    match Script::run("input", &format!("day({}); {line}", day.join(", "))) {
        Ok(script) => script.troubles.into_iter().for_each(|(kind, t)| {
            let stage = stage.clone();
            tokio::spawn(async move { stage.act(kind, &t).await });
        }),
        Err(faults) => faults.iter().for_each(|f| println!("{f}")),
    }
}

async fn up() -> Result<()> {
    let dir = tempfile::tempdir()?;
    let mut script = script_of(None, true)?;
    script.size.directors = 2;
    let shared = settings(&script.size, "");
    let world = World::start(&script.size, &shared, Recorder::none()).await?;
    let mut fold = Fold::new(
        &script.size,
        &shared,
        std::env::current_exe()?,
        world.roster_at,
        Recorder::none(),
        dir.path(),
        false,
    );
    fold.start_keeper().await?;
    fold.start_voters().await?;
    for d in 0..2 {
        println!("director {d}: ws://{}/", fold.start(d).await?);
    }
    println!(
        "subprotocol kelpdoor.session.v1; groups lecture, story, reading, paid; titles title-00 to title-39"
    );
    if let (Some(keeper), Some(issuing)) = (&fold.keeper, &fold.issuing) {
        let token = issuing.token(&kelpdoor_lab::tickets::school(0), "by-hand", 600.0)?;
        println!("group ticket needs a token, as this one, good for ten minutes: {token}");
        println!("keeper of seats: {}, for kelpdoord seats --keeper", keeper.address);
    }
    println!("settings and logs in {}; Ctrl-C ends", dir.path().display());
    println!(
        "a line of a trouble script does that trouble now, as in: crash(at = 0, nodes = [2], lasts = 5)"
    );
    let agreeing = fold.agreeing.clone();
    let stage =
        Stage { world: world.into(), fold: Arc::new(Mutex::new(fold)), script: Arc::new(script), agreeing };
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
                Some(line) => live(&stage, &line),
            },
        }
    }
    let mut fold = stage.fold.lock().await;
    for d in 0..2 {
        fold.end(d).await?;
    }
    Ok(())
}

async fn act(arguments: Arguments) -> Result<bool> {
    match arguments.what {
        Act::Up => up().await.map(|()| true),
        Act::BadDay { script, short, seed, days, odd, keep } => {
            let mut script = script_of(script.as_deref(), short)?;
            script.size.seed = seed.unwrap_or(script.size.seed);
            let mut good = true;
            for k in 0..days {
                if days > 1 {
                    println!("seed {}", script.size.seed);
                }
                let keep = keep.as_ref().map(|d| if days > 1 { d.join(k.to_string()) } else { d.clone() });
                good &= bad_day(script.clone(), odd, keep).await?;
                script.size.seed += 1;
            }
            Ok(good)
        }
        Act::Chaos {
            what: ChaosAct::Agreement { seed, runs, short, directors, voters, at_once, keep, print },
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
        Act::Load { rate, hold, seconds, sockets, nodes, turns } => {
            let load = kelpdoor_lab::load::Load { rate, hold, seconds, sockets, nodes, turns };
            println!("{}", load.run(&std::env::current_exe()?).await?);
            Ok(true)
        }
        Act::Relay { config } => kelpdoor_lab::relay::run(&config).await.map(|()| true),
        Act::Trouble { what: TroubleAct::FromDay { day } } => {
            let text = std::fs::read_to_string(&day).with_context(|| day.display().to_string())?;
            print!("{}", kelpdoor_lab::fromday::script(&text).with_context(|| day.display().to_string())?);
            Ok(true)
        }
        Act::Trouble { what: TroubleAct::Check { script } } => {
            let read = script_of(Some(&script), false)?;
            println!("{}: good, {} troubles", script.display(), read.troubles.len());
            Ok(true)
        }
        Act::Token { keys, school, id, audience, group, seat_class, lasts } => {
            let now = record::now();
            let aud = Audience::One(audience);
            let claims =
                Claims { aud, school, group, seat_class, jti: id, iat: now, nbf: None, exp: now + lasts };
            let issuer = kelpdoor_lab::tickets::kept_issuer(&keys)?;
            println!("{}", issuer.sign(&claims).map_err(|e| anyhow::anyhow!(e))?);
            Ok(true)
        }
        Act::Scale(of) => {
            scale::run(of).await?;
            Ok(true)
        }
        Act::Check { record } => {
            let lines = record::read(&record).context("reading the record")?;
            if lines.is_empty() {
                bail!("{}: an empty record", record.display());
            }
            let verdict = check(&lines);
            show(&verdict);
            Ok(verdict.broken.is_empty())
        }
    }
}

fn main() -> ExitCode {
    // The lab starts directors by running itself as the daemon.
    let mut given = std::env::args_os();
    let program = given.next().unwrap_or_default();
    if std::env::args_os().nth(1).is_some_and(|a| a == "director") {
        return kelpdoord::main(std::iter::once(program).chain(given.skip(1)));
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("kelpdoor-lab: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(act(Arguments::parse())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("kelpdoor-lab: {e:#}");
            ExitCode::from(2)
        }
    }
}
