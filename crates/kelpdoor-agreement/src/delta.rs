//! Deltas between consecutive versions, bound to both by digests. A delta is sent in place of a whole document, so that the
//! bytes sent are in proportion to the change.

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};

use crate::messages::{Chosen, MAX_DOCUMENT, MAX_VERSION, Value};

/// Maximum number of edits in a delta. A larger change becomes a single edit that spans all of them.
const MAX_EDITS: usize = 1024;
/// Maximum product of the line counts of the two sides that are compared, without their common prefix and suffix: 16,384
/// lines each, which cost tens of milliseconds at worst. A larger change becomes a single edit.
const MAX_LINE_PAIRS: usize = 1 << 28;

/// Replaces a range of bytes of the preceding version's text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Edit {
    /// Byte offset in the preceding text.
    pub at: usize,
    /// Number of bytes removed at that offset.
    pub cut: usize,
    /// Text inserted in their place.
    pub put: String,
}

/// A version as the difference from the preceding one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// Number of the resulting version.
    pub number: u64,
    /// Id of its value.
    pub id: u64,
    /// Digest of the preceding version.
    pub base: String,
    /// Digest of the resulting version.
    pub digest: String,
    /// In ascending order, without overlap.
    pub edits: Vec<Edit>,
}

impl Delta {
    /// The difference of `new` from `old`, the version before it.
    pub fn between(old: &Chosen, new: &Chosen) -> Self {
        Delta {
            number: new.number,
            id: new.value.id,
            base: old.digest(),
            digest: new.digest(),
            edits: diff_edits(&old.value.text, &new.value.text),
        }
    }

    /// Approximate size in bytes, in memory and unescaped on the wire.
    pub fn bytes(&self) -> usize {
        let edits: usize = self.edits.iter().map(|e| e.put.len() + 32).sum();
        edits + self.base.len() + self.digest.len() + 64
    }

    /// Applies the delta to `base`, whose digest is `digest`, and returns the resulting version.
    ///
    /// # Errors
    /// Says why the delta does not apply: its number does not follow, it has another base, its edits do not fit, the result
    /// exceeds [`MAX_DOCUMENT`] or has another digest.
    pub fn apply(&self, base: &Chosen, digest: &str) -> Result<Chosen, String> {
        let number = self.number;
        if number > MAX_VERSION || base.number.checked_add(1) != Some(number) {
            return Err(format!("a delta makes version {number}, version {} is known", base.number));
        }
        if self.base != digest {
            let known = base.label();
            return Err(format!("a delta to version {number} is from {}, known is {known}", self.base));
        }
        if self.edits.len() > MAX_EDITS {
            let n = self.edits.len();
            return Err(format!("a delta to version {number} has {n} edits, {MAX_EDITS} at most"));
        }
        let old = base.value.text.as_str();
        let mut text = String::new();
        let mut from = 0;
        for e in &self.edits {
            let unchanged = old.get(from..e.at);
            let end = e.at.checked_add(e.cut).filter(|end| old.is_char_boundary(*end));
            let (Some(unchanged), Some(end)) = (unchanged, end) else {
                return Err(format!("a delta to version {number}: its edit at byte {} does not fit", e.at));
            };
            text += unchanged;
            text += &e.put;
            if text.len() > MAX_DOCUMENT {
                return Err(format!("a delta to version {number} makes over {MAX_DOCUMENT} bytes"));
            }
            from = end;
        }
        text += &old[from..];
        if text.len() > MAX_DOCUMENT {
            return Err(format!("a delta to version {number} makes over {MAX_DOCUMENT} bytes"));
        }
        let result = Chosen { number, value: Value { id: self.id, text } };
        if result.digest() != self.digest {
            let (actual, expected) = (result.digest(), &self.digest);
            return Err(format!("a delta to version {number} makes {actual}, it says {expected}"));
        }
        Ok(result)
    }
}

/// Line-based edits that turn `old` into `new`, each without the common prefix and suffix of its two sides.
fn diff_edits(old: &str, new: &str) -> Vec<Edit> {
    if old == new {
        return Vec::new();
    }
    let (a, b): (Vec<&str>, Vec<&str>) =
        (old.split_inclusive('\n').collect(), new.split_inclusive('\n').collect());
    let prefix = a.iter().zip(&b).take_while(|(a, b)| a == b).count();
    let suffix = a[prefix..].iter().rev().zip(b[prefix..].iter().rev()).take_while(|(a, b)| a == b).count();
    let (a, b) = (&a[prefix..a.len() - suffix], &b[prefix..b.len() - suffix]);
    let prefix_bytes: usize = old.split_inclusive('\n').take(prefix).map(str::len).sum();
    let concat = |lines: &[&str]| lines.concat();
    let single_edit = || vec![trimmed_edit(prefix_bytes, &concat(a), &concat(b))];
    if a.len().saturating_mul(b.len()) > MAX_LINE_PAIRS {
        return single_edit();
    }
    let mut edits = Vec::new();
    let mut at = prefix_bytes;
    for op in capture_diff_slices(Algorithm::Myers, a, b) {
        let (_, old_lines, new_lines) = op.as_tag_tuple();
        let (cut, put) = (concat(&a[old_lines]), concat(&b[new_lines]));
        if !matches!(op, DiffOp::Equal { .. }) {
            edits.push(trimmed_edit(at, &cut, &put));
        }
        at += cut.len();
    }
    if edits.len() > MAX_EDITS { single_edit() } else { edits }
}

/// An edit without the common prefix and suffix of the removed and the inserted text.
fn trimmed_edit(at: usize, cut: &str, put: &str) -> Edit {
    let same = |(a, b): &(char, char)| a == b;
    let prefix: usize = cut.chars().zip(put.chars()).take_while(same).map(|(c, _)| c.len_utf8()).sum();
    let (cut, put) = (&cut[prefix..], &put[prefix..]);
    let suffix: usize =
        cut.chars().rev().zip(put.chars().rev()).take_while(same).map(|(c, _)| c.len_utf8()).sum();
    Edit { at: at + prefix, cut: cut.len() - suffix, put: put[..put.len() - suffix].to_owned() }
}
