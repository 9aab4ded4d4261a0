//! One clock for all decisions, and it counts what a test lets pass.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pond_clock::{Clock, Manual};
use pond_proto::Millis;

#[test]
fn time_counts_from_the_start() {
    let manual = Arc::new(Manual::default());
    manual.pass(7_000);
    let clock = Clock::with_source(manual.clone());
    assert_eq!(clock.now(), Millis(0));
    manual.pass(5_000);
    assert_eq!((clock.now(), clock.wall()), (Millis(5_000), Millis(12_000)));
}

#[test]
fn clock_of_the_machine_goes_on() {
    let clock = Clock::new();
    let before = clock.elapsed();
    while clock.elapsed() == before {}
    assert!(clock.elapsed() > before);
}

/// Stand-ins for the platform have its clocks, which stand still during a suspension; this one measures
/// nothing that is decided by.
const EXEMPT: [&str; 1] = ["pond-standin"];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
}

/// Each shell once made its own time from the steady clock, six of them at last.
#[test]
fn no_decision_is_made_by_another_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("crates").to_owned();
    let mut found = Vec::new();
    for entry in fs::read_dir(&crates).expect("crates").flatten() {
        let exempt = EXEMPT.iter().any(|name| entry.path().ends_with(name));
        let folder = entry.path().join("src");
        if folder.is_dir() && !exempt {
            sources(&folder, &mut found);
        }
    }
    sources(&crates.parent().expect("the tree").join("platform/src"), &mut found);
    let own = |path: &&PathBuf| {
        let text = fs::read_to_string(path).expect("a source");
        text.contains("Millis(") && text.contains("elapsed().as_millis()")
            || text.contains("Micros(") && text.contains("start.elapsed().as_micros()")
    };
    let with_own: Vec<&PathBuf> =
        found.iter().filter(|path| !path.ends_with("pond-clock/src/lib.rs")).filter(own).collect();
    assert!(found.len() > 100 && with_own.is_empty(), "their own clocks: {with_own:?}");
}
