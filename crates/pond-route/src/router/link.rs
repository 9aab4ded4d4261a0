//! Links to endpoint processes, and the fate of offers whose link was lost.

use std::collections::BTreeMap;

use pond_proto::Micros;
use pond_proto::wire::{Fate, FateTell, OfferId};

use super::{Output, Router};
use crate::endpoint::ProcessKey;
use crate::request::{NotRun, OfferState};

impl Router {
    pub(super) fn update_links(&mut self) {
        let wanted: BTreeMap<ProcessKey, String> =
            self.table.processes().map(|(key, process)| (key, process.address.clone())).collect();
        for (process, address) in &wanted {
            if self.linked.insert(*process) {
                let (process, address) = (*process, address.clone());
                self.outputs.push(Output::Connect { process, address });
            }
        }
        let gone: Vec<ProcessKey> =
            self.linked.iter().filter(|key| !wanted.contains_key(key)).copied().collect();
        for process in gone {
            self.linked.remove(&process);
            self.outputs.push(Output::Disconnect { process });
        }
    }

    /// A link to an endpoint process is up.
    pub fn link_up(&mut self, now: Micros, process: ProcessKey, life: u64) {
        let Some(entry) = self.table.process_mut(process) else { return };
        entry.life = Some(life);
        let same = entry.last_life == Some(life);
        entry.last_life = Some(life);
        for endpoint in self.table.behind(process) {
            endpoint.refused &= same;
        }
        self.resolve_limbo(now, process, life);
        self.offer_all_waiting(now);
    }

    /// Asks for the fate of offers whose link was lost; those to another life may have run.
    pub(super) fn resolve_limbo(&mut self, now: Micros, process: ProcessKey, life: u64) {
        let mut ask = Vec::new();
        let mut lost = Vec::new();
        for (id, flight) in &self.flights {
            for offer in flight.offers.iter().filter(|offer| offer.process == process) {
                let name = OfferId { id: *id, attempt: offer.attempt };
                match offer.state {
                    OfferState::Limbo if offer.life == life => ask.push(name),
                    OfferState::Limbo => lost.push(name),
                    _ => {}
                }
            }
        }
        ask.sort_unstable();
        lost.sort_unstable();
        lost.into_iter().for_each(|offer| self.answer_lost(now, process, offer));
        if !ask.is_empty() {
            self.outputs.push(Output::AskFate { process, offers: ask });
        }
    }

    /// A link to an endpoint process is lost.
    pub fn link_down(&mut self, now: Micros, process: ProcessKey) {
        if let Some(entry) = self.table.process_mut(process) {
            entry.life = None;
        }
        let mut touched = Vec::new();
        for (id, flight) in &mut self.flights {
            for offer in flight.offers.iter_mut().filter(|offer| offer.process == process) {
                if offer.state == OfferState::Open {
                    offer.state = OfferState::Limbo;
                    touched.push(*id);
                }
            }
        }
        touched.sort_unstable();
        touched.into_iter().for_each(|id| self.settle(now, id));
    }

    /// An endpoint process told the fate of an offer.
    pub fn fate_reported(&mut self, now: Micros, process: ProcessKey, tell: FateTell) {
        if !self.is_from(process, tell.offer) {
            return;
        }
        match tell.fate() {
            Fate::NotRun => {
                if self.close(tell.offer).is_some() {
                    self.again(now, tell.offer.id, NotRun::NoEndpoint);
                }
            }
            Fate::Lost => self.answer_lost(now, process, tell.offer),
            Fate::Running => {
                let flight = self.flights.get_mut(&tell.offer.id);
                let offers = flight.into_iter().flat_map(|flight| &mut flight.offers);
                for offer in offers.filter(|offer| offer.attempt == tell.offer.attempt) {
                    if offer.state == OfferState::Limbo {
                        offer.state = OfferState::Open;
                    }
                }
            }
        }
    }

    /// An endpoint process takes nothing new for one endpoint, or (task zero) for all.
    pub fn endpoint_leaving(&mut self, process: ProcessKey, task: u64) {
        for endpoint in self.table.behind(process) {
            endpoint.refused |= task == 0 || endpoint.key.0 == task;
        }
    }
}
