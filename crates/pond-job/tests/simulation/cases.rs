//! Runs many seeds in parallel.

use std::env;
use std::ops::Range;
use std::thread;

/// Threads that run seeds at the same time.
const THREADS: usize = 4;

/// Returns the result of each seed. The environment variable `variable` names the seeds as
/// `FIRST..END`; without it, `default_seeds` are run.
pub fn outcomes<T: Send + 'static>(
    variable: &str,
    default_seeds: Range<u64>,
    simulate: fn(u64) -> T,
) -> Vec<T> {
    let seeds: Vec<u64> = seeds(variable).unwrap_or(default_seeds).collect();
    let share = seeds.len().div_ceil(THREADS).max(1);
    let parts = seeds.chunks(share).map(<[u64]>::to_vec);
    let run =
        |part: Vec<u64>| thread::spawn(move || part.into_iter().map(simulate).collect::<Vec<T>>());
    let threads: Vec<_> = parts.map(run).collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("a case panicked")).collect()
}

fn seeds(variable: &str) -> Option<Range<u64>> {
    let text = env::var(variable).ok()?;
    let (first, end) = text.split_once("..").expect("seeds are FIRST..END");
    let number = |text: &str| text.parse().expect("seeds are FIRST..END");
    Some(number(first)..number(end))
}
