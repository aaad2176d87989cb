//! Stateful property tests of the core against simple oracles.
//!
//! `DUNLINSPRING_CASES` sets the number of cases and `DUNLINSPRING_SEED` the seed.

mod founding;
mod gate;
mod limits;
mod log;
mod members;
mod place;
mod view;

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with `cases` and a fixed seed, unless the environment sets others.
fn config(cases: u32) -> Config {
    let read = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    Config {
        cases: read("DUNLINSPRING_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(read("DUNLINSPRING_SEED").unwrap_or(20_261_202)),
        max_shrink_iters: 4_000,
        failure_persistence: None,
        ..Config::default()
    }
}
