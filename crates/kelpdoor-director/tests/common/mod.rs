//! A director core in virtual time with a small fleet.
#![allow(dead_code, reason = "each test file uses a part")]

use kelpdoor_api::{FromPlayer, RequestKey, ToPlayer};
use kelpdoor_director::{
    DirectorCore, Effect, Input, NodeEvent, Phase, RosterMessage, RosterNode, RosterTitle,
};
use kelpdoor_rtsp::{Message, Request, Response};
use kelpdoor_script::Deployment;

/// Start of the virtual time, in seconds since 1970.
pub const START: f64 = 1_000_000.0;

pub fn deployment() -> Deployment {
    let text = r#"
ladder(rates = [120, 405, 744, 1365], utility = [0.2, 0.6, 0.8, 1.0], switch_cost = 0.5)
group("any", utility = 2, start_target = 1.5)
group("zoned", utility = 1, start_target = 1, repeat = "zone", repeat_window = 2)
group("paid", utility = 1, start_target = 1, repeat = "never")
group("seated", utility = 1, start_target = 1, seats = 2, floor = 1)
group("ticket", utility = 1, start_target = 1, token = True)
tokens(keys = "keys.json", audience = "kelpdoor", warn = 2)
keeper(lease = 12, clock_error = 1, wait = 0.5, beat_every = 2, ahead = 1)
school("olaf", seats = 3)
fleet(zones = ["east", "west"], kinds = {"box": 8}, cells = 6, racks = 2, link_unit = 2000, seen_after = 1,
      told_every = 3, cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1)
further(free = 3, per_taken = 0.2, span = 10)
director(me = 0, of = 1, zone = "east", listen = "127.0.0.1:0", max_setups = 3, come_back = 2.0)
roster(address = "127.0.0.1:1")
players(resume_for = 5, remember = 10)
"#;
    Deployment::parse("test", text).expect("good settings")
}

pub fn roster_node(id: u32, phase: Phase) -> RosterNode {
    RosterNode {
        id,
        address: ([127, 0, 0, 1], 7000 + id as u16).into(),
        zone: if id < 3 { "east".into() } else { "west".into() },
        kind: "box".into(),
        cell: id as u16,
        phase,
        size: 1.0,
        up_since: 0.0,
    }
}

pub fn roster() -> RosterMessage {
    let titles = (0..6).map(|k| RosterTitle { name: format!("t{k}"), first_cell: k, cells: 3 });
    RosterMessage::Whole {
        version: 1,
        nodes: (0..6).map(|id| roster_node(id, Phase::Ready)).collect(),
        titles: titles.collect(),
    }
}

pub struct Harness {
    pub core: DirectorCore,
    pub now: f64,
    pub version: u64,
}

impl Harness {
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        Harness { core: DirectorCore::new(deployment, seed, START), now: START, version: 1 }
    }

    pub fn round(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.round(self.now, &mut |e| effects.push(e));
        effects
    }

    pub fn input(&mut self, input: Input) -> Vec<Effect> {
        self.core.handle_input(self.now, input);
        self.round()
    }

    /// Advances to the next timer of the core and runs its round, if it is due before `end`.
    pub fn run_next_timer(&mut self, end: f64) -> Option<Vec<Effect>> {
        let next = self.core.next_timer_at().max(self.now);
        if next >= end {
            return None;
        }
        self.now = next;
        Some(self.round())
    }

    /// Advances the time and returns the effects of all rounds on the way.
    pub fn wait(&mut self, seconds: f64) -> Vec<Effect> {
        let end = self.now + seconds;
        let mut all = Vec::new();
        while let Some(effects) = self.run_next_timer(end) {
            all.extend(effects);
        }
        self.now = end;
        all
    }

    pub fn change(&mut self, node: u32, phase: Phase) -> RosterMessage {
        self.version += 1;
        RosterMessage::Change {
            version: self.version,
            nodes: vec![roster_node(node, phase)],
            titles: Vec::new(),
        }
    }

    /// Completes every connection attempt among the effects.
    pub fn connect(&mut self, effects: &[Effect]) -> Vec<(u32, u64)> {
        let mut up = Vec::new();
        for effect in effects {
            if let Effect::Dial { node, link, .. } = effect {
                up.push((*node, *link));
                self.core.handle_input(
                    self.now,
                    Input::Node { node: *node, link: *link, event: NodeEvent::Connected },
                );
            }
        }
        self.round();
        up
    }

    pub fn start(&mut self, sock: u64, key: &str, group: &str, title: &str) -> Vec<Effect> {
        self.input(Input::Player { sock, message: start(key, group, title) })
    }

    pub fn receive_from_node(&mut self, node: u32, link: u64, message: impl Into<Message>) -> Vec<Effect> {
        self.input(Input::Node { node, link, event: NodeEvent::Received(message.into()) })
    }
}

pub fn start(key: &str, group: &str, title: &str) -> FromPlayer {
    FromPlayer::Start {
        key: RequestKey(key.into()),
        group: group.into(),
        title: title.into(),
        best_rung: 3,
        setup_timeout: 3.0,
        token: None,
    }
}

/// Returns the requests to nodes among the effects: node, number of the connection and request.
pub fn requests(effects: &[Effect]) -> Vec<(u32, u64, Request)> {
    let mut all = Vec::new();
    for effect in effects {
        let (Effect::Node { node, link, bytes } | Effect::Leased { node, link, bytes, .. }) = effect else {
            continue;
        };
        let mut rest = &bytes[..];
        while let Ok(Some((message, len))) = kelpdoor_rtsp::parse(rest) {
            rest = &rest[len..];
            if let Message::Request(r) = message {
                all.push((*node, *link, r));
            }
        }
    }
    all
}

/// Returns the messages to players among the effects as they are on the wire.
pub fn player_messages(effects: &[Effect]) -> Vec<String> {
    let select = |e: &Effect| match e {
        Effect::Player { sock, message, .. } => Some(format!("{sock} < {}", message.text())),
        _ => None,
    };
    effects.iter().filter_map(select).collect()
}

/// Returns the final answers to players among the effects.
pub fn final_answers(effects: &[Effect]) -> Vec<ToPlayer> {
    let select = |e: &Effect| match e {
        Effect::Player { message, .. } if message.is_final() => Some(message.clone()),
        _ => None,
    };
    effects.iter().filter_map(select).collect()
}

pub fn ok(r: &Request) -> Response {
    Response::new(200, r.cseq)
}
