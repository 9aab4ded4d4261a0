//! Load-balancing policies: how to choose among the endpoints that can take a request.

use pond_proto::Micros;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::endpoint::{Endpoint, EndpointKey};

/// A load-balancing policy.
pub trait Policy: std::fmt::Debug + Send {
    /// Chooses one of the candidates; there must be at least one.
    fn pick(&mut self, now: Micros, candidates: &[&Endpoint], rng: &mut SmallRng) -> EndpointKey;
}

/// The available policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest open offers of this entry.
    LeastOpen,
    /// Of two random endpoints, the one with the lower expected latency.
    TwoChoices,
    /// The endpoint with the most granted slots that this entry does not use yet.
    Grants,
}

impl PolicyKind {
    /// Creates the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            PolicyKind::Random => Box::new(Random),
            PolicyKind::LeastOpen => Box::new(LeastOpen),
            PolicyKind::TwoChoices => Box::new(TwoChoices),
            PolicyKind::Grants => Box::new(Grants),
        }
    }
}

#[derive(Debug)]
struct Random;

impl Policy for Random {
    fn pick(&mut self, _now: Micros, candidates: &[&Endpoint], rng: &mut SmallRng) -> EndpointKey {
        candidates[rng.random_range(0..candidates.len())].key
    }
}

#[derive(Debug)]
struct LeastOpen;

impl Policy for LeastOpen {
    fn pick(&mut self, _now: Micros, candidates: &[&Endpoint], rng: &mut SmallRng) -> EndpointKey {
        let least = candidates.iter().map(|endpoint| endpoint.open_offers).min().unwrap_or(0);
        let tied: Vec<_> =
            candidates.iter().filter(|endpoint| endpoint.open_offers == least).collect();
        tied[rng.random_range(0..tied.len())].key
    }
}

#[derive(Debug)]
struct Grants;

impl Policy for Grants {
    fn pick(&mut self, _now: Micros, candidates: &[&Endpoint], rng: &mut SmallRng) -> EndpointKey {
        let unused = |endpoint: &Endpoint| endpoint.grant.saturating_sub(endpoint.open_offers);
        let most = candidates.iter().map(|endpoint| unused(endpoint)).max().unwrap_or(0);
        let tied: Vec<_> = candidates.iter().filter(|endpoint| unused(endpoint) == most).collect();
        tied[rng.random_range(0..tied.len())].key
    }
}

#[derive(Debug)]
struct TwoChoices;

impl Policy for TwoChoices {
    fn pick(&mut self, now: Micros, candidates: &[&Endpoint], rng: &mut SmallRng) -> EndpointKey {
        let first = rng.random_range(0..candidates.len());
        if candidates.len() == 1 {
            return candidates[0].key;
        }
        let step = rng.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let (a, b) = (candidates[first], candidates[second]);
        if a.cost(now) <= b.cost(now) { a.key } else { b.key }
    }
}
