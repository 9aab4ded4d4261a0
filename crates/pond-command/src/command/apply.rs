//! `pondbay apply`.

use std::path::Path;

use pond_proto::operator::{Accepted, ApplyOrder};
use pond_settings::{File, load};

use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

/// Creates or replaces units.
pub struct Apply;

impl Command for Apply {
    fn name(&self) -> &'static str {
        "apply"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("FILE", 1, 1).with_order_flags()
    }

    fn description(&self) -> &'static str {
        "Creates the units of a file, or replaces units with the same names. An invalid file is \
         rejected as a whole."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("apply examples/units/nightly.yaml", "Create units", "applied")]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let name = &call.arguments[0];
        let units = match load(Path::new(name))? {
            File::Units(units) => units,
            File::Installation(file) => file.units,
            File::Process(_) => return Err(call.usage_error(format!("{name} contains no units"))),
        };
        let order = ApplyOrder { origin: origin(call)?, units };
        let accepted = Client::from_call(call)?.post("/v1/units", &order)?;
        print_accepted(call, &accepted, out)
    }
}

/// Prints the result of an accepted order.
pub fn print_accepted(
    call: &Call,
    accepted: &Accepted,
    out: &mut Output<'_>,
) -> Result<Exit, Error> {
    if call.switch("json") {
        out.json(accepted)?;
    } else {
        out.line(format!("{} (version {})", accepted.what, accepted.version))?;
    }
    Ok(Exit::SUCCESS)
}
