//! A place in the settings, which knows its own name.

use std::ops::RangeInclusive;

use anyhow::{Result, bail, ensure};
use serde_json::Value;

/// Of a bad value, characters shown at most.
const SHOWN: usize = 40;

/// A place in the settings. `null` stands for nothing, as absence does.
#[derive(Clone)]
pub struct JsonCursor<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonCursor<'a> {
    pub fn root(value: &'a Value) -> Result<Self> {
        ensure!(value.is_object(), "not a JSON object");
        Ok(JsonCursor { value, path: String::new() })
    }

    fn fault<T>(&self, wanted: &str) -> Result<T> {
        let all = self.value.to_string();
        let shown: String = all.chars().take(SHOWN).collect();
        let cut = if shown.len() < all.len() { ".." } else { "" };
        bail!("{}: {shown}{cut} is {wanted}", self.path)
    }

    pub fn to(&self, key: &str) -> Result<JsonCursor<'a>> {
        let value = match self.value {
            Value::Object(members) => members.get(key).unwrap_or(&Value::Null),
            Value::Null => &Value::Null,
            _ => return self.fault("no object"),
        };
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Ok(JsonCursor { value, path })
    }

    /// A number within that range.
    pub fn num(&self, range: RangeInclusive<f64>) -> Result<Option<f64>> {
        match self.value {
            Value::Null => Ok(None),
            value => match value.as_f64().filter(|n| range.contains(n)) {
                Some(n) => Ok(Some(n)),
                None if *range.end() == f64::MAX => {
                    self.fault(&format!("no number from {} on", range.start()))
                }
                None => self.fault(&format!("no number from {} to {}", range.start(), range.end())),
            },
        }
    }

    /// A whole number from 0, also one written with a fraction of 0.
    pub fn whole(&self, most: u64) -> Result<Option<u64>> {
        match self.value {
            Value::Null => Ok(None),
            value => match value.as_f64().filter(|n| n.fract() == 0.0 && (0.0..=most as f64).contains(n)) {
                Some(n) => Ok(Some(n as u64)),
                None => self.fault(&format!("no whole number from 0 to {most}")),
            },
        }
    }

    /// A time in milliseconds, as seconds; 0 when absent.
    pub fn seconds(&self) -> Result<f64> {
        Ok(self.num(0.0..=f64::MAX)?.unwrap_or(0.0) / 1000.0)
    }

    /// No when absent.
    pub fn yes(&self) -> Result<bool> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(yes) => Ok(*yes),
            _ => self.fault("neither true nor false"),
        }
    }

    /// Empty when absent.
    pub fn word(&self) -> Result<String> {
        match self.value {
            Value::Null => Ok(String::new()),
            Value::String(word) => Ok(word.clone()),
            _ => self.fault("no text"),
        }
    }

    /// Empty when absent.
    pub fn list(&self) -> Result<Vec<JsonCursor<'a>>> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(all) => {
                let place = |(i, value)| JsonCursor { value, path: format!("{}[{i}]", self.path) };
                Ok(all.iter().enumerate().map(place).collect())
            }
            _ => self.fault("no list"),
        }
    }

    pub fn nums(&self, range: RangeInclusive<f64>) -> Result<Vec<f64>> {
        self.list()?.iter().map(|v| Ok(v.num(range.clone())?.unwrap_or(0.0))).collect()
    }

    pub fn wholes(&self, most: u64) -> Result<Vec<u64>> {
        self.list()?.iter().map(|v| Ok(v.whole(most)?.unwrap_or(0))).collect()
    }

    pub fn words(&self) -> Result<Vec<String>> {
        self.list()?.iter().map(JsonCursor::word).collect()
    }
}
