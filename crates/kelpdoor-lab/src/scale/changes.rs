//! Cost of changes of the rules: the fraction of time in which directors may begin sessions, the time until a change is in
//! force, and the bytes on the wire. Measured in virtual time with the real cores, and on processes at small size.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use clap::Args;
use fastrand::Rng;
use kelpdoor_agreement::VoterResponse;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Scale;
use super::hollow::{self, HollowSpec};
use super::points::{Point, Points};
use super::simulate::{Outcome, SimulationPlan, director_loop_cost, simulate};
use super::voters::{FLEET, HOLLOW, Operator, Voters, progress_bar, write};

/// Voters in virtual time; one in each region of the target.
const VOTERS: usize = 5;
/// Directors in runs by document size; the bytes of each do not depend on their number.
const DOCUMENT_DIRECTORS: usize = 10;
/// Changes per second in runs by document size.
const DOCUMENT_RATE: f64 = 0.58;
/// Duration of runs by document size, in seconds.
const DOCUMENT_SPAN: f64 = 30.0;
/// Directors in runs with a region cut off; a fifth of them are in that region.
const CUT_DIRECTORS: usize = 50;
/// Duration of a partition, in seconds.
const CUT_SPAN: f64 = 3600.0;
/// Changes in a burst.
const BURST_CHANGES: u32 = 50;
/// Seconds within which a burst has to be in force.
const BURST_SPAN: f64 = 30.0;
/// Leases over which a director's loop is timed.
const LOOP_COST_LEASES: f64 = 10.0;
/// Voters in runs on processes.
const PROCESS_VOTERS: usize = 3;
/// Hollow directors in runs on processes.
const PROCESS_DIRECTORS: usize = 40;
/// Duration of runs on processes, in seconds.
const PROCESS_SPAN: f64 = 30.0;
/// Changes per second in runs on processes.
const PROCESS_RATES: [f64; 2] = [0.58, 5.8];
/// Size in bytes of the document in runs on processes.
const PROCESS_DOCUMENT: usize = 2000;
/// Time limit for all hollow directors to obtain a lease.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between two checks for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Proposals of one change before its operator gives up.
const MAX_PROPOSALS: u32 = 60;
/// Most requests of one simulation: ten minutes of 300 directors that ask five voters for leases of 1 s.
const MAX_REQUESTS: f64 = 3.6e6;
/// What virtual time leaves out; stored with the points.
const VIRTUAL_TIME: &str =
    "virtual time, the very cores; no connections, no desk, a document's first line read";

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Changes per second.
    #[arg(long, value_delimiter = ',', default_values_t = [0.1, 0.58, 2.0, 5.8])]
    pub rates: Vec<f64>,
    /// Longest contradictions that documents state, in seconds.
    #[arg(long, value_delimiter = ',', default_values_t = [2.0, 10.0])]
    pub contradictions: Vec<f64>,
    /// Sizes of documents in bytes.
    #[arg(long, value_delimiter = ',', default_values_t = [2_000, 20_000, 200_000])]
    pub documents: Vec<usize>,
    /// Virtual time for each rate, in seconds.
    #[arg(long, default_value_t = 600.0)]
    pub span: f64,
    /// Most requests of directors simulated for one figure; the span is shortened accordingly for many directors.
    #[arg(long, default_value_t = MAX_REQUESTS)]
    pub questions: f64,
    /// Simulations run in parallel.
    #[arg(long, default_value_t = 4)]
    pub at_once: usize,
    /// Time limit of this measurement in seconds, in addition to that of all measurements.
    #[arg(long, default_value_t = 330.0)]
    pub most: f64,
    /// File to write the points to, as JSON.
    #[arg(long)]
    pub points: Option<PathBuf>,
    /// Program to run as voters; this program by default.
    #[arg(long, hide = true)]
    pub program: Option<PathBuf>,
    /// Skip the measurement on processes.
    #[arg(long)]
    pub no_processes: bool,
    /// Skip the measurement in virtual time.
    #[arg(long)]
    pub no_virtual: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            rates: vec![0.1, 0.58, 2.0, 5.8],
            contradictions: vec![2.0, 10.0],
            documents: vec![2_000, 20_000, 200_000],
            span: 600.0,
            questions: MAX_REQUESTS,
            at_once: 4,
            most: 330.0,
            points: None,
            program: None,
            no_processes: false,
            no_virtual: false,
        }
    }
}

