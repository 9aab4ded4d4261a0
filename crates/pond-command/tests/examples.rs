//! Runs the examples of every command and checks their output.

mod support;

use pond_command::all;
use support::{command, example, start};

#[test]
fn examples_that_need_no_installation_run() {
    for each in all() {
        for example in each.examples().iter().filter(|example| !example.needs_control) {
            let (result, printed) = command(example.command_line);
            assert!(result.is_ok(), "'{}': {result:?}", example.command_line);
            assert!(
                printed.contains(example.expected_output),
                "'{}' printed:\n{printed}",
                example.command_line
            );
        }
    }
}

#[test]
fn examples_that_need_an_installation_run() {
    let running = start(&example("found-property-matching.yaml"));
    running.wait_for("explain counter-query", "next best");
    running.wait_for("explain too-large", "none has");
    for each in all() {
        for example in each.examples().iter().filter(|example| example.needs_control) {
            let (result, printed) = running.command(example.command_line);
            assert!(result.is_ok(), "'{}': {result:?}", example.command_line);
            assert!(
                printed.contains(example.expected_output),
                "'{}' printed:\n{printed}",
                example.command_line
            );
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
