//! `pondbay help`.

use crate::table::Table;
use crate::{Call, Command, Error, Example, Exit, Out, Signature, all, find};

/// Prints the commands, or one of them.
pub struct Help;

impl Command for Help {
    fn name(&self) -> &'static str {
        "help"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("[COMMAND]", 0, 1)
    }

    fn description(&self) -> &'static str {
        "Prints all commands, or one with its flags and examples."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::new("help", "Show all commands", "explain"),
            Example::new("help apply", "Show one command", "pondbay apply"),
        ]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        if let Some(name) = call.arguments.first() {
            let command = find(name);
            let missing = || call.usage(format!("there is no command '{name}'"));
            return one(command.ok_or_else(missing)?, out);
        }
        out.line("pondbay keeps many small services fast while batch work fills the same VMs.\n")?;
        let mut table = Table::new(&["command", ""]);
        for command in all() {
            let name = format!("{} {}", command.name(), command.signature().arguments);
            table.row(vec![name.trim().to_owned(), command.description().to_owned()]);
        }
        table.lines().into_iter().skip(1).try_for_each(|line| out.line(line))?;
        out.line("\nsee `pondbay help COMMAND` for flags and examples")?;
        Ok(Exit::WELL)
    }
}

/// Prints the help of one command.
pub fn one(command: &dyn Command, out: &mut Out<'_>) -> Result<Exit, Error> {
    page(command).into_iter().try_for_each(|line| out.line(line))?;
    Ok(Exit::WELL)
}

/// The lines of a command's help.
pub fn page(command: &dyn Command) -> Vec<String> {
    let signature = command.signature();
    let flags = if signature.flags.is_empty() { "" } else { " [FLAGS]" };
    let name = format!("pondbay {} {}", command.name(), signature.arguments);
    let mut lines = vec![format!("{}{flags}", name.trim_end()), String::new()];
    lines.push(command.description().to_owned());
    if !signature.flags.is_empty() {
        lines.push("\nFlags:".to_owned());
        let mut table = Table::new(&["", "", ""]);
        for flag in &signature.flags {
            let name = format!("  --{} {}", flag.name, flag.value.unwrap_or(""));
            table.row(vec![name.trim_end().to_owned(), flag.text.to_owned()]);
        }
        lines.extend(table.lines().into_iter().skip(1));
    }
    lines.push("\nExamples:".to_owned());
    for example in command.examples() {
        lines.push(format!("  pondbay {}\n      {}", example.line, example.text));
    }
    lines
}