/// Measures changes of the rules.
///
/// # Errors
/// An option is out of range, a voter cannot be started, or the points cannot be written.
pub async fn measure(all: &Scale, options: &Options) -> Result<Points> {
    ensure!(options.rates.iter().all(|r| *r > 0.0 && *r <= 50.0), "--rates: above 0 to 50 changes a second");
    ensure!(options.contradictions.iter().all(|c| (0.5..=60.0).contains(c)), "--contradictions: 0.5 to 60 s");
    ensure!(options.documents.iter().all(|b| *b <= 250_000), "--documents: 250,000 bytes at most");
    ensure!((1.0..=86_400.0).contains(&options.span), "--span: 1 s to a day");
    let until = Instant::now() + Duration::from_secs_f64(all.within.min(options.most).clamp(0.0, 1e6));
    let mut points = Points::default();
    if !options.no_processes {
        on_processes(options, until, &mut points).await?;
    }
    if !options.no_virtual {
        let (plans, at_once) = (plans(all, options), options.at_once);
        let done = tokio::task::spawn_blocking(move || run_simulations(plans, at_once, until)).await?;
        done.into_iter().for_each(|(run, o)| run.points(&o, &mut points));
        measure_loop_cost(all, options, &mut points);
    }
    write(options.points.as_deref(), &points)?;
    Ok(points)
}

/// Measures the processor time of a director's loop by document size.
fn measure_loop_cost(all: &Scale, options: &Options, to: &mut Points) {
    for &contradiction in &options.contradictions {
        for (seed, &document) in (1..=all.seeds).flat_map(|s| options.documents.iter().map(move |d| (s, d))) {
            let lease = kelpdoor_agreement::lease_duration(contradiction);
            to.points.push(Point {
                role: "director".into(),
                what: "processor time of following, steady".into(),
                unit: "core".into(),
                by: "document bytes".into(),
                x: document as f64,
                y: director_loop_cost(VOTERS, contradiction, document, LOOP_COST_LEASES * lease),
                seed,
                at: format!("{VOTERS} voters, contradiction {contradiction} s"),
                hollow: "a director's loop alone: no reading, no connections, no JSON".into(),
            });
        }
    }
}

/// Kind of a run; selects the points taken from its outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Rate,
    Burst,
    Document,
    Cut,
    Processes,
}

/// One simulation to run.
#[derive(Clone, Debug)]
struct Run {
    kind: Kind,
    plan: SimulationPlan,
}

/// Seconds of virtual time, shortened so that all directors send at most `questions` requests.
fn span(options: &Options, directors: usize, contradiction: f64) -> f64 {
    // Each director sends four requests per lease to each voter.
    let rate = directors as f64 * VOTERS as f64 * 4.0 / kelpdoor_agreement::lease_duration(contradiction);
    options.span.min((options.questions / rate).max(1.0)).round()
}

/// All runs, the most important first, as the last are left out when time runs out.
fn plans(all: &Scale, options: &Options) -> Vec<Run> {
    let plan = SimulationPlan { voters: VOTERS, ..SimulationPlan::default() };
    let mut runs = Vec::new();
    let least = all.sizes.iter().copied().min().unwrap_or(0);
    for seed in 1..=all.seeds {
        for &contradiction in &options.contradictions {
            let plan = SimulationPlan { seed, contradiction, ..plan.clone() };
            // Larger sizes run with one seed only; the smallest is cheap enough to show the variation between seeds.
            for &directors in all.sizes.iter().filter(|d| seed == 1 || **d == least) {
                let span = span(options, directors, contradiction);
                let (burst, within) = (BURST_CHANGES, BURST_SPAN);
                let of_burst = SimulationPlan { directors, burst, span: within, ..plan.clone() };
                runs.push(Run { kind: Kind::Burst, plan: of_burst });
                let at = |rate: &f64| SimulationPlan { directors, rate: *rate, span, ..plan.clone() };
                runs.extend(options.rates.iter().map(at).map(|plan| Run { kind: Kind::Rate, plan }));
            }
            let (directors, rate, span) = (DOCUMENT_DIRECTORS, DOCUMENT_RATE, DOCUMENT_SPAN);
            let with_document = |document: &usize| SimulationPlan {
                directors,
                rate,
                span,
                document: *document,
                ..plan.clone()
            };
            runs.extend(
                options.documents.iter().map(with_document).map(|plan| Run { kind: Kind::Document, plan }),
            );
            let (directors, span) = (CUT_DIRECTORS, CUT_SPAN);
            runs.push(Run {
                kind: Kind::Cut,
                plan: SimulationPlan { directors, rate, span, cut: true, ..plan },
            });
        }
    }
    runs
}

