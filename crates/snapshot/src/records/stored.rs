//! How values of the policy are stored: conversions between its types and the numbers and arrays
//! of the file, for `#[serde(with = "…")]`.

/// A `Timestamp` is stored as the number of microseconds since the Unix epoch.
pub(super) mod unix_micros {
    use serde::{Deserialize, Deserializer, Serializer};
    use tidescale_policy::types::Timestamp;

    pub(in super::super) fn serialize<S: Serializer>(
        time: &Timestamp,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(time.as_micros())
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Timestamp, D::Error> {
        u64::deserialize(deserializer).map(Timestamp::from_micros)
    }
}

/// A `BuildNumber` is stored as its number.
pub(super) mod build_number {
    use serde::{Deserialize, Deserializer, Serializer};
    use tidescale_policy::types::BuildNumber;

    pub(in super::super) fn serialize<S: Serializer>(
        build: &BuildNumber,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u32(build.get())
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BuildNumber, D::Error> {
        u32::deserialize(deserializer).map(BuildNumber::new)
    }
}

/// A `StageIndex` is stored as its number.
pub(super) mod stage_index {
    use serde::{Deserialize, Deserializer, Serializer};
    use tidescale_policy::types::StageIndex;

    pub(in super::super) fn serialize<S: Serializer>(
        stage: &StageIndex,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u32(stage.get())
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<StageIndex, D::Error> {
        u32::deserialize(deserializer).map(StageIndex::new)
    }
}

/// Sums that belong together are stored as an array, in the order of the type's conversion.
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

/// Sums of each zone are stored as a pair of arrays: the own zone's, then the others'.
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
