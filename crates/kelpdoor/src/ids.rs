//! Types of identifiers.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($raw:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $raw);
    };
}

id!(
    /// A session at one director; a viewer that returns gets a new one.
    SessId(u64)
);
id!(
    /// A media node; the same at every director and across restarts of its process.
    NodeId(u32)
);
id!(
    /// A title.
    TitleId(u64)
);
id!(
    /// A service group: its index in [`Terms::groups`](crate::Terms::groups).
    GroupId(u8)
);
