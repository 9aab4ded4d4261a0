//! Links to endpoint processes, and the fate of offers whose link was lost.

use std::collections::BTreeMap;

use pond_proto::Micros;
use pond_proto::wire::{Fate, FateReply, OfferId};

use super::{Output, Router};
use crate::endpoint::ProcessKey;
use crate::request::{NotRun, OfferState};

impl Router {
    /// Opens and closes links so that there is one to each endpoint process of the configuration.
    pub(super) fn update_links(&mut self) {
        let wanted: BTreeMap<ProcessKey, String> =
            self.table.processes().map(|(key, process)| (key, process.address.clone())).collect();
        for (process, address) in &wanted {
            if self.linked.insert(*process) {
                let (process, address) = (*process, address.clone());
                self.outputs.push(Output::Connect { process, address });
            }
        }
        let unwanted: Vec<ProcessKey> =
            self.linked.iter().filter(|key| !wanted.contains_key(key)).copied().collect();
        for process in unwanted {
            self.linked.remove(&process);
            self.outputs.push(Output::Disconnect { process });
        }
    }

    /// Handles a new link to an endpoint process.
    pub fn link_up(&mut self, now: Micros, process: ProcessKey, incarnation: u64) {
        let Some(peer) = self.table.process_mut(process) else { return };
        peer.incarnation = Some(incarnation);
        let same = peer.last_incarnation == Some(incarnation);
        peer.last_incarnation = Some(incarnation);
        for endpoint in self.table.of_process(process) {
            endpoint.reported_leaving &= same;
        }
        self.resolve_offers(now, process, incarnation);
        self.offer_all_waiting(now);
    }

    /// Asks a process for the fate of offers whose link was lost. Offers to an earlier incarnation of
    /// the process may have run, and their answers are lost.
    pub(super) fn resolve_offers(&mut self, now: Micros, process: ProcessKey, incarnation: u64) {
        let mut offer_ids = Vec::new();
        let mut lost = Vec::new();
        for (id, pending) in &self.pending {
            for offer in pending.offers.iter().filter(|offer| offer.process == process) {
                let offer_id = OfferId { id: *id, attempt: offer.attempt };
                match offer.state {
                    OfferState::Unresolved if offer.incarnation == incarnation => {
                        offer_ids.push(offer_id)
                    }
                    OfferState::Unresolved => lost.push(offer_id),
                    _ => {}
                }
            }
        }
        offer_ids.sort_unstable();
        lost.sort_unstable();
        lost.into_iter().for_each(|offer| self.answer_lost(now, process, offer));
        if !offer_ids.is_empty() {
            self.outputs.push(Output::RequestFate { process, offers: offer_ids });
        }
    }

    /// Handles the loss of a link to an endpoint process.
    pub fn link_down(&mut self, now: Micros, process: ProcessKey) {
        if let Some(peer) = self.table.process_mut(process) {
            peer.incarnation = None;
        }
        let mut affected = Vec::new();
        for (id, pending) in &mut self.pending {
            for offer in pending.offers.iter_mut().filter(|offer| offer.process == process) {
                if offer.state == OfferState::Open {
                    offer.state = OfferState::Unresolved;
                    affected.push(*id);
                }
            }
        }
        affected.sort_unstable();
        affected.into_iter().for_each(|id| self.continue_after_possible_run(now, id));
    }

    /// Handles the fate of an offer, as reported by its endpoint process.
    pub fn fate_reported(&mut self, now: Micros, process: ProcessKey, report: FateReply) {
        if !self.was_offered_to(process, report.offer) {
            return;
        }
        match report.fate() {
            Fate::NotRun => {
                if self.close_offer(report.offer).is_some() {
                    self.continue_after_not_run(now, report.offer.id, NotRun::NoEndpoint);
                }
            }
            Fate::Lost => self.answer_lost(now, process, report.offer),
            Fate::Running => {
                let pending = self.pending.get_mut(&report.offer.id);
                let offers = pending.into_iter().flat_map(|pending| &mut pending.offers);
                for offer in offers.filter(|offer| offer.attempt == report.offer.attempt) {
                    if offer.state == OfferState::Unresolved {
                        offer.state = OfferState::Open;
                    }
                }
            }
        }
    }

    /// Handles the notice that an endpoint process takes no new offers for one endpoint, or for all of
    /// them if `task` is zero.
    pub fn endpoint_leaving(&mut self, process: ProcessKey, task: u64) {
        for endpoint in self.table.of_process(process) {
            endpoint.reported_leaving |= task == 0 || endpoint.key.0 == task;
        }
    }
}
