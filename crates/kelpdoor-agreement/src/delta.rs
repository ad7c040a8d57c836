//! A version as what it changes from the one before, bound to both: told in place of a document, so that bytes go with
//! the change.

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};

use crate::messages::{Chosen, MAX_DOCUMENT, MAX_VERSION, Value};

/// Edits of a delta at most; a change of more is one edit from its first to its last.
const EDITS: usize = 1024;
/// Lines of one side times lines of the other, what both begin and end with left out, that are compared at most: 16,384 of
/// each, which cost some tens of ms at worst; over it the change is one edit.
const COMPARED: usize = 1 << 28;

/// Some bytes in the place of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Edit {
    /// Byte of the text before.
    pub at: usize,
    /// Bytes of it that go.
    pub cut: usize,
    pub put: String,
}

/// A version, from the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// Of the version that it makes.
    pub number: u64,
    /// Of its value.
    pub id: u64,
    /// Digest of the version before.
    pub base: String,
    /// Digest of the version that it makes.
    pub digest: String,
    /// Rising and apart.
    pub edits: Vec<Edit>,
}

impl Delta {
    /// What `new` changes from `old`, the version before it.
    pub fn between(old: &Chosen, new: &Chosen) -> Self {
        Delta {
            number: new.number,
            id: new.value.id,
            base: old.digest(),
            digest: new.digest(),
            edits: edits(&old.value.text, &new.value.text),
        }
    }

    /// Bytes that it has in memory, and without escapes on the wire, about.
    pub fn bytes(&self) -> usize {
        let edits: usize = self.edits.iter().map(|e| e.put.len() + 32).sum();
        edits + self.base.len() + self.digest.len() + 64
    }

    /// The version that it makes from `base`, of which `digest` is the digest.
    ///
    /// # Errors
    /// Why it is no delta of that version: a number that does not follow, another base, edits that do not fit, more bytes
    /// than a document may have, another digest in the end.
    pub fn apply(&self, base: &Chosen, digest: &str) -> Result<Chosen, String> {
        let number = self.number;
        if number > MAX_VERSION || base.number.checked_add(1) != Some(number) {
            return Err(format!("a delta makes version {number}, version {} is known", base.number));
        }
        if self.base != digest {
            let known = base.label();
            return Err(format!("a delta to version {number} is from {}, known is {known}", self.base));
        }
        if self.edits.len() > EDITS {
            let n = self.edits.len();
            return Err(format!("a delta to version {number} has {n} edits, {EDITS} at most"));
        }
        let old = base.value.text.as_str();
        let mut text = String::new();
        let mut from = 0;
        for e in &self.edits {
            let kept = old.get(from..e.at);
            let end = e.at.checked_add(e.cut).filter(|end| old.is_char_boundary(*end));
            let (Some(kept), Some(end)) = (kept, end) else {
                return Err(format!("a delta to version {number}: its edit at byte {} does not fit", e.at));
            };
            text += kept;
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
        let made = Chosen { number, value: Value { id: self.id, text } };
        if made.digest() != self.digest {
            let (is, said) = (made.digest(), &self.digest);
            return Err(format!("a delta to version {number} makes {is}, it says {said}"));
        }
        Ok(made)
    }
}

fn edits(old: &str, new: &str) -> Vec<Edit> {
    if old == new {
        return Vec::new();
    }
    let (a, b): (Vec<&str>, Vec<&str>) =
        (old.split_inclusive('\n').collect(), new.split_inclusive('\n').collect());
    let first = a.iter().zip(&b).take_while(|(a, b)| a == b).count();
    let last = a[first..].iter().rev().zip(b[first..].iter().rev()).take_while(|(a, b)| a == b).count();
    let (a, b) = (&a[first..a.len() - last], &b[first..b.len() - last]);
    let skipped: usize = old.split_inclusive('\n').take(first).map(str::len).sum();
    let all = |lines: &[&str]| lines.concat();
    let whole = || vec![trimmed(skipped, &all(a), &all(b))];
    if a.len().saturating_mul(b.len()) > COMPARED {
        return whole();
    }
    let mut found = Vec::new();
    let mut at = skipped;
    for op in capture_diff_slices(Algorithm::Myers, a, b) {
        let (_, of, by) = op.as_tag_tuple();
        let (cut, put) = (all(&a[of]), all(&b[by]));
        if !matches!(op, DiffOp::Equal { .. }) {
            found.push(trimmed(at, &cut, &put));
        }
        at += cut.len();
    }
    if found.len() > EDITS { whole() } else { found }
}

/// Without what both begin and end with.
fn trimmed(at: usize, cut: &str, put: &str) -> Edit {
    let same = |(a, b): &(char, char)| a == b;
    let first: usize = cut.chars().zip(put.chars()).take_while(same).map(|(c, _)| c.len_utf8()).sum();
    let (cut, put) = (&cut[first..], &put[first..]);
    let last: usize =
        cut.chars().rev().zip(put.chars().rev()).take_while(same).map(|(c, _)| c.len_utf8()).sum();
    Edit { at: at + first, cut: cut.len() - last, put: put[..put.len() - last].to_owned() }
}
