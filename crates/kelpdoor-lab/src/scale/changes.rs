//! Changes of the rules at a rate: how much of the time directors may begin sessions, how fast a change is in force, what it
//! costs on the wire. In virtual time with the very cores, and on processes at small size.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use clap::Args;

use super::Scale;
use super::points::{Point, Points};
use super::simulate::{Outcome, Plan, simulate};
use super::voters::{bar, write};

/// Voters in virtual time: one in each region of the target.
const VOTERS: usize = 5;
/// Directors where documents of each size are told, and changes a second and s of that: bytes do not go with their number.
const TOLD: (usize, f64, f64) = (10, 0.58, 30.0);
/// Directors and s of a region that is cut off; a fifth of them are in it.
const CUT: (usize, f64) = (50, 3600.0);
/// Changes of a burst, and s in which they are to be in force.
const BURST: (u32, f64) = (50, 30.0);
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
    if !of.no_virtual {
        let (plans, at_once) = (plans(all, of), of.at_once);
        let done = tokio::task::spawn_blocking(move || play(plans, at_once, until)).await?;
        done.into_iter().for_each(|(cell, o)| cell.points(&o, &mut points));
    }
    write(of.points.as_deref(), &points)?;
    Ok(points)
}

/// What of an outcome becomes points.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Rate,
    Burst,
    Document,
    Cut,
}

/// One run, and what it is for.
#[derive(Clone, Debug)]
pub struct Cell {
    kind: Kind,
    plan: Plan,
}

/// s of virtual time of so many directors that come to that many questions at most.
fn span(of: &Options, directors: usize, contradiction: f64) -> f64 {
    // Four in each lease to each voter.
    let rate = directors as f64 * VOTERS as f64 * 4.0 / kelpdoor_agreement::lease_of(contradiction);
    of.span.min((of.questions / rate).max(1.0)).round()
}

/// All runs, those first that matter most: short of time the last are left out.
fn plans(all: &Scale, of: &Options) -> Vec<Cell> {
    let plan = Plan {
        seed: 0,
        directors: 0,
        voters: VOTERS,
        contradiction: 0.0,
        rate: 0.0,
        span: 0.0,
        document: 0,
        burst: 0,
        cut: false,
    };
    let mut cells = Vec::new();
    let least = all.sizes.iter().copied().min().unwrap_or(0);
    for seed in 1..=all.seeds {
        for &contradiction in &of.contradictions {
            let plan = Plan { seed, contradiction, ..plan.clone() };
            // The spread of seeds is taken where it is cheap; what grows with directors is seen of one.
            for &directors in all.sizes.iter().filter(|d| seed == 1 || **d == least) {
                let span = span(of, directors, contradiction);
                let (burst, within) = BURST;
                let of_burst = Plan { directors, burst, span: within, ..plan.clone() };
                cells.push(Cell { kind: Kind::Burst, plan: of_burst });
                let at = |rate: &f64| Plan { directors, rate: *rate, span, ..plan.clone() };
                cells.extend(of.rates.iter().map(at).map(|plan| Cell { kind: Kind::Rate, plan }));
            }
            let (directors, rate, span) = TOLD;
            let told = |document: &usize| Plan { directors, rate, span, document: *document, ..plan.clone() };
            cells.extend(of.documents.iter().map(told).map(|plan| Cell { kind: Kind::Document, plan }));
            let (directors, span) = CUT;
            cells.push(Cell { kind: Kind::Cut, plan: Plan { directors, rate, span, cut: true, ..plan } });
        }
    }
    cells
}

/// Plays all, some at a time; what could be played until then.
fn play(cells: Vec<Cell>, at_once: usize, until: Instant) -> Vec<(Cell, Outcome)> {
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
    let order = |c: &Cell| (c.plan.contradiction, c.plan.directors as f64, c.plan.rate, c.plan.seed as f64);
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

impl Cell {
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
        let least_part = least(&o.parts);
        let (by, x, at) = match self.kind {
            Kind::Rate => ("changes/s", p.rate, format!("{} directors", p.directors)),
            Kind::Burst => ("directors", p.directors as f64, format!("burst of {}", p.burst)),
            Kind::Document => ("document bytes", p.document as f64, format!("{} changes/s", p.rate)),
            Kind::Cut => ("directors", p.directors as f64, format!("a region cut off, {} changes/s", p.rate)),
        };
        let at = format!("{} voters, {at}, contradiction {} s, {:.0} s", p.voters, p.contradiction, p.span);
        let mut put = |role: &str, what: &str, unit: &str, y: Option<f64>| {
            let Some(y) = y else { return };
            let (role, what, unit, by) = (role.into(), what.into(), unit.into(), by.into());
            let (seed, at, hollow) = (p.seed, at.clone(), VIRTUAL.into());
            to.points.push(Point { role, what, unit, by, x, y, seed, at, hollow });
        };
        put("safety", "an older version acted on alone after a newer one", "s", Some(o.older_alone));
        put("safety", "switched keys of two versions acted on", "s", Some(o.mixed));
        if self.kind == Kind::Document {
            put("director", "control bytes", "B/s", Some(o.bytes));
            put("director", "control bytes in answers with a document", "B/s", Some(o.documents));
            return;
        }
        put("fleet", "part of the time in which directors may begin, mean", "of 1", mean(&o.parts));
        put("fleet", "part of the time in which directors may begin, worst director", "of 1", least_part);
        for (what, all) in [("known by all", &o.known), ("in force everywhere", &o.force)] {
            for (name, q) in [("median", 0.5), ("p99", 0.99), ("most", 1.0)] {
                put("fleet", &format!("{what}, {name}"), "s", quantile(all, q));
            }
        }
        put("fleet", "changes not in force by the end", "changes", Some(o.never as f64));
        put("fleet", "changes in force by the end", "changes", Some(o.force.len() as f64));
        put("operator", "proposals", "proposals", Some(o.proposals as f64));
        put("operator", "proposals lost to another", "of 1", Some(o.lost as f64 / o.proposals.max(1) as f64));
        put("operator", "proposals not taken then", "of 1", Some(o.busy as f64 / o.proposals.max(1) as f64));
        put("operator", "changes given up", "changes", Some(o.given_up as f64));
        put("operator", "decided, median", "s", quantile(&o.decided, 0.5));
        put("operator", "decided, most", "s", quantile(&o.decided, 1.0));
        put("director", "control bytes, documents of 100 B", "B/s", Some(o.bytes));
        put("director", "control messages", "1/s", Some(o.words));
        put("voter", "questions", "1/s", Some(o.questions));
        if self.kind == Kind::Cut {
            put("cut director", "part of the time in which it may begin, mean", "of 1", mean(&o.cut));
            put("cut director", "healed: may begin again, median", "s", quantile(&o.again, 0.5));
            put("cut director", "healed: may begin again, most", "s", quantile(&o.again, 1.0));
            let missing = p.directors.div_ceil(p.voters) - o.again.len();
            put("cut director", "healed: not beginning by the end", "directors", Some(missing as f64));
            put("cut director", "healed: bytes in 10 s", "B", Some(o.healing));
            put("director", "healed: bytes in 10 s", "B", Some(o.beside));
        }
    }
}
