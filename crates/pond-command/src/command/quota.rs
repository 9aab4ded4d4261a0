//! `pondbay quota`.

use std::collections::BTreeMap;

use pond_proto::Size;
use pond_proto::operator::QuotaOrder;

use super::apply::print_accepted;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

/// Limits the resources of a team.
pub struct Quota;

impl Command for Quota {
    fn name(&self) -> &'static str {
        "quota"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("TEAM PROCESSORS MEMORY_MIB ACCELERATORS", 4, 4)
            .with_order_flags()
    }

    fn description(&self) -> &'static str {
        "Limits the resources that the running work of a team may use at one time."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control(
            "quota photo-night 256 400000 8",
            "Set the quota of a team",
            "set quotas photo-night",
        )]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let number = |i: usize| {
            let text = &call.arguments[i];
            let parsed = text.parse::<f64>().ok().filter(|n| (0.0..4e6).contains(n));
            parsed.ok_or_else(|| call.usage_error(format!("'{text}' is not a valid amount")))
        };
        let size = Size::new((number(1)? * 1000.0) as u32, number(2)? as u32, number(3)? as u32);
        let teams = BTreeMap::from([(call.arguments[0].clone(), size)]);
        let order = QuotaOrder { origin: origin(call)?, teams };
        let accepted = Client::from_call(call)?.post("/v1/quotas", &order)?;
        print_accepted(call, &accepted, out)
    }
}
