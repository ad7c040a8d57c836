//! A position in a JSON document that reads typed values and names its path in errors.

use std::ops::RangeInclusive;

use anyhow::{Result, bail, ensure};
use serde_json::Value;

/// Maximum number of characters of a bad value that an error shows.
const MAX_SHOWN_CHARS: usize = 40;

/// A value in the settings and its path. `null` is read like an absent value.
#[derive(Clone)]
pub struct JsonCursor<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonCursor<'a> {
    /// The document itself.
    ///
    /// # Errors
    /// If it is not an object.
    pub fn root(value: &'a Value) -> Result<Self> {
        ensure!(value.is_object(), "not a JSON object");
        Ok(JsonCursor { value, path: String::new() })
    }

    /// An error with the path, the start of the value, and what it is not.
    fn type_error<T>(&self, mismatch: &str) -> Result<T> {
        let all = self.value.to_string();
        let shown: String = all.chars().take(MAX_SHOWN_CHARS).collect();
        let cut = if shown.len() < all.len() { ".." } else { "" };
        bail!("{}: {shown}{cut} is {mismatch}", self.path)
    }

    /// The member `key` of an object; a null value if it is absent.
    pub fn member(&self, key: &str) -> Result<JsonCursor<'a>> {
        let value = match self.value {
            Value::Object(members) => members.get(key).unwrap_or(&Value::Null),
            Value::Null => &Value::Null,
            _ => return self.type_error("not an object"),
        };
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Ok(JsonCursor { value, path })
    }

    /// A number within the range; `None` if absent.
    pub fn number(&self, range: RangeInclusive<f64>) -> Result<Option<f64>> {
        match self.value {
            Value::Null => Ok(None),
            value => match value.as_f64().filter(|n| range.contains(n)) {
                Some(n) => Ok(Some(n)),
                None if *range.end() == f64::MAX => {
                    self.type_error(&format!("no number from {} on", range.start()))
                }
                None => self.type_error(&format!("not a number from {} to {}", range.start(), range.end())),
            },
        }
    }

    /// An integer from 0 to `limit`, also if written with a zero fraction; `None` if absent.
    pub fn integer(&self, limit: u64) -> Result<Option<u64>> {
        match self.value {
            Value::Null => Ok(None),
            value => match value.as_f64().filter(|n| n.fract() == 0.0 && (0.0..=limit as f64).contains(n)) {
                Some(n) => Ok(Some(n as u64)),
                None => self.type_error(&format!("not an integer from 0 to {limit}")),
            },
        }
    }

    /// A duration in milliseconds, converted to seconds; 0 if absent.
    pub fn seconds(&self) -> Result<f64> {
        Ok(self.number(0.0..=f64::MAX)?.unwrap_or(0.0) / 1000.0)
    }

    /// A boolean; false if absent.
    pub fn boolean(&self) -> Result<bool> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(value) => Ok(*value),
            _ => self.type_error("neither true nor false"),
        }
    }

    /// A string; empty if absent.
    pub fn string(&self) -> Result<String> {
        match self.value {
            Value::Null => Ok(String::new()),
            Value::String(text) => Ok(text.clone()),
            _ => self.type_error("not a string"),
        }
    }

    /// The elements of a list; empty if absent.
    pub fn list(&self) -> Result<Vec<JsonCursor<'a>>> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(all) => {
                let element = |(i, value)| JsonCursor { value, path: format!("{}[{i}]", self.path) };
                Ok(all.iter().enumerate().map(element).collect())
            }
            _ => self.type_error("not a list"),
        }
    }

    /// A list of numbers within the range; a null element is read as 0.
    pub fn numbers(&self, range: RangeInclusive<f64>) -> Result<Vec<f64>> {
        self.list()?.iter().map(|v| Ok(v.number(range.clone())?.unwrap_or(0.0))).collect()
    }

    /// A list of integers from 0 to `limit`; a null element is read as 0.
    pub fn integers(&self, limit: u64) -> Result<Vec<u64>> {
        self.list()?.iter().map(|v| Ok(v.integer(limit)?.unwrap_or(0))).collect()
    }

    /// A list of strings; a null element is read as empty.
    pub fn strings(&self) -> Result<Vec<String>> {
        self.list()?.iter().map(JsonCursor::string).collect()
    }
}
