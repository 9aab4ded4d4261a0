//! All commands.

use crate::command;
use crate::{Call, Command, Error, Exit, Out};

/// All commands, in the order of the help.
pub fn all() -> &'static [&'static dyn Command] {
    command::ALL
}

/// The command of that name.
pub fn find(name: &str) -> Option<&'static dyn Command> {
    all().iter().find(|command| command.name() == name).copied()
}

/// Runs the command line `words`, without the program's name.
///
/// # Errors
/// What the command says.
pub fn run(words: &[String], out: &mut Out<'_>) -> Result<Exit, Error> {
    let (name, rest) = match words.split_first() {
        None => ("help", &[][..]),
        Some((name, rest)) => (name.as_str(), rest),
    };
    let name = match name {
        "--help" | "-h" => "help",
        "--version" | "-V" => "version",
        other => other,
    };
    let Some(command) = find(name) else {
        let message = format!("there is no command '{name}'");
        return Err(Error::Usage { command: String::new(), message });
    };
    if rest.iter().any(|word| word == "--help") {
        return command::help_for(command, out);
    }
    let call = Call::read(command, rest)?;
    command.run(&call, out)
}
