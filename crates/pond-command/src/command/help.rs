//! `pondbay help`.

use crate::table::Table;
use crate::{Call, Command, Error, Example, Exit, Output, Signature, all, find};

/// Prints the help of all commands or of one.
pub struct Help;

impl Command for Help {
    fn name(&self) -> &'static str {
        "help"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("[COMMAND]", 0, 1)
    }

    fn description(&self) -> &'static str {
        "Lists all commands, or prints the flags and examples of one command."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::new("help", "List all commands", "explain"),
            Example::new("help apply", "Show the help of a command", "pondbay apply"),
        ]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        if let Some(name) = call.arguments.first() {
            let command = find(name);
            let unknown = || call.usage_error(format!("unknown command '{name}'"));
            return print_help(command.ok_or_else(unknown)?, out);
        }
        out.line("pondbay runs low-latency services and batch work on the same VMs.\n")?;
        let mut table = Table::new(&["command", ""]);
        for command in all() {
            let name = format!("{} {}", command.name(), command.signature().arguments);
            table.row(vec![name.trim().to_owned(), command.description().to_owned()]);
        }
        table.lines().into_iter().skip(1).try_for_each(|line| out.line(line))?;
        out.line("\nsee `pondbay help COMMAND` for flags and examples")?;
        Ok(Exit::SUCCESS)
    }
}

/// Prints the help of one command.
pub fn print_help(command: &dyn Command, out: &mut Output<'_>) -> Result<Exit, Error> {
    help_lines(command).into_iter().try_for_each(|line| out.line(line))?;
    Ok(Exit::SUCCESS)
}

/// Returns the lines of a command's help.
pub fn help_lines(command: &dyn Command) -> Vec<String> {
    let signature = command.signature();
    let flags = if signature.flags.is_empty() { "" } else { " [FLAGS]" };
    let name = format!("pondbay {} {}", command.name(), signature.arguments);
    let mut lines = vec![format!("{}{flags}", name.trim_end()), String::new()];
    lines.push(command.description().to_owned());
    if !signature.flags.is_empty() {
        lines.push("\nFlags:".to_owned());
        let mut table = Table::new(&["", "", ""]);
        for flag in &signature.flags {
            let name = format!("  --{} {}", flag.name, flag.value_name.unwrap_or(""));
            table.row(vec![name.trim_end().to_owned(), flag.description.to_owned()]);
        }
        lines.extend(table.lines().into_iter().skip(1));
    }
    lines.push("\nExamples:".to_owned());
    for example in command.examples() {
        lines.push(format!("  pondbay {}\n      {}", example.command_line, example.description));
    }
    lines
}
