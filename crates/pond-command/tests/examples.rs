//! The examples of every command run and print what they say.

mod support;

use pond_command::all;
use support::{command, example, start};

#[test]
fn examples_that_need_no_installation_run() {
    for command_ in all() {
        for example in command_.examples().iter().filter(|example| !example.needs_control) {
            let (result, printed) = command(example.line);
            assert!(result.is_ok(), "'{}': {result:?}", example.line);
            assert!(printed.contains(example.prints), "'{}' printed:\n{printed}", example.line);
        }
    }
}

#[test]
fn examples_that_need_an_installation_run() {
    let running = start(&example("found-property-matching.yaml"));
    running.wait_for("explain counter-query", "next best");
    running.wait_for("explain too-large", "none has");
    for command_ in all() {
        for example in command_.examples().iter().filter(|example| example.needs_control) {
            let (result, printed) = running.command(example.line);
            assert!(result.is_ok(), "'{}': {result:?}", example.line);
            assert!(printed.contains(example.prints), "'{}' printed:\n{printed}", example.line);
        }
    }
    running.installation.stop();
}

#[test]
fn every_command_has_an_example_and_a_description() {
    for command in all() {
        assert!(!command.examples().is_empty(), "{}", command.name());
        assert!(command.description().ends_with('.'), "{}", command.name());
    }
}
