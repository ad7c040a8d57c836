//! Changes of the rules at a rate: how much of the time directors may begin sessions, how fast a change is in force, what it
//! costs on the wire. In virtual time with the very cores, and on processes at small size.

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
use super::voters::{FLEET, HOLLOW, Operator, Voters, bar, write};

/// Voters in virtual time: one in each region of the target.
const VOTERS: usize = 5;
/// Directors where documents of each size are told, and changes a second and s of that: bytes do not go with their number.
const TOLD: (usize, f64, f64) = (10, 0.58, 30.0);
/// Directors and s of a region that is cut off; a fifth of them are in it.
const CUT: (usize, f64) = (50, 3600.0);
/// Changes of a burst, and s in which they are to be in force.
const BURST: (u32, f64) = (50, 30.0);
/// Leases over which a director's loop is timed.
const COST: f64 = 10.0;
/// On processes: voters, hollow directors, s measured, changes a second, and bytes of the document.
const PROCESSES: (usize, usize, f64) = (3, 40, 30.0);
const PROCESS_RATES: [f64; 2] = [0.58, 5.8];
const PROCESS_DOCUMENT: usize = 2000;
/// All hollow directors have a lease by then; what comes about is looked for so often.
const COME: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(50);
/// Times that an operator proposes one change; then it is given up.
const TRIES: u32 = 60;
/// Questions of one simulation at most: ten minutes of 300 directors that ask five voters for leases of 1 s.
const QUESTIONS: f64 = 3.6e6;
/// What virtual time leaves out.
const VIRTUAL: &str = "virtual time, the very cores; no connections, no desk, a document's first line read";

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Changes a second.
    #[arg(long, value_delimiter = ',', default_values_t = [0.1, 0.58, 2.0, 5.8])]
    pub rates: Vec<f64>,
    /// s; longest contradictions that documents state.
    #[arg(long, value_delimiter = ',', default_values_t = [2.0, 10.0])]
    pub contradictions: Vec<f64>,
    /// Bytes of documents.
    #[arg(long, value_delimiter = ',', default_values_t = [2_000, 20_000, 200_000])]
    pub documents: Vec<usize>,
    /// s of virtual time for each rate.
    #[arg(long, default_value_t = 600.0)]
    pub span: f64,
    /// Questions of directors simulated for one figure at most: the span is shortened to that where directors are many.
    #[arg(long, default_value_t = QUESTIONS)]
    pub questions: f64,
    /// Simulated at a time.
    #[arg(long, default_value_t = 4)]
    pub at_once: usize,
    /// s; cut off after that, too.
    #[arg(long, default_value_t = 330.0)]
    pub most: f64,
    /// The points alone are written there, as JSON.
    #[arg(long)]
    pub points: Option<PathBuf>,
    /// What is run as voters; this program where absent.
    #[arg(long, hide = true)]
    pub program: Option<PathBuf>,
    /// Leave out what is measured on processes.
    #[arg(long)]
    pub no_processes: bool,
    /// Leave out what is measured in virtual time.
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
            questions: QUESTIONS,
            at_once: 4,
            most: 330.0,
            points: None,
            program: None,
            no_processes: false,
            no_virtual: false,
        }
    }
}

/// # Errors
/// What could not be measured.
pub async fn measure(all: &Scale, of: &Options) -> Result<Points> {
    ensure!(of.rates.iter().all(|r| *r > 0.0 && *r <= 50.0), "--rates: above 0 to 50 changes a second");
    ensure!(of.contradictions.iter().all(|c| (0.5..=60.0).contains(c)), "--contradictions: 0.5 to 60 s");
    ensure!(of.documents.iter().all(|b| *b <= 250_000), "--documents: 250,000 bytes at most");
    ensure!((1.0..=86_400.0).contains(&of.span), "--span: 1 s to a day");
    let until = Instant::now() + Duration::from_secs_f64(all.within.min(of.most).clamp(0.0, 1e6));
    let mut points = Points::default();
    if !of.no_processes {
        on_processes(of, until, &mut points).await?;
    }
    if !of.no_virtual {
        let (plans, at_once) = (plans(all, of), of.at_once);
        let done = tokio::task::spawn_blocking(move || play(plans, at_once, until)).await?;
        done.into_iter().for_each(|(cell, o)| cell.points(&o, &mut points));
        costs(all, of, &mut points);
    }
    write(of.points.as_deref(), &points)?;
    Ok(points)
}

