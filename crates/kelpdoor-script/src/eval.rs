//! Evaluates a script and collects its calls of builtins.

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

/// Maximum size of a script in bytes.
const MAX_SCRIPT_BYTES: usize = 1 << 18;
/// Maximum number of evaluation steps, a few milliseconds of work.
const MAX_TICKS: u64 = 500_000;
/// Maximum size of a script's heap in bytes.
const MAX_HEAP_BYTES: usize = 32 << 20;
/// Maximum number of calls of builtins in a script.
const MAX_CALLS: usize = 10_000;

/// Position in a script. Lines and columns count from 1; 0 means the script as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourcePosition {
    pub line: usize,
    pub column: usize,
}

/// An error in a script, with its position.
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

/// A call of a builtin in a script. A positional argument is stored under `name`.
#[derive(Clone, Debug)]
pub struct Call {
    pub builtin: String,
    pub pos: SourcePosition,
    pub args: Map<String, Json>,
}

impl Call {
    /// Deserializes the call's arguments.
    ///
    /// # Errors
    /// Serde's error, prefixed with the name of the builtin.
    pub fn parse_args<T: DeserializeOwned>(&self, file: &str) -> Result<T, SettingsError> {
        serde_json::from_value(Json::Object(self.args.clone()))
            .map_err(|e| self.error(file, format!("{}: {e}", self.builtin)))
    }

    /// An error at the position of this call.
    pub fn error(&self, file: &str, message: impl Into<String>) -> SettingsError {
        SettingsError { file: file.to_owned(), pos: self.pos, message: message.into() }
    }
}

/// Calls recorded during evaluation.
#[derive(Default, ProvidesStaticType)]
struct Calls(RefCell<Vec<Call>>);

/// Records a call of a builtin.
fn record_call<'v>(
    builtin: &str, args: &UnpackTuple<Value<'v>>, kwargs: &SmallMap<String, Value<'v>>,
    eval: &Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let calls = eval.extra.and_then(|e| e.downcast_ref::<Calls>());
    let calls = calls.ok_or_else(|| anyhow::anyhow!("the evaluator has no store for calls"))?;
    anyhow::ensure!(args.items.len() <= 1, "{builtin}: at most one positional argument is allowed, the name");
    anyhow::ensure!(calls.0.borrow().len() < MAX_CALLS, "more than {MAX_CALLS} calls");
    let mut all = Map::new();
    if let Some(name) = args.items.first() {
        all.insert("name".into(), name.to_json_value()?);
    }
    for (name, value) in kwargs {
        all.insert(name.clone(), value.to_json_value()?);
    }
    let pos = eval.call_stack_top_location().map(|l| l.resolve_span().begin);
    let pos =
        pos.map_or(SourcePosition::default(), |b| SourcePosition { line: b.line + 1, column: b.column + 1 });
    calls.0.borrow_mut().push(Call { builtin: builtin.to_owned(), pos, args: all });
    Ok(NoneType)
}

macro_rules! builtins {
    ($($name:ident)*) => {
        #[starlark_module]
        fn builtins(builder: &mut GlobalsBuilder) {
            $(fn $name<'v>(
                #[starlark(args)] args: UnpackTuple<Value<'v>>,
                #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
                eval: &mut Evaluator<'v, '_, '_>,
            ) -> anyhow::Result<NoneType> {
                record_call(stringify!($name), &args, &kwargs, eval)
            })*
        }
        /// The builtins of all kinds of scripts.
        const ALL_BUILTINS: &[&str] = &[$(stringify!($name)),*];
    };
}

builtins!(ladder group fleet director further roster players node_links tokens keeper school directors agreement voter voters node title
    day crash vanish slow neighbour rack_sag ageing deploy discovery_stale report_late balancer_roll
    balancer_stall zone_loss hot_key preempt drain keeper_roll keeper_stall new_key cut late
    trickle line_reset voter_roll voter_stall voter_disk voter_full propose voter_list wall_step
    target budget faults assume);

fn source_position(span: &starlark::codemap::ResolvedSpan) -> SourcePosition {
    SourcePosition { line: span.begin.line + 1, column: span.begin.column + 1 }
}

/// Checks the size of the heap before each statement.
struct HeapLimit;

impl<'e> BeforeStmtFuncDyn<'e> for HeapLimit {
    fn call<'v>(
        &mut self, _: FileSpanRef, _: bool, eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        if eval.heap().allocated_bytes() > MAX_HEAP_BYTES {
            let error = anyhow::anyhow!("the script uses more than {MAX_HEAP_BYTES} bytes of memory");
            return Err(starlark::Error::new_other(error));
        }
        Ok(())
    }
}

/// Evaluates a script that may call the given builtins, and returns its calls in order.
///
/// # Errors
/// All undefined names, or else the first error of parsing or evaluation.
pub fn evaluate(file: &str, text: &str, allowed: &[&str]) -> Result<Vec<Call>, Vec<SettingsError>> {
    let error = |pos: SourcePosition, message: String| SettingsError { file: file.to_owned(), pos, message };
    if text.len() > MAX_SCRIPT_BYTES {
        return Err(vec![error(
            SourcePosition::default(),
            format!("script of {} bytes exceeds the limit of {MAX_SCRIPT_BYTES}", text.len()),
        )]);
    }
    let to_errors = |e: starlark::Error| {
        let pos = e.span().map_or(SourcePosition::default(), |s| source_position(&s.resolve_span()));
        vec![error(pos, format!("{}", e.without_diagnostic()))]
    };
    let dialect = Dialect { enable_f_strings: true, ..Dialect::Standard };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(to_errors)?;
    let globals: Globals = GlobalsBuilder::standard().with(builtins).build();
    let disallowed = |name: &str| ALL_BUILTINS.contains(&name) && !allowed.contains(&name);
    let names: HashSet<String> =
        globals.names().map(|n| n.as_str().to_owned()).filter(|n| !disallowed(n)).collect();
    let unknown: Vec<SettingsError> = ast
        .lint(Some(&names))
        .into_iter()
        .filter(|l| l.short_name == "using-undefined")
        .map(|l| error(source_position(&l.location.resolve_span()), l.problem))
        .collect();
    if !unknown.is_empty() {
        return Err(unknown);
    }
    let calls = Calls::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&calls);
        eval.set_max_tick_count(MAX_TICKS)?;
        eval.set_max_heap_size(MAX_HEAP_BYTES)?;
        // Starlark checks the heap limit above only from time to time, but a string may double in every statement.
        eval.before_stmt_for_dap(BeforeStmtFunc::from_dyn(Box::new(HeapLimit)));
        eval.eval_module(ast, &globals)?;
        starlark::Result::Ok(())
    })
    .map_err(to_errors)?;
    Ok(calls.0.into_inner())
}

/// Evaluates the script in a file.
///
/// # Errors
/// Like [`evaluate`], and if the file cannot be read.
pub fn evaluate_file(path: &std::path::Path, allowed: &[&str]) -> Result<Vec<Call>, Vec<SettingsError>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![SettingsError { file: file.clone(), pos: SourcePosition::default(), message: e.to_string() }]
    })?;
    evaluate(&file, &text, allowed)
}
