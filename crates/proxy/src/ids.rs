//! Keys of connections and streams. Each table has a key type of its own, so that keys of different
//! tables cannot be confused.

use tidescale_policy::types::RequestId;

/// Identifies an entry of a [`Slots`](crate::slots::Slots) table, or a stream or deadline within
/// its component.
///
/// The key of an entry includes the generation of its slot, so that no two entries have the same
/// key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey(u64);

impl SlotKey {
    /// Creates a key from its numeric value.
    pub const fn new(number: u64) -> SlotKey {
        SlotKey(number)
    }

    /// Returns the numeric value.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the key with the next higher number.
    pub const fn next(self) -> SlotKey {
        SlotKey(self.0 + 1)
    }
}

/// Declares the key type of one table.
macro_rules! table_key {
    ($(#[$attributes:meta])* $name:ident) => {
        $(#[$attributes])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(SlotKey);

        impl From<SlotKey> for $name {
            fn from(key: SlotKey) -> $name {
                $name(key)
            }
        }

        impl From<$name> for SlotKey {
            fn from(key: $name) -> SlotKey {
                key.0
            }
        }
    };
}

table_key!(
    /// Identifies a client connection.
    ClientKey
);
table_key!(
    /// Identifies an endpoint connection.
    EndpointConnectionKey
);

impl From<SlotKey> for RequestId {
    fn from(key: SlotKey) -> RequestId {
        RequestId::new(key.get())
    }
}

impl From<RequestId> for SlotKey {
    fn from(id: RequestId) -> SlotKey {
        SlotKey::new(id.get())
    }
}
