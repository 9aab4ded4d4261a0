//! `pondbay label`.

use pond_proto::operator::LabelOrder;
use pond_proto::{Labels, Selector};

use super::apply::print_accepted;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

/// Sets and removes labels.
pub struct Label;

impl Command for Label {
    fn name(&self) -> &'static str {
        "label"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("vms|units SELECTOR KEY=VALUE|KEY- ...", 3, 64)
            .with_order_flags()
    }

    fn description(&self) -> &'static str {
        "Sets labels (KEY=VALUE) and removes them (KEY-) on all VMs or units that match a selector."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control(
            "label vms data-centre=negombo nightly=yes",
            "Label the VMs of a data centre",
            "labelled VMs",
        )]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let vms = match call.arguments[0].as_str() {
            "vms" => true,
            "units" => false,
            other => return Err(call.usage_error(format!("use vms or units, not '{other}'"))),
        };
        let selector =
            Selector::parse(&call.arguments[1]).map_err(|reason| call.usage_error(reason))?;
        let mut set = Labels::new();
        let mut unset = Vec::new();
        for arg in &call.arguments[2..] {
            match (arg.split_once('='), arg.strip_suffix('-')) {
                (Some((key, value)), _) if !key.is_empty() && !value.is_empty() => {
                    set.insert(key.to_owned(), value.to_owned());
                }
                (None, Some(key)) if !key.is_empty() => unset.push(key.to_owned()),
                _ => return Err(call.usage_error(format!("'{arg}' must be KEY=VALUE or KEY-"))),
            }
        }
        let order = LabelOrder { origin: origin(call)?, vms, selector, set, unset };
        let accepted = Client::from_call(call)?.post("/v1/labels", &order)?;
        print_accepted(call, &accepted, out)
    }
}
