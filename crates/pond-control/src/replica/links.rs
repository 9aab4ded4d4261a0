//! Links to other replicas, entries and endpoint processes.

use pond_link::{Event, EventKind, LinkKey};
use pond_log::event;
use pond_proto::Millis;
use pond_proto::quorum::{Announce, Body as QuorumBody, Envelope};
use pond_proto::wire::{Body, Heartbeat, Role as WireRole};
use pond_quorum::{Core, Input as QuorumInput, Start, Tuning};

use super::Replica;

impl Replica {
    pub(super) fn link(&mut self, now: Millis, event: Event) {
        match event.kind {
            EventKind::Up { hello, sender, .. } => {
                let role = hello.role();
                self.links.insert(event.link, (role, hello.name.clone()));
                if role == WireRole::Control {
                    let announce =
                        QuorumBody::Announce(self.formation.announce(self.core.last_index()));
                    let envelope = Envelope {
                        from: self.core.id(),
                        to: 0,
                        term: self.core.term(),
                        body: Some(announce),
                    };
                    sender.send(Body::Quorum(envelope));
                    event!(self.parts.log, LINK_UP, "peer" => hello.name.clone());
                    self.peers.insert(hello.name, (event.link, sender));
                } else {
                    let (leader, term) = self.announced.clone();
                    self.publisher.link_up(event.link, &hello, sender);
                    self.publisher.send_heartbeat(event.link, &leader, term);
                }
            }
            EventKind::Down(error) => self.link_down(event.link, &error),
            EventKind::Frame(body) => self.frame(now, event.link, body),
        }
    }

    pub(super) fn link_down(&mut self, link: LinkKey, error: &pond_link::Error) {
        self.publisher.link_down(link);
        let known = self.links.remove(&link);
        self.peers.retain(|_, (other, _)| *other != link);
        match known {
            Some((role, name)) => {
                let linked = self.links.values().any(|other| *other == (role, name.clone()));
                if role == WireRole::Control && !linked {
                    self.formation.link_lost(&name);
                }
                event!(self.parts.log, LINK_DOWN, "peer" => name, "why" => error.to_string());
            }
            None if link.is_accepted() => {
                event!(self.parts.log, LINK_REFUSED, "why" => error.to_string());
            }
            None => {}
        }
    }

    pub(super) fn frame(&mut self, now: Millis, link: LinkKey, body: Body) {
        let Some((role, _)) = self.links.get(&link) else { return };
        match (role, body) {
            (WireRole::Control, Body::Quorum(envelope)) => self.receive_envelope(now, envelope),
            (WireRole::Control, Body::Heartbeat(heartbeat)) => self.compare(link, &heartbeat),
            (_, Body::ViewAck(ack)) => self.publisher.acknowledged(link, ack),
            (WireRole::Entry, Body::ClaimRequest(request)) => self.claim(now, link, request),
            (WireRole::Entry, Body::ClaimEnd(end)) => self.end_claim(now, end),
            _ => {}
        }
    }

    pub(super) fn receive_envelope(&mut self, now: Millis, envelope: Envelope) {
        if let Some(QuorumBody::Announce(announce)) = envelope.body {
            self.names.insert(announce.member.id, announce.member.name.clone());
            self.refuse_older_disk(now, &announce);
            self.formation.record_announce(announce);
            self.try_to_form();
            return;
        }
        self.core.step(now, QuorumInput::Message(envelope));
    }

    pub(super) fn try_to_form(&mut self) {
        let Some(members) = self.formation.first_members() else { return };
        event!(self.parts.log, QUORUM_FORMED, "replicas" => members.list.len());
        self.formation.set_formed();
        let start = Start {
            id: self.core.id(),
            hard: Default::default(),
            snapshot: None,
            entries: Vec::new(),
            members,
            seed: self.core.id(),
        };
        if self.core.term() == 0 {
            self.core = Core::new(start, Tuning::default(), self.parts.clock.now());
        }
    }

    /// Removes a member whose log is shorter than what it has acknowledged: its disk was reset to
    /// an older state, and its votes cannot be trusted.
    fn refuse_older_disk(&mut self, now: Millis, announce: &Announce) {
        let id = announce.member.id;
        let acknowledged = self.core.acknowledged(id).unwrap_or(0);
        if announce.last_index < acknowledged {
            event!(self.parts.log, OLDER_DISK, "replica" => announce.member.name.clone(),
                "has" => announce.last_index, "acknowledged" => acknowledged);
            self.core.step(now, QuorumInput::Remove(id));
        }
    }

    /// Compares the checksum of the state with that of another replica at the same index.
    pub(super) fn compare(&mut self, link: LinkKey, heartbeat: &Heartbeat) {
        let (index, checksum) = self.checksum;
        if index > 0 && heartbeat.snapshot_index == index && heartbeat.checksum != checksum {
            let peer = self.links.get(&link).map(|(_, name)| name.clone());
            event!(self.parts.log, STATE_DIFFERS,
                "index" => index, "peer" => peer.unwrap_or_default());
        }
    }
}
