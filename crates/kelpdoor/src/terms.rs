//! The settings that a director receives. Times are in seconds, rates in kB/s.

/// When a SETUP may be repeated although an earlier one may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Always.
    Freely,
    /// Only to nodes within this reach of the first one, and only during `repeat_window`.
    Within(Reach),
    /// Never; a SETUP is repeated only when the earlier ones are known not to have run.
    Never,
}

/// Which nodes know about each other's SETUPs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Anywhere,
    Zone,
    Cell,
}

impl Reach {
    /// Whether two nodes, each given by zone and cell, know about each other's SETUPs.
    pub fn joins(self, one: (u16, u16), other: (u16, u16)) -> bool {
        match self {
            Reach::Anywhere => true,
            Reach::Zone => one.0 == other.0,
            Reach::Cell => one.1 == other.1,
        }
    }
}

/// The settings of one service group.
#[derive(Clone, Debug)]
pub struct GroupTerms {
    /// Time within which a session should start.
    pub start_target: f64,
    /// Weight of the utility of a session.
    pub utility: f64,
    pub repeat: Repeat,
    /// Time after the first SETUP in which [`Repeat::Within`] allows others.
    pub repeat_window: f64,
    /// Lowest rung.
    pub floor: u8,
    /// Highest rung; values past the end of the ladder mean its last rung.
    pub top: u8,
    /// Factor on the rates of the ladder.
    pub scale: f64,
    /// Sessions of one title that a director may have at once; 0 means any number.
    pub seats: u32,
    /// Part of the rate that a further viewer of a title adds to the stream of that title at the same node
    /// and rung; 1 means that streams are not shared.
    pub join: f64,
}

/// The limit on SETUPs after the first one of a session, in any time span.
#[derive(Clone, Copy, Debug)]
pub struct FurtherBudget {
    /// SETUPs allowed in any case.
    pub free: f64,
    /// Additional SETUPs for each session accepted in the span.
    pub per_taken: f64,
    /// Length of the span.
    pub span: f64,
}

/// All settings of a director.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Index of this director.
    pub me: u32,
    /// Number of directors.
    pub directors: u32,
    /// Zone of this director.
    pub zone: u16,
    pub groups: Vec<GroupTerms>,
    /// Rates of the rungs, ascending.
    pub ladder: Vec<f64>,
    /// Utility per second of each rung.
    pub rung_utility: Vec<f64>,
    /// Streams that a node of each kind can carry.
    pub places_by_kind: Vec<f64>,
    pub cells: u16,
    pub racks: u16,
    /// Link capacity per unit of a node's size.
    pub link_unit: f64,
    /// Mean uplink capacity of a rack.
    pub rack_uplink: f64,
    /// Age of delivery measurements on arrival.
    pub seen_after: f64,
    /// Demand over link capacity at which a node replies busy; `None` if it never does.
    pub refuses_from: Option<f64>,
    /// Interval between measurements of a link; 0 if nodes send none.
    pub told_every: f64,
    /// Cost of a rung change, in seconds of the group's utility.
    pub switch_cost: f64,
    /// Cost of a session in another zone; above 0, nodes of the own zone are preferred.
    pub cross_zone_price: f64,
    /// SETUPs per session.
    pub max_setups: u32,
    /// SETUPs may be cancelled.
    pub may_withdraw: bool,
    /// Longest retry time that viewers accept with a busy reply; `None` if the reply cannot carry one.
    pub come_back: Option<f64>,
    /// Part of its capacity that a node has right after its start.
    pub cold_from: f64,
    /// Time until a started node has its full capacity.
    pub warm_within: f64,
    /// Set-up pace that overloads a cold node, in multiples of places per `warm_within`.
    pub tip_multiple: f64,
    /// Window over which that pace is counted.
    pub fall_window: f64,
    pub further: Option<FurtherBudget>,
    /// The node list has to be requested.
    pub ask_list: bool,
    /// Nodes report the load of their uplinks.
    pub uplinks_told: bool,
}
