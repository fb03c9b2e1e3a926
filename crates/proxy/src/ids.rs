//! Identifiers of connections and streams, each with a type of its own so that they cannot be mixed
//! up.

use tidescale_policy::types::RequestId;

/// Identifies an entry of a table of slots, or a stream among those of its component.
///
/// The number includes the generation of the slot, so that a key is never used for two entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey(u64);

impl SlotKey {
    /// Wraps the bare number.
    pub const fn new(number: u64) -> SlotKey {
        SlotKey(number)
    }

    /// The bare number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The key that follows.
    pub const fn next(self) -> SlotKey {
        SlotKey(self.0 + 1)
    }
}

/// Declares the key of one table.
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
    /// Identifies the connection of a client.
    ClientKey
);
table_key!(
    /// Identifies a connection to an endpoint.
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
