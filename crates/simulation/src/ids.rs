//! Index types of the model. Each is a distinct type, so that the compiler rejects mix-ups. Routes,
//! builds, stages and hardware classes use the policy's types.

/// Declares an index into one of the model's tables.
macro_rules! index_type {
    ($(#[$attributes:meta])* $name:ident) => {
        $(#[$attributes])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) struct $name(usize);

        impl $name {
            /// Creates an index from a position.
            pub(crate) const fn new(position: usize) -> Self {
                Self(position)
            }

            /// Returns the position, for table look-ups and digests.
            pub(crate) const fn get(self) -> usize {
                self.0
            }
        }
    };
}

index_type!(
    /// Position of a proxy instance among the instances of the trial.
    InstanceIndex
);
index_type!(
    /// Position of an endpoint among all endpoints of the trial, including removed ones. Unlike the
    /// policy's `EndpointIndex`, it is never reused.
    EndpointId
);
index_type!(
    /// Position of a slot of the fleet. One endpoint serves in a slot at a time.
    SlotIndex
);
index_type!(
    /// Position of an availability zone.
    ZoneIndex
);
