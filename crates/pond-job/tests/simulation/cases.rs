//! Plays cases of many seeds at the same time.

use std::env;
use std::ops::Range;
use std::thread;

/// Cases that are played at the same time.
const THREADS: usize = 4;

/// What came of each seed: of those that the variable names as `FIRST..END`, else of those that are kept.
pub fn outcomes<T: Send + 'static>(variable: &str, kept: Range<u64>, play: fn(u64) -> T) -> Vec<T> {
    let seeds: Vec<u64> = seeds(variable).unwrap_or(kept).collect();
    let share = seeds.len().div_ceil(THREADS).max(1);
    let parts = seeds.chunks(share).map(<[u64]>::to_vec);
    let run =
        |part: Vec<u64>| thread::spawn(move || part.into_iter().map(play).collect::<Vec<T>>());
    let threads: Vec<_> = parts.map(run).collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("a case panicked")).collect()
}

fn seeds(variable: &str) -> Option<Range<u64>> {
    let text = env::var(variable).ok()?;
    let (first, end) = text.split_once("..").expect("seeds are FIRST..END");
    let number = |text: &str| text.parse().expect("seeds are FIRST..END");
    Some(number(first)..number(end))
}