/// Runs all simulations, `at_once` in parallel; those not started by `until` are returned as cut short.
fn run_simulations(runs: Vec<Run>, at_once: usize, until: Instant) -> Vec<(Run, Outcome)> {
    let bar = progress_bar(runs.len() as u64, "simulations");
    let next = AtomicUsize::new(0);
    let done = Arc::new(Mutex::new(Vec::new()));
    std::thread::scope(|s| {
        for _ in 0..at_once.clamp(1, 64) {
            s.spawn(|| {
                while let Some(run) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = if Instant::now() < until {
                        simulate(&run.plan, until)
                    } else {
                        Outcome { cut_short: true, ..Outcome::default() }
                    };
                    bar.inc(1);
                    if let Ok(mut done) = done.lock() {
                        done.push((run.clone(), outcome));
                    }
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut all = done.lock().map(|mut d| std::mem::take(&mut *d)).unwrap_or_default();
    let order = |c: &Run| (c.plan.contradiction, c.plan.directors as f64, c.plan.rate, c.plan.seed as f64);
    all.sort_by(|(a, _), (b, _)| order(a).partial_cmp(&order(b)).unwrap_or(std::cmp::Ordering::Equal));
    all
}

/// Quantile of sorted values; `None` if there are none.
pub fn quantile(of: &[f64], q: f64) -> Option<f64> {
    of.get((q * of.len().saturating_sub(1) as f64).round() as usize).copied()
}

fn mean(of: &[f64]) -> Option<f64> {
    (!of.is_empty()).then(|| of.iter().sum::<f64>() / of.len() as f64)
}

fn min_value(of: &[f64]) -> Option<f64> {
    of.iter().copied().min_by(f64::total_cmp)
}

impl Run {
    fn points(&self, o: &Outcome, to: &mut Points) {
        let p = &self.plan;
        let what = format!(
            "{} voters, {} directors, contradiction {} s, {} changes/s, seed {}",
            p.voters, p.directors, p.contradiction, p.rate, p.seed
        );
        if o.events == 0 {
            to.partial.push(format!("{:?} not run, no time was left: {what}", self.kind));
            return;
        }
        if o.cut_short {
            let (at, of) = (o.measured, p.span);
            to.partial
                .push(format!("{:?} cut short after {at:.0} of {of:.0} s, left out: {what}", self.kind));
            return;
        }
        for (why, n) in &o.refused {
            let all = o.questions * o.measured * p.voters as f64;
            to.partial.push(format!("{:?}: {n} of {all:.0} questions refused, {why:?}: {what}", self.kind));
        }
        if !o.why_given_up.is_empty() {
            let n = o.given_up;
            to.partial.push(format!(
                "{:?}: {n} changes given up, the last for {}: {what}",
                self.kind, o.why_given_up
            ));
        }
        let min_fraction = min_value(&o.begin_fractions);
        let (by, x, at) = match self.kind {
            Kind::Rate => ("changes/s", p.rate, format!("{} directors", p.directors)),
            Kind::Burst => ("directors", p.directors as f64, format!("burst of {}", p.burst)),
            Kind::Document => ("document bytes", p.document as f64, format!("{} changes/s", p.rate)),
            Kind::Processes => ("changes/s", p.rate, format!("{} directors, on processes", p.directors)),
            Kind::Cut => ("directors", p.directors as f64, format!("a region cut off, {} changes/s", p.rate)),
        };
        let at = format!("{} voters, {at}, contradiction {} s, {:.0} s", p.voters, p.contradiction, p.span);
        let hollow = if self.kind == Kind::Processes { HOLLOW } else { VIRTUAL_TIME };
        let mut put = |role: &str, what: &str, unit: &str, y: Option<f64>| {
            let Some(y) = y else { return };
            let (role, what, unit, by) = (role.into(), what.into(), unit.into(), by.into());
            let (seed, at, hollow) = (p.seed, at.clone(), hollow.into());
            to.points.push(Point { role, what, unit, by, x, y, seed, at, hollow });
        };
        put("safety", "an older version acted on alone after a newer one", "s", Some(o.older_alone));
        put("safety", "switched keys of two versions acted on", "s", Some(o.mixed));
        if self.kind == Kind::Document {
            put("director", "control bytes", "B/s", Some(o.bytes));
            put("director", "control bytes in answers with a document", "B/s", Some(o.documents));
            return;
        }
        put("fleet", "part of the time in which directors may begin, mean", "of 1", mean(&o.begin_fractions));
        put("fleet", "part of the time in which directors may begin, worst director", "of 1", min_fraction);
        for (what, all) in [("known by all", &o.known_delays), ("in force everywhere", &o.in_force_delays)] {
            for (name, q) in [("median", 0.5), ("p99", 0.99), ("most", 1.0)] {
                put("fleet", &format!("{what}, {name}"), "s", quantile(all, q));
            }
        }
        put("fleet", "changes not in force by the end", "changes", Some(o.not_in_force as f64));
        put("fleet", "changes in force by the end", "changes", Some(o.in_force_delays.len() as f64));
        put("operator", "proposals", "proposals", Some(o.proposals as f64));
        put(
            "operator",
            "proposals lost to another",
            "of 1",
            Some(o.proposals_lost as f64 / o.proposals.max(1) as f64),
        );
        put(
            "operator",
            "proposals not taken then",
            "of 1",
            Some(o.proposals_not_taken as f64 / o.proposals.max(1) as f64),
        );
        put("operator", "changes given up", "changes", Some(o.given_up as f64));
        put("operator", "decided, median", "s", quantile(&o.decision_times, 0.5));
        put("operator", "decided, most", "s", quantile(&o.decision_times, 1.0));
        put(
            "director",
            &format!("control bytes, documents of {} B", p.document.max(100)),
            "B/s",
            Some(o.bytes),
        );
        put("director", "control messages", "1/s", Some(o.messages));
        put("voter", "questions", "1/s", Some(o.questions));
        if self.kind == Kind::Cut {
            put(
                "cut director",
                "part of the time in which it may begin, mean",
                "of 1",
                mean(&o.cut_begin_fractions),
            );
            put("cut director", "healed: may begin again, median", "s", quantile(&o.recovery_times, 0.5));
            put("cut director", "healed: may begin again, most", "s", quantile(&o.recovery_times, 1.0));
            let missing = p.directors.div_ceil(p.voters) - o.recovery_times.len();
            put("cut director", "healed: not beginning by the end", "directors", Some(missing as f64));
            put("cut director", "healed: bytes in 10 s", "B", Some(o.healing_bytes));
            put("director", "healed: bytes in 10 s", "B", Some(o.uncut_bytes));
        }
    }
}

/// Measures changes on real voters under hollow directors in this process, as a check of virtual time.
async fn on_processes(options: &Options, until: Instant, to: &mut Points) -> Result<()> {
    let (voters, directors, span) = (PROCESS_VOTERS, PROCESS_DIRECTORS, PROCESS_SPAN);
    let program = options.program.clone().map_or_else(std::env::current_exe, Ok)?;
    let contradiction = options.contradictions.first().copied().unwrap_or(2.0);
    for rate in PROCESS_RATES {
        let document = PROCESS_DOCUMENT;
        let span = span.min(options.span);
        let plan = SimulationPlan {
            seed: 1,
            directors,
            voters,
            contradiction,
            rate,
            span,
            document,
            ..SimulationPlan::default()
        };
        let run = Run { kind: Kind::Processes, plan: plan.clone() };
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let outcome = if left < 2.0 * span { Outcome::default() } else { on_process(plan, &program).await? };
        run.points(&outcome, to);
    }
    Ok(())
}

/// State that the operators of a run on processes share.
struct OperatorContext {
    voters: Voters,
    hollows: hollow::HollowDirectors,
    newest: Cell<u64>,
    out: RefCell<Outcome>,
    plan: SimulationPlan,
}

async fn on_process(plan: SimulationPlan, program: &Path) -> Result<Outcome> {
    let voters = Voters::start(program, plan.voters).await?;
    voters.agree_first(plan.document, plan.contradiction).await?;
    hollow::run_on_thread(move || async move {
        let spec = HollowSpec {
            fleet: FLEET.to_owned(),
            voters: voters.at.clone(),
            first: 0,
            directors: plan.directors,
            within: kelpdoor_agreement::lease_duration(plan.contradiction),
        };
        let hollows = hollow::start(spec);
        let start_deadline = Instant::now() + START_TIMEOUT;
        while hollows.stats().begin < plan.directors && Instant::now() < start_deadline {
            sleep(POLL_INTERVAL).await;
        }
        let out = RefCell::new(Outcome::default());
        let context = Rc::new(OperatorContext { voters, hollows, newest: Cell::new(1), out, plan });
        let plan = &context.plan;
        let from = context.hollows.now();
        let to = from + plan.span;
        context.hollows.with_tracker(|b| b.set_span(from, to));
        context.hollows.reset_stats();
        let mut rng = Rng::with_seed(plan.seed);
        let mut operators = JoinSet::new();
        let mut change = 0;
        loop {
            let wait = -(1.0 - rng.f64()).ln() / plan.rate;
            let left = to - context.hollows.now();
            sleep(Duration::from_secs_f64(wait.min(left).max(0.0))).await;
            if wait >= left {
                break;
            }
            change += 1;
            operators.spawn_local(operate(context.clone(), change));
        }
        let seen = context.hollows.stats();
        let measured = context.hollows.now() - from;
        let begin_fractions = context.hollows.with_tracker(|b| b.begin_fractions(to, |_| true));
        while operators.join_next().await.is_some() {}
        // Wait for the last change to be in force.
        let deadline = Instant::now() + Duration::from_secs_f64(2.0 * plan.contradiction + 2.0);
        let all_in_force =
            || context.hollows.with_tracker(|b| b.proposed_between(from, to).all(|v| v.force_at.is_some()));
        while !all_in_force() && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        let mut out = context.out.take();
        let n = plan.directors as f64;
        out.events = 1;
        (out.measured, out.begin_fractions) = (measured, begin_fractions);
        let bytes: u64 = seen.voters.iter().map(|v| v.bytes.0 + v.bytes.1).sum();
        let messages: u64 = seen.voters.iter().map(|v| v.messages.0 + v.messages.1).sum();
        let asked: u64 = seen.voters.iter().map(|v| v.asked).sum();
        (out.bytes, out.messages) = (bytes as f64 / n / seen.seconds, messages as f64 / n / seen.seconds);
        out.questions = asked as f64 / plan.voters as f64 / seen.seconds;
        out.refused = seen.refused;
        context.hollows.with_tracker(|b| out.versions(b, from, to));
        Ok(out)
    })
    .await
}

/// Proposes one change as the daemon's command does: to each voter in turn until one takes it.
async fn operate(context: Rc<OperatorContext>, change: u64) {
    let first = context.hollows.now();
    let text = context.voters.document(context.plan.document, context.plan.contradiction, change);
    let (mut after, mut id, mut at) = (context.newest.get(), fastrand::u64(..), 0);
    let mut why = String::new();
    for _ in 0..MAX_PROPOSALS {
        context.out.borrow_mut().proposals += 1;
        let response = async { Operator::to(context.voters.at[at]).await?.propose(after, id, &text).await };
        match response.await {
            Ok(VoterResponse::Agreed { number }) => {
                context.newest.set(context.newest.get().max(number));
                let now = context.hollows.now();
                context.out.borrow_mut().decision_times.push(now - first);
                context.hollows.with_tracker(|b| b.record_agreed(number, first, now));
                return;
            }
            Ok(VoterResponse::Lost { newest, .. }) => {
                context.out.borrow_mut().proposals_lost += 1;
                context.newest.set(context.newest.get().max(newest));
                (after, id, at) = (newest, fastrand::u64(..), 0);
            }
            other => {
                context.out.borrow_mut().proposals_not_taken += 1;
                why = match other {
                    Ok(response) => format!("{response:?}"),
                    Err(e) => format!("{e:#}"),
                };
                at = (at + 1) % context.plan.voters;
                if at == 0 {
                    sleep(POLL_INTERVAL.mul_f64(1.0 + fastrand::f64())).await;
                }
            }
        }
    }
    let mut out = context.out.borrow_mut();
    out.given_up += 1;
    out.why_given_up = why;
}
