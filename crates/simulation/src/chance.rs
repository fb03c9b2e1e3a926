//! Draws, each from a stream of its own, so that one part's draws do not move another's.

use oorandom::Rand64;

pub struct Chance(Rand64);

impl Chance {
    /// `part` tells the streams of one seed apart.
    pub fn new(seed: u64, part: u64) -> Chance {
        let mixed = (u128::from(seed) << 64 | u128::from(part))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        Chance(Rand64::new(mixed))
    }
    pub fn share(&mut self) -> f64 {
        self.0.rand_float()
    }
    pub fn of(&mut self, share: f64) -> bool {
        self.share() < share
    }
    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.share()
    }
    pub fn below(&mut self, n: usize) -> usize {
        (self.0.rand_u64() % n.max(1) as u64) as usize
    }
    /// Exponential, of this mean.
    pub fn gap(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.share()).max(1e-12).ln()
    }
    /// A sum of four exponentials: mean 1, half as wide as one.
    pub fn work(&mut self) -> f64 {
        (0..4).map(|_| self.gap(0.25)).sum()
    }
}
