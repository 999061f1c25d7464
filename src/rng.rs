//! Random numbers and hashes that are the same on every machine.

/// PCG XSH-RR 64/32 (O'Neill 2014).
pub struct Pcg(u64);

impl Pcg {
    const MULTIPLIER: u64 = 6364136223846793005;
    const INCREMENT: u64 = 1442695040888963407;

    /// Creates a generator whose numbers depend only on the seed.
    pub fn new(seed: u64) -> Pcg {
        let mut pcg = Pcg(seed.wrapping_add(Self::INCREMENT));
        pcg.next_u32();
        pcg
    }

    /// Returns the next number, uniformly distributed.
    pub fn next_u32(&mut self) -> u32 {
        let state = self.0;
        self.0 = state.wrapping_mul(Self::MULTIPLIER).wrapping_add(Self::INCREMENT);
        let xorshifted = (((state >> 18) ^ state) >> 27) as u32;
        xorshifted.rotate_right((state >> 59) as u32)
    }

    /// Returns a number that is uniformly distributed in 0..1.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4294967296.0
    }
}

/// Hashes a number with the finalizer of SplitMix64. Every balancer computes the same hash.
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hashes a text. Every balancer computes the same hash.
pub fn hash_text(text: &str) -> u64 {
    let word = |bytes: &[u8]| bytes.iter().fold(0, |word, &byte| word << 8 | u64::from(byte));
    text.as_bytes().chunks(8).fold(text.len() as u64, |hash, bytes| mix(hash ^ word(bytes)))
}
