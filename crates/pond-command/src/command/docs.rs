//! `pondbay docs`.

use super::help::page;
use crate::{Call, Command, Error, Example, Exit, Out, Signature, all};

/// Prints the pages that are made from the code.
pub struct Docs;

impl Command for Docs {
    fn name(&self) -> &'static str {
        "docs"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("events|commands|openapi", 1, 1)
    }

    fn description(&self) -> &'static str {
        "Prints a page that is made from the code: docs/EVENTS.md, docs/COMMANDS.md or \
         docs/contracts/operator.openapi.json."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::new("docs events", "The catalogue of log events", "| 100 | info |"),
            Example::new("docs commands", "All commands", "pondbay explain"),
            Example::new("docs openapi", "The operators' API", "\"openapi\""),
        ]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let text = match call.arguments[0].as_str() {
            "events" => pond_log::events::page(),
            "commands" => commands(),
            "openapi" => pond_control::openapi()?,
            other => return Err(call.usage(format!("there is no page '{other}'"))),
        };
        out.line(text.trim_end())?;
        Ok(Exit::WELL)
    }
}

/// The page of all commands.
fn commands() -> String {
    let mut text = String::from(
        "# Commands\n\nThis page is written by `pondbay docs commands` and checked by a test.\n",
    );
    for command in all() {
        text.push_str(&format!("\n## {}\n\n```\n", command.name()));
        text.push_str(&page(*command).join("\n"));
        text.push_str("\n```\n");
    }
    text
}
