//! Indexes of the model, each with a type of its own so that they cannot be mixed up. Routes,
//! builds, stages and hardware classes have the policy's types.

/// Declares an index into one of the model's tables.
macro_rules! index_type {
    ($(#[$attributes:meta])* $name:ident) => {
        $(#[$attributes])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) struct $name(usize);

        impl $name {
            /// Wraps the bare position.
            pub(crate) const fn new(position: usize) -> Self {
                Self(position)
            }

            /// The bare position, for tables and digests.
            pub(crate) const fn get(self) -> usize {
                self.0
            }
        }
    };
}

index_type!(
    /// Position of a proxy instance among those of the trial.
    InstanceIndex
);
index_type!(
    /// Position of an endpoint among all endpoints that the trial has ever had. Unlike the policy's
    /// `EndpointIndex` it is never reused.
    EndpointId
);
index_type!(
    /// Position of a slot of the fleet, in which one endpoint serves at a time.
    SlotIndex
);
index_type!(
    /// Position of an availability zone.
    ZoneIndex
);
