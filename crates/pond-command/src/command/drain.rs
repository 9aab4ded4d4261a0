//! `pondbay drain`.

use pond_proto::Selector;
use pond_proto::operator::DrainOrder;

use super::apply::print_accepted;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Output, Signature};

/// Drains VMs, or returns them to use.
pub struct Drain;

impl Command for Drain {
    fn name(&self) -> &'static str {
        "drain"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("SELECTOR", 1, 1)
            .with_order_flags()
            .with_flag(Flag::switch("undo", "return the VMs to use"))
    }

    fn description(&self) -> &'static str {
        "Drains all VMs that match a selector: no new work is placed there, endpoints finish \
         their requests, and work moves to other VMs."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control("drain rack=matching-rack-1", "Drain a rack", "drained"),
            Example::with_control(
                "drain --undo rack=matching-rack-1",
                "Return the rack to use",
                "took back",
            ),
        ]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let selector =
            Selector::parse(&call.arguments[0]).map_err(|reason| call.usage_error(reason))?;
        if selector.is_empty() {
            return Err(call.usage_error("the selector is empty and would match every VM"));
        }
        let order = DrainOrder { origin: origin(call)?, selector, drained: !call.switch("undo") };
        let accepted = Client::from_call(call)?.post("/v1/drains", &order)?;
        print_accepted(call, &accepted, out)
    }
}
