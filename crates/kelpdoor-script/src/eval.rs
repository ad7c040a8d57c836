//! Runs a script and collects its calls.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value as Json};
use starlark::analysis::AstModuleLint;
use starlark::any::ProvidesStaticType;
use starlark::codemap::FileSpanRef;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::{BeforeStmtFunc, BeforeStmtFuncDyn, Evaluator};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;
use starlark::values::tuple::UnpackTuple;
use starlark_map::small_map::SmallMap;

/// Bytes of a script at most.
const MAX_TEXT: usize = 1 << 18;
/// Steps of evaluation at most; some ms of work.
const MAX_TICKS: u64 = 500_000;
/// Bytes of its heap at most.
const MAX_HEAP: usize = 32 << 20;
/// Calls of words at most.
const MAX_CALLS: usize = 10_000;

/// Where in a script, both from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourcePosition {
    pub line: usize,
    pub column: usize,
}

/// What is wrong with a script, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    pub file: String,
    pub pos: SourcePosition,
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.pos.line, self.pos.column, self.message)
    }
}

/// A word called by a script. An argument without a name stands under `name`.
#[derive(Clone, Debug)]
pub struct Call {
    pub builtin: String,
    pub pos: SourcePosition,
    pub args: Map<String, Json>,
}

impl Call {
    /// The call's arguments as a type.
    ///
    /// # Errors
    /// What serde finds wrong, with the word before it.
    pub fn parse_args<T: DeserializeOwned>(&self, file: &str) -> Result<T, SettingsError> {
        serde_json::from_value(Json::Object(self.args.clone()))
            .map_err(|e| self.error(file, format!("{}: {e}", self.builtin)))
    }

    pub fn error(&self, file: &str, message: impl Into<String>) -> SettingsError {
        SettingsError { file: file.to_owned(), pos: self.pos, message: message.into() }
    }
}

#[derive(Default, ProvidesStaticType)]
struct Calls(RefCell<Vec<Call>>);

fn put<'v>(
    word: &str, args: &UnpackTuple<Value<'v>>, named: &SmallMap<String, Value<'v>>,
    eval: &Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let calls = eval.extra.and_then(|e| e.downcast_ref::<Calls>());
    let calls = calls.ok_or_else(|| anyhow::anyhow!("no place for calls"))?;
    anyhow::ensure!(args.items.len() <= 1, "{word}: one argument without a name at most, its name");
    anyhow::ensure!(calls.0.borrow().len() < MAX_CALLS, "more than {MAX_CALLS} calls");
    let mut all = Map::new();
    if let Some(name) = args.items.first() {
        all.insert("name".into(), name.to_json_value()?);
    }
    for (name, value) in named {
        all.insert(name.clone(), value.to_json_value()?);
    }
    let pos = eval.call_stack_top_location().map(|l| l.resolve_span().begin);
    let pos =
        pos.map_or(SourcePosition::default(), |b| SourcePosition { line: b.line + 1, column: b.column + 1 });
    calls.0.borrow_mut().push(Call { builtin: word.to_owned(), pos, args: all });
    Ok(NoneType)
}

macro_rules! words {
    ($($name:ident)*) => {
        #[starlark_module]
        fn words(builder: &mut GlobalsBuilder) {
            $(fn $name<'v>(
                #[starlark(args)] args: UnpackTuple<Value<'v>>,
                #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
                eval: &mut Evaluator<'v, '_, '_>,
            ) -> anyhow::Result<NoneType> {
                put(stringify!($name), &args, &named, eval)
            })*
        }
        const KNOWN: &[&str] = &[$(stringify!($name)),*];
    };
}

words!(ladder group fleet director further roster players node_links tokens keeper school directors agreement voter voters node title
    day crash vanish slow neighbour rack_sag ageing deploy discovery_stale report_late balancer_roll
    balancer_stall zone_loss hot_key preempt drain keeper_roll keeper_stall new_key cut late
    trickle line_reset voter_roll voter_stall voter_disk voter_full propose voter_list wall_step
    target budget faults assume);

fn place(span: &starlark::codemap::ResolvedSpan) -> SourcePosition {
    SourcePosition { line: span.begin.line + 1, column: span.begin.column + 1 }
}

/// Looks at the heap before each statement.
struct HeapWatch;

impl<'e> BeforeStmtFuncDyn<'e> for HeapWatch {
    fn call<'v>(
        &mut self, _: FileSpanRef, _: bool, eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        if eval.heap().allocated_bytes() > MAX_HEAP {
            let why = anyhow::anyhow!("more than {MAX_HEAP} bytes of memory are used");
            return Err(starlark::Error::new_other(why));
        }
        Ok(())
    }
}

/// Runs a script that may use the given words.
///
/// # Errors
/// Each name that is not known, or else the first fault that evaluation comes upon.
pub fn evaluate(file: &str, text: &str, allowed: &[&str]) -> Result<Vec<Call>, Vec<SettingsError>> {
    let fault = |pos: SourcePosition, message: String| SettingsError { file: file.to_owned(), pos, message };
    if text.len() > MAX_TEXT {
        return Err(vec![fault(
            SourcePosition::default(),
            format!("{} bytes, {MAX_TEXT} at most", text.len()),
        )]);
    }
    let of = |e: starlark::Error| {
        let pos = e.span().map_or(SourcePosition::default(), |s| place(&s.resolve_span()));
        vec![fault(pos, format!("{}", e.without_diagnostic()))]
    };
    let dialect = Dialect { enable_f_strings: true, ..Dialect::Standard };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(of)?;
    let globals: Globals = GlobalsBuilder::standard().with(words).build();
    let foreign = |name: &str| KNOWN.contains(&name) && !allowed.contains(&name);
    let names: HashSet<String> =
        globals.names().map(|n| n.as_str().to_owned()).filter(|n| !foreign(n)).collect();
    let unknown: Vec<SettingsError> = ast
        .lint(Some(&names))
        .into_iter()
        .filter(|l| l.short_name == "using-undefined")
        .map(|l| fault(place(&l.location.resolve_span()), l.problem))
        .collect();
    if !unknown.is_empty() {
        return Err(unknown);
    }
    let calls = Calls::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&calls);
        eval.set_max_tick_count(MAX_TICKS)?;
        eval.set_max_heap_size(MAX_HEAP)?;
        // The heap limit above is looked at now and then only; a string may double in every statement.
        eval.before_stmt_for_dap(BeforeStmtFunc::from_dyn(Box::new(HeapWatch)));
        eval.eval_module(ast, &globals)?;
        starlark::Result::Ok(())
    })
    .map_err(of)?;
    Ok(calls.0.into_inner())
}

/// Runs a file's script.
///
/// # Errors
/// As [`evaluate`], and where the file cannot be read.
pub fn evaluate_file(path: &std::path::Path, allowed: &[&str]) -> Result<Vec<Call>, Vec<SettingsError>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![SettingsError { file: file.clone(), pos: SourcePosition::default(), message: e.to_string() }]
    })?;
    evaluate(&file, &text, allowed)
}