/// What a director's loop costs, by the size of the document.
fn costs(all: &Scale, of: &Options, to: &mut Points) {
    for &contradiction in &of.contradictions {
        for (seed, &document) in (1..=all.seeds).flat_map(|s| of.documents.iter().map(move |d| (s, d))) {
            let lease = kelpdoor_agreement::lease_duration(contradiction);
            to.points.push(Point {
                role: "director".into(),
                what: "processor time of following, steady".into(),
                unit: "core".into(),
                by: "document bytes".into(),
                x: document as f64,
                y: director_loop_cost(VOTERS, contradiction, document, COST * lease),
                seed,
                at: format!("{VOTERS} voters, contradiction {contradiction} s"),
                hollow: "a director's loop alone: no reading, no connections, no JSON".into(),
            });
        }
    }
}

/// What of an outcome becomes points.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Rate,
    Burst,
    Document,
    Cut,
    Processes,
}

/// One run, and what it is for.
#[derive(Clone, Debug)]
struct Run {
    kind: Kind,
    plan: SimulationPlan,
}

/// s of virtual time of so many directors that come to that many questions at most.
fn span(of: &Options, directors: usize, contradiction: f64) -> f64 {
    // Four in each lease to each voter.
    let rate = directors as f64 * VOTERS as f64 * 4.0 / kelpdoor_agreement::lease_duration(contradiction);
    of.span.min((of.questions / rate).max(1.0)).round()
}

/// All runs, those first that matter most: short of time the last are left out.
fn plans(all: &Scale, of: &Options) -> Vec<Run> {
    let plan = SimulationPlan { voters: VOTERS, ..SimulationPlan::default() };
    let mut cells = Vec::new();
    let least = all.sizes.iter().copied().min().unwrap_or(0);
    for seed in 1..=all.seeds {
        for &contradiction in &of.contradictions {
            let plan = SimulationPlan { seed, contradiction, ..plan.clone() };
            // The spread of seeds is taken where it is cheap; what grows with directors is seen of one.
            for &directors in all.sizes.iter().filter(|d| seed == 1 || **d == least) {
                let span = span(of, directors, contradiction);
                let (burst, within) = BURST;
                let of_burst = SimulationPlan { directors, burst, span: within, ..plan.clone() };
                cells.push(Run { kind: Kind::Burst, plan: of_burst });
                let at = |rate: &f64| SimulationPlan { directors, rate: *rate, span, ..plan.clone() };
                cells.extend(of.rates.iter().map(at).map(|plan| Run { kind: Kind::Rate, plan }));
            }
            let (directors, rate, span) = TOLD;
            let told = |document: &usize| SimulationPlan {
                directors,
                rate,
                span,
                document: *document,
                ..plan.clone()
            };
            cells.extend(of.documents.iter().map(told).map(|plan| Run { kind: Kind::Document, plan }));
            let (directors, span) = CUT;
            cells.push(Run {
                kind: Kind::Cut,
                plan: SimulationPlan { directors, rate, span, cut: true, ..plan },
            });
        }
    }
    cells
}

