//! `pondbay evacuate`.

use pond_proto::operator::EvacuateOrder;

use super::apply::accepted_line;
use crate::client::origin;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Out, Signature};

/// Places nothing more in a data centre.
pub struct Evacuate;

impl Command for Evacuate {
    fn name(&self) -> &'static str {
        "evacuate"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("DATA-CENTRE", 1, 1)
            .with_order_flags()
            .with_flag(Flag::switch("undo", "use it again"))
    }

    fn description(&self) -> &'static str {
        "Places nothing more in a data centre, VMs that come up there later among them. What runs \
         there goes on; `pondbay drain` moves it."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control("evacuate negombo", "Place nothing more there", "evacuated"),
            Example::with_control("evacuate --undo negombo", "Use it again", "took back"),
        ]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let data_centre = call.arguments[0].clone();
        if data_centre.is_empty() {
            return Err(call.usage("name a data centre"));
        }
        let evacuated = !call.switch("undo");
        let order = EvacuateOrder { origin: origin(call)?, data_centre, evacuated };
        let accepted = Client::from_call(call)?.post("/v1/evacuations", &order)?;
        accepted_line(call, &accepted, out)
    }
}
