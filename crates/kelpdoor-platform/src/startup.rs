//! What a director is told at its start: three variables, and a file of JSON that says all of it and more.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use kelpdoor::Terms;
use kelpdoor_terms::{ReportFields, SettingsNames};
use serde_json::Value;

use crate::changes::{FleetChange, parse_known_events};

/// MB; less does not hold the program and its bounds.
const LEAST_MEMORY: u64 = 16;
/// Descriptors below this leave no room for viewers beside nodes, the change log and the process's own.
const LEAST_SOCKETS: u64 = 64;

/// Why the start is not possible: the variable or key, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupError(pub String);

impl std::fmt::Display for StartupError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartupError {}

fn fault<T>(what: impl Into<String>) -> Result<T, StartupError> {
    Err(StartupError(what.into()))
}

pub struct StartupConfig {
    pub config_path: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_sockets: usize,
    /// Bytes that the process may use.
    pub max_memory: usize,
    pub changelog: SocketAddr,
    /// Events told before the start, in their order.
    pub known_changes: Vec<FleetChange>,
    /// Number of the last of them.
    pub last_known_change: u64,
    pub terms: Terms,
    pub report_fields: ReportFields,
    pub names: SettingsNames,
}

fn address(value: &Value, key: &str) -> Result<SocketAddr, StartupError> {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    text.parse().or_else(|_| fault(format!("{key}: {text:?} is no address and port")))
}

fn file(path: &Path) -> Result<Value, StartupError> {
    let at = |e: String| StartupError(format!("PROXY_CONFIG: {}: {e}", path.display()));
    let text = std::fs::read(path).map_err(|e| at(e.to_string()))?;
    let root: Value = serde_json::from_slice(&text).map_err(|e| at(e.to_string()))?;
    if root.is_object() { Ok(root) } else { Err(at("not a JSON object".into())) }
}

impl StartupConfig {
    /// Reads the variables, through `variable`, and the file that they name.
    ///
    /// # Errors
    /// Names the variable or key at fault.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, StartupError> {
        let Some(path) = variable("PROXY_CONFIG") else { return fault("PROXY_CONFIG: not set") };
        let path = PathBuf::from(path);
        let root = file(&path)?;
        let listen = match variable("PROXY_LISTEN") {
            Some(text) => address(&Value::String(text), "PROXY_LISTEN")?,
            None => address(&root["listen"], "listen")?,
        };
        let name = variable("PROXY_NAME").or_else(|| root["name"].as_str().map(str::to_owned));
        let Some(name) = name.filter(|n| !n.is_empty()) else {
            return fault("PROXY_NAME: not set, and no name");
        };
        let seed = match &root["seed"] {
            Value::String(hex) => u64::from_str_radix(hex, 16)
                .or_else(|_| fault(format!("seed: {hex:?} is no hexadecimal number of 64 bits")))?,
            Value::Number(n) if n.is_u64() => n.as_u64().unwrap_or_default(),
            other => return fault(format!("seed: {other} is no number in hexadecimal")),
        };
        let limit = |key: &str, least: u64| {
            let told = &root["limits"][key];
            match told.as_f64() {
                Some(n) if n >= least as f64 => Ok(n as usize),
                _ => fault(format!("limits.{key}: {told} is no number of at least {least}")),
            }
        };
        let (max_sockets, memory) = (limit("sockets", LEAST_SOCKETS)?, limit("memory_mb", LEAST_MEMORY)?);
        let bad = |e| StartupError(format!("settings: {e:#}"));
        let (terms, report_fields) = kelpdoor_terms::read_terms(&root["settings"]).map_err(bad)?;
        let names = kelpdoor_terms::read_names(&root["settings"]).map_err(bad)?;
        if names.groups.is_empty() {
            return fault("settings: no classes");
        }
        let (known_changes, last_known_change) =
            parse_known_events(&root["known"]).or_else(|e| fault(format!("known: {e}")))?;
        Ok(StartupConfig {
            name,
            listen,
            seed,
            max_sockets,
            max_memory: memory.saturating_mul(1 << 20),
            changelog: address(&root["changelog"], "changelog")?,
            known_changes,
            last_known_change,
            terms,
            report_fields,
            names,
            config_path: path,
        })
    }

    /// Reads again what may change while the director runs: where the change log is.
    ///
    /// # Errors
    /// Names the key at fault; what was in force stays so.
    pub fn reread_changelog(path: &Path) -> Result<SocketAddr, StartupError> {
        address(&file(path)?["changelog"], "changelog")
    }
}
