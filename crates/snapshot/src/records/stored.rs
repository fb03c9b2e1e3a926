//! Conversions between the policy's types and the numbers and arrays stored in the file, for
//! `#[serde(with = "…")]`.

/// Declares a `#[serde(with = "…")]` module that stores a type as a number.
macro_rules! stored_as_number {
    ($(#[$attributes:meta])* $module:ident, $value:ident, $number:ty, $get:ident, $new:ident) => {
        $(#[$attributes])*
        pub(super) mod $module {
            use serde::{Deserialize, Deserializer, Serialize, Serializer};
            use tidescale_policy::types::$value;

            pub(in super::super) fn serialize<S: Serializer>(
                value: &$value,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                value.$get().serialize(serializer)
            }

            pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<$value, D::Error> {
                <$number>::deserialize(deserializer).map($value::$new)
            }
        }
    };
}

stored_as_number!(
    /// Stores a `Timestamp` as microseconds since the Unix epoch.
    unix_micros,
    Timestamp,
    u64,
    as_micros,
    from_micros
);
stored_as_number!(
    /// Stores a `BuildNumber` as a number.
    build_number,
    BuildNumber,
    u32,
    get,
    new
);
stored_as_number!(
    /// Stores a `StageIndex` as a number.
    stage_index,
    StageIndex,
    u32,
    get,
    new
);

/// Stores a group of sums as an array, in the order that the type's conversion into an array has.
pub(super) mod array {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(in super::super) fn serialize<Sums, S: Serializer, const LENGTH: usize>(
        sums: &Sums,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        Sums: Copy + Into<[f64; LENGTH]>,
        [f64; LENGTH]: Serialize,
    {
        let stored: [f64; LENGTH] = (*sums).into();
        stored.serialize(serializer)
    }

    pub(in super::super) fn deserialize<'de, Sums, D: Deserializer<'de>, const LENGTH: usize>(
        deserializer: D,
    ) -> Result<Sums, D::Error>
    where
        Sums: From<[f64; LENGTH]>,
        [f64; LENGTH]: Deserialize<'de>,
    {
        <[f64; LENGTH]>::deserialize(deserializer).map(Sums::from)
    }
}

/// Stores the sums by zone as a pair of arrays: first the own zone's, then the other zones'.
pub(super) mod zone_pair {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use tidescale_policy::snapshot::{ByZone, ZoneSlowdownSums};
    use tidescale_policy::statistics::WeightedSum;

    pub(in super::super) fn serialize<S: Serializer>(
        sums: &ZoneSlowdownSums,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let stored: [[f64; 2]; 2] = [sums.own.into(), sums.other.into()];
        stored.serialize(serializer)
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<ZoneSlowdownSums, D::Error> {
        let [own, other] = <[[f64; 2]; 2]>::deserialize(deserializer)?.map(WeightedSum::from);
        Ok(ByZone { own, other })
    }
}
