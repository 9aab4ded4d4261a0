//! `pondbay drain`.

use pond_proto::Selector;
use pond_proto::operator::DrainOrder;

use super::apply::accepted_line;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Out, Signature};

/// Takes VMs out of use.
pub struct Drain;

impl Command for Drain {
    fn name(&self) -> &'static str {
        "drain"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("SELECTOR", 1, 1)
            .with_order_flags()
            .with_flag(Flag::switch("undo", "take them back into use"))
    }

    fn description(&self) -> &'static str {
        "Takes all VMs that match a selector out of use: nothing new is placed there, endpoints \
         finish their requests, and work moves elsewhere."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control("drain rack=matching-rack-1", "Empty a rack", "drained"),
            Example::with_control("drain --undo rack=matching-rack-1", "Use it again", "took back"),
        ]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let selector = Selector::parse(&call.arguments[0]).map_err(|what| call.usage(what))?;
        if selector.is_empty() {
            return Err(call.usage("the selector is empty and would drain every VM"));
        }
        let order = DrainOrder { origin: origin(call)?, selector, drained: !call.switch("undo") };
        let accepted = Client::from_call(call)?.post("/v1/drains", &order)?;
        accepted_line(call, &accepted, out)
    }
}
