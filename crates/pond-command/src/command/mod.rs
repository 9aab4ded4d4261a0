//! All commands, one per file.

mod apply;
mod audit;
mod cancel;
mod check;
mod describe;
mod docs;
mod drain;
mod evacuate;
mod explain;
mod get;
mod help;
mod label;
mod load;
mod local;
mod platform;
mod quota;
mod role;
mod status;
mod version;

use crate::{Command, Error, Exit, Output};

/// All commands, in the order of the help.
pub const ALL: &[&dyn Command] = &[
    &local::Local,
    &check::Check,
    &role::Control,
    &role::Entry,
    &role::Endpoint,
    &platform::Platform,
    &apply::Apply,
    &get::Get,
    &describe::Describe,
    &explain::Explain,
    &label::Label,
    &drain::Drain,
    &evacuate::Evacuate,
    &cancel::Cancel,
    &quota::Quota,
    &status::Status,
    &audit::Audit,
    &load::Load,
    &docs::Docs,
    &help::Help,
    &version::Version,
];

/// Prints the help of one command.
///
/// # Errors
/// [`Error::Write`] if the output cannot be written.
pub fn help_for(command: &dyn Command, out: &mut Output<'_>) -> Result<Exit, Error> {
    help::print_help(command, out)
}
