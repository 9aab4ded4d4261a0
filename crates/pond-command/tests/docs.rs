//! The pages that are made from the code are up to date.

mod support;

use support::{command, root};

#[test]
fn pages_made_from_the_code_are_up_to_date() {
    let pages = [
        ("docs events", "docs/EVENTS.md"),
        ("docs commands", "docs/COMMANDS.md"),
        ("docs openapi", "docs/contracts/operator.openapi.json"),
    ];
    for (line, file) in pages {
        let (result, printed) = command(line);
        assert!(result.is_ok(), "{result:?}");
        let kept = std::fs::read_to_string(root().join(file)).unwrap_or_default();
        assert!(kept == printed, "{file} is out of date: run `pondbay {line} > {file}`");
    }
}
