//! `pondbay cancel`.

use pond_proto::Selector;
use pond_proto::operator::CancelOrder;

use super::apply::print_accepted;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Output, Signature};

/// Cancels units.
pub struct Cancel;

impl Command for Cancel {
    fn name(&self) -> &'static str {
        "cancel"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("[UNIT ...]", 0, 10_000).with_order_flags().with_flag(
            Flag::value("selector", "SELECTOR", "cancel all units that match this selector"),
        )
    }

    fn description(&self) -> &'static str {
        "Cancels units by name or by label. Pending work does not start; running work is stopped."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("cancel too-large", "Cancel one unit", "cancelled too-large")]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let parsed = call.value("selector").map(Selector::parse).transpose();
        let selector = parsed.map_err(|reason| call.usage_error(reason))?;
        let names = call.arguments.clone();
        if selector.is_some() != names.is_empty() {
            return Err(call.usage_error("specify either unit names or --selector"));
        }
        let order = CancelOrder { origin: origin(call)?, names, selector };
        let accepted = Client::from_call(call)?.post("/v1/cancellations", &order)?;
        print_accepted(call, &accepted, out)
    }
}
