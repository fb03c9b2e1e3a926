//! A digest over a sequence of numbers, for comparing two runs.

/// A 64-bit FNV-1a hash over the little-endian bytes of each number. Not cryptographically secure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    /// Adds one number to the digest.
    pub fn add(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(Self::PRIME);
        }
    }

    /// Returns the digest of all numbers added so far.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl Default for Digest {
    fn default() -> Self {
        Digest(Self::OFFSET_BASIS)
    }
}
