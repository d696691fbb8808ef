//! Seeded randomness: one stream of draws for each purpose, so that a change to what one draws leaves the others as they
//! were.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What is drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Purpose {
    /// Delays, losses and duplicates of the network.
    Network,
    /// When events arrive, where, and for which destination.
    Traffic,
    /// When destinations fail and return.
    Destinations,
    /// Which relays fail or restart, and when.
    Failures,
    /// Seeds that are given to the cores.
    Cores,
    /// Changes of the configuration.
    Changes,
    /// How long destinations take to answer.
    Answers,
    /// Which machines a one-off event hits.
    Targets,
}

/// The draws of a purpose in a run of that seed.
pub fn stream(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(purpose as u64);
    random
}
