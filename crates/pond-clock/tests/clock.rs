//! The clock, and the rule that all crates measure time with it.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pond_clock::{Clock, Manual};
use pond_proto::Millis;

#[test]
fn time_counts_from_the_start() {
    let manual = Arc::new(Manual::default());
    manual.advance(7_000);
    let clock = Clock::with_source(manual.clone());
    assert_eq!(clock.now(), Millis(0));
    manual.advance(5_000);
    assert_eq!((clock.now(), clock.wall()), (Millis(5_000), Millis(12_000)));
}

#[test]
fn system_clock_advances() {
    let clock = Clock::new();
    let before = clock.elapsed();
    while clock.elapsed() == before {}
    assert!(clock.elapsed() > before);
}

/// Crates that may use other clocks. The simulated platform has the clocks of the platform, which stop
/// during a suspension, and decides nothing by them.
const EXEMPT: [&str; 1] = ["pond-standin"];

fn find_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            find_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Guards against crates that derive timestamps from `std::time::Instant`, which stops during a suspension,
/// instead of `Clock`. Six of them did so before.
#[test]
fn no_crate_measures_time_with_another_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("crates").to_owned();
    let mut found = Vec::new();
    for entry in fs::read_dir(&crates).expect("crates").flatten() {
        let exempt = EXEMPT.iter().any(|name| entry.path().ends_with(name));
        let folder = entry.path().join("src");
        if folder.is_dir() && !exempt {
            find_sources(&folder, &mut found);
        }
    }
    find_sources(&crates.parent().expect("the tree").join("platform/src"), &mut found);
    let has_own_clock = |path: &&PathBuf| {
        let text = fs::read_to_string(path).expect("a source");
        text.contains("Millis(") && text.contains("elapsed().as_millis()")
            || text.contains("Micros(") && text.contains("start.elapsed().as_micros()")
    };
    let offenders: Vec<&PathBuf> = found
        .iter()
        .filter(|path| !path.ends_with("pond-clock/src/lib.rs"))
        .filter(has_own_clock)
        .collect();
    assert!(
        found.len() > 100 && offenders.is_empty(),
        "sources with a clock of their own: {offenders:?}"
    );
}
