//! The few figures that decisions use, derived once from the terms a director is given.

use crate::terms::{FurtherBudget, GroupTerms, Repeat, Terms};

pub struct Group {
    pub start_target: f64,
    pub floor: u8,
    pub top: u8,
    pub seats: u32,
    pub repeat: Repeat,
    pub repeat_window: f64,
    /// What a viewer beside another of its title adds, as a part of the rate; 1: all of it.
    pub join: f64,
    /// kB a second of each rung.
    pub kb: Vec<f64>,
    /// Utility a second of each rung.
    pub earns: Vec<f64>,
    pub switch: f64,
}

impl Group {
    /// What the step above rung `low` takes, and its utility for each kB; `switch` counts a change's cost.
    pub fn step(&self, low: u8, switch: f64) -> (f64, f64) {
        let (f, t) = (low as usize + 1, low as usize);
        let kb = self.kb[f] - self.kb[t];
        (kb, (self.earns[f] - self.earns[t] + switch) / kb.max(1e-9))
    }
}

pub struct DerivedTerms {
    pub me: u64,
    pub directors: f64,
    pub zone: u16,
    pub groups: Vec<Group>,
    /// Utility for each kB of a lowest rung, mean over groups.
    pub first_earns: f64,
    pub places: Vec<f64>,
    pub cells: u16,
    pub racks: usize,
    pub link_unit: f64,
    pub rack_uplink: f64,
    pub seen_after: f64,
    /// Of a link; infinite where nodes never reply busy for it.
    pub refuses_from: f64,
    pub told_every: f64,
    pub near_first: bool,
    pub max_setups: u32,
    pub may_withdraw: bool,
    pub come_back: Option<f64>,
    pub cold_from: f64,
    pub warm_within: f64,
    pub cold_budget: f64,
    pub fall_window: f64,
    pub further: Option<FurtherBudget>,
    pub ask_list: bool,
    pub uplinks_told: bool,
}

impl DerivedTerms {
    pub fn new(terms: &Terms) -> Self {
        let group = |g: &GroupTerms| {
            let top = g.top.min(u8::try_from(terms.ladder.len() - 1).unwrap_or(u8::MAX));
            Group {
                start_target: g.start_target,
                floor: g.floor.min(top),
                top,
                seats: g.seats,
                repeat: g.repeat,
                repeat_window: g.repeat_window,
                join: g.join,
                kb: terms.ladder.iter().map(|kb| kb * g.scale).collect(),
                earns: terms.rung_utility.iter().map(|u| u * g.utility).collect(),
                switch: terms.switch_cost * g.utility,
            }
        };
        let groups: Vec<Group> = terms.groups.iter().map(group).collect();
        let first = groups.iter().map(|g| g.earns[0] / g.kb[0].max(1e-9));
        DerivedTerms {
            me: terms.me.into(),
            directors: terms.directors.max(terms.me + 1).into(),
            zone: terms.zone,
            first_earns: first.sum::<f64>() / groups.len().max(1) as f64,
            groups,
            places: terms.places_by_kind.clone(),
            cells: terms.cells.max(1),
            racks: terms.racks.max(1).into(),
            link_unit: terms.link_unit.max(1.0),
            rack_uplink: terms.rack_uplink,
            seen_after: terms.seen_after,
            refuses_from: terms.refuses_from.unwrap_or(f64::INFINITY),
            told_every: terms.told_every,
            near_first: terms.cross_zone_price > 0.0,
            max_setups: terms.max_setups.max(1),
            may_withdraw: terms.may_withdraw,
            come_back: terms.come_back,
            cold_from: terms.cold_from,
            warm_within: terms.warm_within,
            cold_budget: terms.tip_multiple * terms.fall_window / terms.warm_within.max(1e-3),
            fall_window: terms.fall_window,
            further: terms.further,
            ask_list: terms.ask_list,
            uplinks_told: terms.uplinks_told,
        }
    }
}
