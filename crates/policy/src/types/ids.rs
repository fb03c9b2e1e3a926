//! Newtypes for identifiers and indexes, so that the compiler rejects one in place of another.

use std::fmt;

/// Declares a newtype over an integer that supports comparison, hashing and display but no
/// arithmetic.
macro_rules! numeric_newtype {
    ($(#[$attributes:meta])* $name:ident, $number:ty) => {
        $(#[$attributes])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name($number);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: $number) -> Self {
                Self(number)
            }

            /// Returns the wrapped number, for codecs, logs and collections.
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
    /// Identifies a request. The host assigns it; no two open requests share one.
    RequestId,
    u64
);
numeric_newtype!(
    /// Index of an attempt among the attempts of its request, from 0.
    AttemptIndex,
    usize
);
numeric_newtype!(
    /// Index of an endpoint in the table of endpoints; reused once nothing refers to it.
    EndpointIndex,
    usize
);
numeric_newtype!(
    /// Index of a hardware class in the table of hardware classes.
    HardwareClassIndex,
    usize
);
numeric_newtype!(
    /// Index of a route in [`Settings::routes`](crate::settings::Settings::routes).
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
    /// The request to which the attempt belongs.
    pub request: RequestId,
    /// The index of the attempt within the request.
    pub index: AttemptIndex,
}

impl AttemptId {
    /// Creates the id of the attempt at `index` of `request`.
    pub const fn new(request: RequestId, index: AttemptIndex) -> AttemptId {
        AttemptId { request, index }
    }
}
