//! Test documents that state their voters and maximum contradiction time in a few words, and rules that record which
//! documents were merged.
#![allow(dead_code)]

use std::collections::BTreeSet;

use kelpdoor_agreement::{DocumentReader, Rules, VoterId, lease_duration};

/// Parsed from `.. by 0 1 2 for 14`: the voters that decide the next version, by default the first three, and the maximum
/// contradiction time, by default 2 s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestRules {
    /// All merged documents.
    pub all: BTreeSet<String>,
    /// The document whose keys without a stricter value apply.
    pub oldest: String,
    pub newest: String,
}

pub fn contradiction(text: &str) -> f64 {
    text.split_once(" for ").map_or(2.0, |(_, s)| s.split(' ').next().unwrap().parse().expect("seconds"))
}

pub fn voters(text: &str) -> Vec<VoterId> {
    match text.split_once(" by ") {
        Some((_, all)) => {
            let all = all.split_once(" for ").map_or(all, |(all, _)| all);
            all.split(' ').map(|v| VoterId(v.parse().expect("a number"))).collect()
        }
        None => vec![VoterId(0), VoterId(1), VoterId(2)],
    }
}

impl Rules for TestRules {
    type LocalSettings = ();

    fn read((): &(), text: &str) -> Result<Self, String> {
        if text.starts_with("bad") {
            return Err("it says so".to_owned());
        }
        Ok(TestRules {
            all: BTreeSet::from([text.to_owned()]),
            oldest: text.to_owned(),
            newest: text.to_owned(),
        })
    }

    fn lease(&self) -> f64 {
        lease_duration(contradiction(&self.newest))
    }

    fn voters(&self) -> Vec<VoterId> {
        voters(&self.newest)
    }

    fn merge(older: &Self, newer: &Self) -> Self {
        TestRules { all: &older.all | &newer.all, oldest: older.oldest.clone(), newest: newer.newest.clone() }
    }
}

pub const READER: DocumentReader =
    DocumentReader { lease: |text| lease_duration(contradiction(text)), voters };
