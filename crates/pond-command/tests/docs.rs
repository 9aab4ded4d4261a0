//! Checks that the generated documentation is up to date.

mod support;

use support::{command, root};

#[test]
fn generated_pages_are_up_to_date() {
    let pages = [
        ("docs events", "docs/EVENTS.md"),
        ("docs commands", "docs/COMMANDS.md"),
        ("docs openapi", "docs/contracts/operator.openapi.json"),
    ];
    for (line, file) in pages {
        let (result, printed) = command(line);
        assert!(result.is_ok(), "{result:?}");
        let committed = std::fs::read_to_string(root().join(file)).unwrap_or_default();
        assert!(committed == printed, "{file} is out of date: run `pondbay {line} > {file}`");
    }
}
