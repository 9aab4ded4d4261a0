//! Data centres in which an operator has stopped placements. Tasks that already run there continue.

use pond_proto::Millis;
use serde::{Deserialize, Serialize};

use crate::change::Meta;
use crate::operate::Effect;
use crate::reply::Refusal;
use crate::state::State;

/// An evacuation that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The operator who ordered it.
    pub who: String,
    /// When it was ordered.
    pub since: Millis,
}

impl State {
    /// Returns the evacuated data centres, by name.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, &Evacuation)> + '_ {
        self.evacuations.iter().map(|(name, evacuation)| (name.as_str(), evacuation))
    }

    /// Stops placing work in a data centre, or allows it again. A data centre without VMs can only
    /// be taken back into use.
    pub(crate) fn evacuate(
        &mut self,
        meta: &Meta,
        data_centre: &str,
        evacuated: bool,
    ) -> Result<Effect, Refusal> {
        let mut known = self.evacuations.contains_key(data_centre);
        for record in self.vms.values_mut() {
            if !data_centre.is_empty() && record.vm.data_centre() == data_centre {
                record.evacuated = evacuated;
                known = true;
            }
        }
        if !known {
            return Err(Refusal::NoMatch { what: format!("VMs in the data centre {data_centre}") });
        }
        if evacuated {
            let order = Evacuation { who: meta.who.clone(), since: self.clock };
            self.evacuations.entry(data_centre.to_owned()).or_insert(order);
        } else {
            self.evacuations.remove(data_centre);
        }
        self.room += 1;
        let word = if evacuated { "evacuated" } else { "took back" };
        Ok(Effect::new(format!("{word} {data_centre}")))
    }
}
