//! Finds and runs commands.

use crate::command;
use crate::{Call, Command, Error, Exit, Output};

/// Returns all commands, in the order of the help.
pub fn all() -> &'static [&'static dyn Command] {
    command::ALL
}

/// Returns the command with the given name.
pub fn find(name: &str) -> Option<&'static dyn Command> {
    all().iter().find(|command| command.name() == name).copied()
}

/// Runs a command line; `args` excludes the program name.
///
/// # Errors
/// [`Error::Usage`] if there is no such command or its arguments are invalid, or the error of the
/// command.
pub fn run(args: &[String], out: &mut Output<'_>) -> Result<Exit, Error> {
    let (name, rest) = match args.split_first() {
        None => ("help", &[][..]),
        Some((name, rest)) => (name.as_str(), rest),
    };
    let name = match name {
        "--help" | "-h" => "help",
        "--version" | "-V" => "version",
        other => other,
    };
    let Some(command) = find(name) else {
        let message = format!("unknown command '{name}'");
        return Err(Error::Usage { command: String::new(), message });
    };
    if rest.iter().any(|arg| arg == "--help") {
        return command::help_for(command, out);
    }
    let call = Call::parse(command, rest)?;
    command.run(&call, out)
}
