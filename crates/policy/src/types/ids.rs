//! Identifiers and indexes, each with a type of its own so that they cannot be mixed up.

use std::fmt;

/// Declares a type that wraps a number and is only good for identifying something.
macro_rules! numeric_newtype {
    ($(#[$attributes:meta])* $name:ident, $number:ty) => {
        $(#[$attributes])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name($number);

        impl $name {
            /// Wraps the bare number.
            pub const fn new(number: $number) -> Self {
                Self(number)
            }

            /// The bare number, for codecs, logs and collections.
            pub const fn get(self) -> $number {
                self.0
            }
        }

        impl From<$number> for $name {
            fn from(number: $number) -> Self {
                Self(number)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

numeric_newtype!(
    /// Identifies a request; the host chooses it and uses it for one open request at a time.
    RequestId,
    u64
);
numeric_newtype!(
    /// Position of an attempt among the attempts of its request, from 0.
    AttemptIndex,
    usize
);
numeric_newtype!(
    /// Position of an endpoint in the table of endpoints; reused once nothing refers to it.
    EndpointIndex,
    usize
);
numeric_newtype!(
    /// Position of a hardware class in the table of hardware classes.
    HardwareClassIndex,
    usize
);
numeric_newtype!(
    /// Position of a route in [`Settings::routes`](crate::settings::Settings::routes).
    RouteIndex,
    usize
);
numeric_newtype!(
    /// Number of a build; later builds have higher numbers.
    BuildNumber,
    u32
);
numeric_newtype!(
    /// Stage of a build's evaluation, from 0.
    StageIndex,
    u32
);

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt among those of the request.
    pub index: AttemptIndex,
}

impl AttemptId {
    /// The attempt at `index` of `request`.
    pub const fn new(request: RequestId, index: AttemptIndex) -> AttemptId {
        AttemptId { request, index }
    }
}
