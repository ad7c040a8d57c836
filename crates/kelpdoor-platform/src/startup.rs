//! Startup configuration of a director: three environment variables and a JSON file that holds the same
//! settings and more.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use kelpdoor::Terms;
use kelpdoor_terms::{ReportFields, SettingsNames};
use serde_json::Value;

use crate::changes::{FleetChange, parse_known_events};

/// Minimum memory in MB, for the program and its bounded state.
const MIN_MEMORY_MB: u64 = 16;
/// Minimum file descriptors: fewer leave no room for viewers besides nodes, the change log and the process
/// itself.
const MIN_SOCKETS: u64 = 64;

/// Why the director cannot start: the variable or key, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupError(pub String);

impl std::fmt::Display for StartupError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartupError {}

fn error<T>(what: impl Into<String>) -> Result<T, StartupError> {
    Err(StartupError(what.into()))
}

/// The validated startup configuration.
pub struct StartupConfig {
    /// Path of the configuration file.
    pub config_path: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    /// Maximum file descriptors of the process.
    pub max_sockets: usize,
    /// Maximum memory of the process in bytes.
    pub max_memory: usize,
    pub changelog: SocketAddr,
    /// Events of the change log from before the start, in order.
    pub known_changes: Vec<FleetChange>,
    /// Number of the last event in `known_changes`.
    pub last_known_change: u64,
    pub terms: Terms,
    pub report_fields: ReportFields,
    pub names: SettingsNames,
}

fn parse_address(value: &Value, key: &str) -> Result<SocketAddr, StartupError> {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    text.parse().or_else(|_| error(format!("{key}: {text:?} is not an address with a port")))
}

fn read_file(path: &Path) -> Result<Value, StartupError> {
    let file_error = |e: String| StartupError(format!("PROXY_CONFIG: {}: {e}", path.display()));
    let text = std::fs::read(path).map_err(|e| file_error(e.to_string()))?;
    let root: Value = serde_json::from_slice(&text).map_err(|e| file_error(e.to_string()))?;
    if root.is_object() { Ok(root) } else { Err(file_error("not a JSON object".into())) }
}

impl StartupConfig {
    /// Reads the environment variables, through `variable`, and the file that they name.
    ///
    /// # Errors
    /// Names the invalid variable or key.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, StartupError> {
        let Some(path) = variable("PROXY_CONFIG") else { return error("PROXY_CONFIG: not set") };
        let path = PathBuf::from(path);
        let root = read_file(&path)?;
        let listen = match variable("PROXY_LISTEN") {
            Some(text) => parse_address(&Value::String(text), "PROXY_LISTEN")?,
            None => parse_address(&root["listen"], "listen")?,
        };
        let name = variable("PROXY_NAME").or_else(|| root["name"].as_str().map(str::to_owned));
        let Some(name) = name.filter(|n| !n.is_empty()) else {
            return error("PROXY_NAME: not set, and the file has no name");
        };
        let seed = match &root["seed"] {
            Value::String(hex) => u64::from_str_radix(hex, 16)
                .or_else(|_| error(format!("seed: {hex:?} is not a 64-bit hexadecimal number")))?,
            Value::Number(n) if n.is_u64() => n.as_u64().unwrap_or_default(),
            other => return error(format!("seed: {other} is not a hexadecimal number")),
        };
        let limit = |key: &str, min: u64| {
            let value = &root["limits"][key];
            match value.as_f64() {
                Some(n) if n >= min as f64 => Ok(n as usize),
                _ => error(format!("limits.{key}: {value} is not a number of at least {min}")),
            }
        };
        let (max_sockets, memory) = (limit("sockets", MIN_SOCKETS)?, limit("memory_mb", MIN_MEMORY_MB)?);
        let settings_error = |e| StartupError(format!("settings: {e:#}"));
        let (terms, report_fields) = kelpdoor_terms::read_terms(&root["settings"]).map_err(settings_error)?;
        let names = kelpdoor_terms::read_names(&root["settings"]).map_err(settings_error)?;
        if names.groups.is_empty() {
            return error("settings: no profiles");
        }
        let (known_changes, last_known_change) =
            parse_known_events(&root["known"]).or_else(|e| error(format!("known: {e}")))?;
        Ok(StartupConfig {
            name,
            listen,
            seed,
            max_sockets,
            max_memory: memory.saturating_mul(1 << 20),
            changelog: parse_address(&root["changelog"], "changelog")?,
            known_changes,
            last_known_change,
            terms,
            report_fields,
            names,
            config_path: path,
        })
    }

    /// Reads the address of the change log again, which is the only setting that may change while the
    /// director runs.
    ///
    /// # Errors
    /// Names the invalid key; the previous address stays in force.
    pub fn reread_changelog(path: &Path) -> Result<SocketAddr, StartupError> {
        parse_address(&read_file(path)?["changelog"], "changelog")
    }
}
