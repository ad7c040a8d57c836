//! One type for each kind of id.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($raw:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $raw);
    };
}

id!(
    /// A session as one director knows it; a viewer who comes again has a new one.
    SessId(u64)
);
id!(
    /// A media node; the same at every director, and kept over restarts of its process.
    NodeId(u32)
);
id!(
    /// What is watched.
    TitleId(u64)
);
id!(
    /// A service group, by its place in the terms.
    GroupId(u8)
);
