//! `pondbay cancel`.

use pond_proto::Selector;
use pond_proto::operator::CancelOrder;

use super::apply::accepted_line;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Out, Signature};

/// Cancels units.
pub struct Cancel;

impl Command for Cancel {
    fn name(&self) -> &'static str {
        "cancel"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("[UNIT ...]", 0, 10_000)
            .with_order_flags()
            .with_flag(Flag::value("selector", "SELECTOR", "all units with these labels"))
    }

    fn description(&self) -> &'static str {
        "Cancels units by name or by label. What was not started will not start; what runs is \
         stopped."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("cancel too-large", "Cancel one unit", "cancelled too-large")]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let parsed = call.value("selector").map(Selector::parse).transpose();
        let selector = parsed.map_err(|what| call.usage(what))?;
        let names = call.arguments.clone();
        if selector.is_some() != names.is_empty() {
            return Err(call.usage("give either names or --selector"));
        }
        let order = CancelOrder { origin: origin(call)?, names, selector };
        let accepted = Client::from_call(call)?.post("/v1/cancellations", &order)?;
        accepted_line(call, &accepted, out)
    }
}
