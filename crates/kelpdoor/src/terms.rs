//! The terms a director is given at its start. Times are seconds, rates kB a second.

/// How often a SETUP may be repeated when an earlier one may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// As often as wanted.
    Freely,
    /// Within that reach of the first node, for a stated time.
    Within(Reach),
    /// Only after proof that nothing ran.
    Never,
}

/// Nodes that know of each other's SETUPs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Anywhere,
    Zone,
    Cell,
}

impl Reach {
    /// Whether two nodes, each by zone and cell, know of each other's SETUPs.
    pub fn joins(self, one: (u16, u16), other: (u16, u16)) -> bool {
        match self {
            Reach::Anywhere => true,
            Reach::Zone => one.0 == other.0,
            Reach::Cell => one.1 == other.1,
        }
    }
}

/// What holds for one service group.
#[derive(Clone, Debug)]
pub struct GroupTerms {
    pub start_target: f64,
    pub utility: f64,
    pub repeat: Repeat,
    pub repeat_window: f64,
    pub floor: u8,
    pub top: u8,
    /// Its rates over the ladder's.
    pub scale: f64,
    /// Sessions of one title that a director may hold; 0: any number.
    pub seats: u32,
    /// What a further viewer of a title adds to its stream at the same node and rung, as a part of the rate; 1: nothing is shared.
    pub join: f64,
}

/// Further SETUPs allowed in any span.
#[derive(Clone, Copy, Debug)]
pub struct FurtherBudget {
    pub free: f64,
    pub per_taken: f64,
    pub span: f64,
}

/// All that a director is told before its first round.
#[derive(Clone, Debug)]
pub struct Terms {
    pub me: u32,
    pub directors: u32,
    pub zone: u16,
    pub groups: Vec<GroupTerms>,
    pub ladder: Vec<f64>,
    pub rung_utility: Vec<f64>,
    pub places_by_kind: Vec<f64>,
    pub cells: u16,
    pub racks: u16,
    /// A node's link for each unit of its size.
    pub link_unit: f64,
    /// Mean uplink of a rack.
    pub rack_uplink: f64,
    /// How late delivery readings are.
    pub seen_after: f64,
    /// So full by what is asked of its link, a node replies busy; `None`: never for that.
    pub refuses_from: Option<f64>,
    /// Time between readings of a link's fullness; 0: none come.
    pub told_every: f64,
    /// A rung change costs so many seconds of the group's utility.
    pub switch_cost: f64,
    pub cross_zone_price: f64,
    pub max_setups: u32,
    pub may_withdraw: bool,
    /// The longest come-back time that viewers heed, where it may be given.
    pub come_back: Option<f64>,
    pub cold_from: f64,
    pub warm_within: f64,
    pub tip_multiple: f64,
    pub fall_window: f64,
    pub further: Option<FurtherBudget>,
    /// The list of nodes must be asked for.
    pub ask_list: bool,
    /// Readings of the uplinks' fullness come in.
    pub uplinks_told: bool,
}
