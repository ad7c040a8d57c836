//! The values that decisions use, derived once from the [`Terms`] of a director.

use crate::terms::{FurtherBudget, GroupTerms, Repeat, Terms};

pub struct Group {
    pub start_target: f64,
    pub floor: u8,
    pub top: u8,
    pub seats: u32,
    pub repeat: Repeat,
    pub repeat_window: f64,
    /// Part of the rate that a viewer adds to a shared stream; 1 if streams are not shared.
    pub join: f64,
    /// kB/s of each rung.
    pub rates: Vec<f64>,
    /// Utility per second of each rung.
    pub utility: Vec<f64>,
    /// Utility that a rung change costs.
    pub switch_cost: f64,
}

impl Group {
    /// The rate of the step from rung `low` to the next, and its utility per kB after adding `switch` to its
    /// utility.
    pub fn step(&self, low: u8, switch: f64) -> (f64, f64) {
        let (high, low) = (low as usize + 1, low as usize);
        let kb = self.rates[high] - self.rates[low];
        (kb, (self.utility[high] - self.utility[low] + switch) / kb.max(1e-9))
    }
}

pub struct DerivedTerms {
    pub me: u64,
    pub directors: f64,
    pub zone: u16,
    pub groups: Vec<Group>,
    /// Utility per kB of the lowest rung, mean over the groups.
    pub lowest_rung_density: f64,
    pub places: Vec<f64>,
    pub cells: u16,
    pub racks: usize,
    pub link_unit: f64,
    pub rack_uplink: f64,
    pub seen_after: f64,
    /// Part of a link; infinite if nodes never reply busy because of it.
    pub refuses_from: f64,
    pub told_every: f64,
    pub prefer_own_zone: bool,
    pub max_setups: u32,
    pub may_withdraw: bool,
    pub come_back: Option<f64>,
    pub cold_from: f64,
    pub warm_within: f64,
    /// SETUPs per place that a warm node bears in one `fall_window`.
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
                rates: terms.ladder.iter().map(|kb| kb * g.scale).collect(),
                utility: terms.rung_utility.iter().map(|u| u * g.utility).collect(),
                switch_cost: terms.switch_cost * g.utility,
            }
        };
        let groups: Vec<Group> = terms.groups.iter().map(group).collect();
        let lowest = groups.iter().map(|g| g.utility[0] / g.rates[0].max(1e-9));
        DerivedTerms {
            me: terms.me.into(),
            directors: terms.directors.max(terms.me + 1).into(),
            zone: terms.zone,
            lowest_rung_density: lowest.sum::<f64>() / groups.len().max(1) as f64,
            groups,
            places: terms.places_by_kind.clone(),
            cells: terms.cells.max(1),
            racks: terms.racks.max(1).into(),
            link_unit: terms.link_unit.max(1.0),
            rack_uplink: terms.rack_uplink,
            seen_after: terms.seen_after,
            refuses_from: terms.refuses_from.unwrap_or(f64::INFINITY),
            told_every: terms.told_every,
            prefer_own_zone: terms.cross_zone_price > 0.0,
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
