//! Configuration of deterministic property tests.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with `count` cases from a fixed seed and without a file of past failures.
pub fn cases(count: u32) -> Config {
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(0x706f_6e64),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}
