//! The timers of the core.

pub type Timers = kelpdoor_parts::Timers<Timer>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// SETUP `number` of a session has been outstanding for too long.
    SetupTimeout {
        sess: u64,
        number: u8,
    },
    /// A session's final answer is due.
    AnswerDeadline {
        sess: u64,
    },
    /// A session has had no socket for too long. Ignored if `socket_changes` is no longer the session's count.
    ResumeTimeout {
        sess: u64,
        socket_changes: u32,
    },
    /// A session's token expires soon, unless it was renewed in the meantime.
    TokenExpiring {
        sess: u64,
    },
    /// A TEARDOWN got no response in time.
    TeardownTimeout {
        sess: u64,
    },
    /// A finished session's answer is no longer remembered.
    Forget {
        sess: u64,
    },
    ConnectTimeout {
        node: u32,
        link: u64,
    },
    Redial {
        node: u32,
        link: u64,
    },
    CheckLiveness {
        node: u32,
        link: u64,
    },
    /// A link has too many outstanding requests. A timer closes it, so that no other operation is interrupted halfway.
    TooManyOutstanding {
        node: u32,
        link: u64,
    },
    SaveList,
}