/// Plays all, some at a time; what could be played until then.
fn play(cells: Vec<Run>, at_once: usize, until: Instant) -> Vec<(Run, Outcome)> {
    let bar = bar(cells.len() as u64, "simulations");
    let next = AtomicUsize::new(0);
    let done = Arc::new(Mutex::new(Vec::new()));
    std::thread::scope(|s| {
        for _ in 0..at_once.clamp(1, 64) {
            s.spawn(|| {
                while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = if Instant::now() < until {
                        simulate(&cell.plan, until)
                    } else {
                        Outcome { cut_short: true, ..Outcome::default() }
                    };
                    bar.inc(1);
                    if let Ok(mut done) = done.lock() {
                        done.push((cell.clone(), outcome));
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

/// Of sorted values; none: nothing to tell.
pub fn quantile(of: &[f64], q: f64) -> Option<f64> {
    of.get((q * of.len().saturating_sub(1) as f64).round() as usize).copied()
}

fn mean(of: &[f64]) -> Option<f64> {
    (!of.is_empty()).then(|| of.iter().sum::<f64>() / of.len() as f64)
}

fn least(of: &[f64]) -> Option<f64> {
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
        let least_part = least(&o.begin_fractions);
        let (by, x, at) = match self.kind {
            Kind::Rate => ("changes/s", p.rate, format!("{} directors", p.directors)),
            Kind::Burst => ("directors", p.directors as f64, format!("burst of {}", p.burst)),
            Kind::Document => ("document bytes", p.document as f64, format!("{} changes/s", p.rate)),
            Kind::Processes => ("changes/s", p.rate, format!("{} directors, on processes", p.directors)),
            Kind::Cut => ("directors", p.directors as f64, format!("a region cut off, {} changes/s", p.rate)),
        };
        let at = format!("{} voters, {at}, contradiction {} s, {:.0} s", p.voters, p.contradiction, p.span);
        let hollow = if self.kind == Kind::Processes { HOLLOW } else { VIRTUAL };
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
        put("fleet", "part of the time in which directors may begin, worst director", "of 1", least_part);
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

/// Changes on real voters under hollow directors of this process: the check of virtual time.
async fn on_processes(of: &Options, until: Instant, to: &mut Points) -> Result<()> {
    let (voters, directors, span) = PROCESSES;
    let program = of.program.clone().map_or_else(std::env::current_exe, Ok)?;
    let contradiction = of.contradictions.first().copied().unwrap_or(2.0);
    for rate in PROCESS_RATES {
        let document = PROCESS_DOCUMENT;
        let span = span.min(of.span);
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
        let cell = Run { kind: Kind::Processes, plan: plan.clone() };
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let outcome = if left < 2.0 * span { Outcome::default() } else { on_process(plan, &program).await? };
        cell.points(&outcome, to);
    }
    Ok(())
}

/// What operators know of each other's proposals, and what came of them.
struct Desk {
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
        let come = Instant::now() + COME;
        while hollows.stats().begin < plan.directors && Instant::now() < come {
            sleep(LOOK).await;
        }
        let out = RefCell::new(Outcome::default());
        let desk = Rc::new(Desk { voters, hollows, newest: Cell::new(1), out, plan });
        let plan = &desk.plan;
        let from = desk.hollows.now();
        let to = from + plan.span;
        desk.hollows.with_tracker(|b| b.set_span(from, to));
        desk.hollows.reset_stats();
        let mut rng = Rng::with_seed(plan.seed);
        let mut operators = JoinSet::new();
        let mut change = 0;
        loop {
            let wait = -(1.0 - rng.f64()).ln() / plan.rate;
            let left = to - desk.hollows.now();
            sleep(Duration::from_secs_f64(wait.min(left).max(0.0))).await;
            if wait >= left {
                break;
            }
            change += 1;
            operators.spawn_local(operate(desk.clone(), change));
        }
        let seen = desk.hollows.stats();
        let measured = desk.hollows.now() - from;
        let parts = desk.hollows.with_tracker(|b| b.begin_fractions(to, |_| true));
        while operators.join_next().await.is_some() {}
        // The last change comes to be in force.
        let calm = Instant::now() + Duration::from_secs_f64(2.0 * plan.contradiction + 2.0);
        let all_in_force =
            || desk.hollows.with_tracker(|b| b.proposed_between(from, to).all(|v| v.force_at.is_some()));
        while !all_in_force() && Instant::now() < calm {
            sleep(LOOK).await;
        }
        let mut out = desk.out.take();
        let n = plan.directors as f64;
        out.events = 1;
        (out.measured, out.begin_fractions) = (measured, parts);
        let bytes: u64 = seen.voters.iter().map(|v| v.bytes.0 + v.bytes.1).sum();
        let words: u64 = seen.voters.iter().map(|v| v.words.0 + v.words.1).sum();
        let asked: u64 = seen.voters.iter().map(|v| v.asked).sum();
        (out.bytes, out.messages) = (bytes as f64 / n / seen.seconds, words as f64 / n / seen.seconds);
        out.questions = asked as f64 / plan.voters as f64 / seen.seconds;
        out.refused = seen.refused;
        desk.hollows.with_tracker(|b| out.versions(b, from, to));
        Ok(out)
    })
    .await
}

/// An operator with one change, as the daemon's own command proposes it: to each voter in turn until one takes it.
async fn operate(desk: Rc<Desk>, change: u64) {
    let first = desk.hollows.now();
    let text = desk.voters.document(desk.plan.document, desk.plan.contradiction, change);
    let (mut after, mut id, mut at) = (desk.newest.get(), fastrand::u64(..), 0);
    let mut why = String::new();
    for _ in 0..TRIES {
        desk.out.borrow_mut().proposals += 1;
        let told = async { Operator::to(desk.voters.at[at]).await?.propose(after, id, &text).await };
        match told.await {
            Ok(VoterResponse::Agreed { number }) => {
                desk.newest.set(desk.newest.get().max(number));
                let now = desk.hollows.now();
                desk.out.borrow_mut().decision_times.push(now - first);
                desk.hollows.with_tracker(|b| b.record_agreed(number, first, now));
                return;
            }
            Ok(VoterResponse::Lost { newest, .. }) => {
                desk.out.borrow_mut().proposals_lost += 1;
                desk.newest.set(desk.newest.get().max(newest));
                (after, id, at) = (newest, fastrand::u64(..), 0);
            }
            other => {
                desk.out.borrow_mut().proposals_not_taken += 1;
                why = match other {
                    Ok(tell) => format!("{tell:?}"),
                    Err(e) => format!("{e:#}"),
                };
                at = (at + 1) % desk.plan.voters;
                if at == 0 {
                    sleep(LOOK.mul_f64(1.0 + fastrand::f64())).await;
                }
            }
        }
    }
    let mut out = desk.out.borrow_mut();
    out.given_up += 1;
    out.why_given_up = why;
}
