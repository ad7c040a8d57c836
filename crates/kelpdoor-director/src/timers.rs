//! What a desk waits for.

pub type Timers = kelpdoor_parts::Timers<Timer>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The wait for a session's SETUP of that number is over.
    SetupDue {
        sess: u64,
        number: u8,
    },
    /// A session's answer is due.
    AnswerDue {
        sess: u64,
    },
    /// A session without a socket is over, if it lost the socket with that number of losses.
    Resume {
        sess: u64,
        losses: u32,
    },
    /// A session's token runs out soon, unless it was renewed since.
    SeatEnds {
        sess: u64,
    },
    /// No answer came to a TEARDOWN.
    TornDown {
        sess: u64,
    },
    /// A finished session's answer is forgotten.
    Forget {
        sess: u64,
    },
    ConnectDue {
        node: u32,
        link: u64,
    },
    Redial {
        node: u32,
        link: u64,
    },
    Look {
        node: u32,
        link: u64,
    },
    /// Too much is out on a link: it is closed, with nothing else half done.
    Choked {
        node: u32,
        link: u64,
    },
    SaveList,
}
