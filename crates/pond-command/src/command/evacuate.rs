//! `pondbay evacuate`.

use pond_proto::operator::EvacuateOrder;

use super::apply::print_accepted;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Output, Signature};

/// Evacuates a data centre, or readmits it.
pub struct Evacuate;

impl Command for Evacuate {
    fn name(&self) -> &'static str {
        "evacuate"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("DATA-CENTRE", 1, 1)
            .with_order_flags()
            .with_flag(Flag::switch("undo", "readmit the data centre"))
    }

    fn description(&self) -> &'static str {
        "Stops placing work in a data centre, including VMs that start there later. Running work \
         continues; `pondbay drain` moves it."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control(
                "evacuate negombo",
                "Stop placing work in a data centre",
                "evacuated",
            ),
            Example::with_control(
                "evacuate --undo negombo",
                "Readmit the data centre",
                "took back",
            ),
        ]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let data_centre = call.arguments[0].clone();
        if data_centre.is_empty() {
            return Err(call.usage_error("the data centre is empty"));
        }
        let evacuated = !call.switch("undo");
        let order = EvacuateOrder { origin: origin(call)?, data_centre, evacuated };
        let accepted = Client::from_call(call)?.post("/v1/evacuations", &order)?;
        print_accepted(call, &accepted, out)
    }
}
