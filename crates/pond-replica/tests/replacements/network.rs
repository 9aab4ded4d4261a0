//! Links between the replicas of a simulated cluster, what each replica learns from them, and the changes of members
//! that a leader makes. Follows `peers.rs` and `lead.rs` of the crate.

use std::collections::BTreeMap;

use pond_proto::quorum::Member;
use pond_proto::{Millis, Span};
use pond_quorum::{Input, Role};
use pond_replica::{Formation, MemberChange, Removal};
use pond_test::Cluster;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::host::Host;

/// Silence after which a link counts as lost, in milliseconds.
const SILENCE_MS: u64 = 800;

/// Maximum time until a link to a replica that can be reached again is up, in milliseconds.
const MAX_DIAL_MS: u64 = 900;

/// One run of a replica's process: the identity of its disk and the number of the start.
type Process = (u64, u64);

/// A link that one replica has dialled to another.
struct Link {
    dialler: Process,
    acceptor: Process,
    silent_since: Option<u64>,
    closed: bool,
    /// Whether the dialler has not noticed yet that the link is closed.
    up_at_dialler: bool,
    /// The same of the acceptor.
    up_at_acceptor: bool,
}

/// What a process knows about the other replicas.
struct View {
    process: Process,
    formation: Formation,
    /// Dialled addresses, and since when the link is down.
    down_since: BTreeMap<u64, Option<Millis>>,
}

/// The links of all replicas.
pub struct Network {
    removal: Removal,
    views: BTreeMap<u64, View>,
    links: BTreeMap<(u64, u64), Link>,
    /// When a lost link is up again, by the addresses of the dialler and the acceptor.
    dial_at: BTreeMap<(u64, u64), u64>,
}

/// Returns the text of an address.
fn text(address: u64) -> String {
    Cluster::member(address).address
}

/// Returns the number in the text of an address.
fn number(address: &str) -> u64 {
    address.rsplit('-').next().and_then(|number| number.parse().ok()).expect("an address")
}

fn process(cluster: &Cluster, host: &Host) -> Option<Process> {
    Some((host.replica, cluster.starts(host.replica)?))
}

impl Network {
    /// Creates the links of a quorum that must tolerate `losses` lost replicas.
    pub fn new(losses: usize, catch_up_ms: Span) -> Network {
        Network {
            removal: Removal::new(losses, catch_up_ms),
            views: BTreeMap::new(),
            links: BTreeMap::new(),
            dial_at: BTreeMap::new(),
        }
    }

    /// Updates the links, and lets leaders change the members. Returns the changes.
    pub fn step(
        &mut self,
        cluster: &mut Cluster,
        hosts: &[Host],
        rng: &mut SmallRng,
    ) -> Vec<String> {
        hosts.iter().for_each(|host| self.update_view(cluster, hosts, host));
        for dialler in hosts {
            for acceptor in hosts.iter().filter(|host| host.address != dialler.address) {
                self.update_link(cluster, dialler, acceptor, rng);
            }
        }
        hosts.iter().filter_map(|host| self.change_members(cluster, host)).collect()
    }

    /// Gives a new process an empty view, and has each process dial the members in its log.
    fn update_view(&mut self, cluster: &mut Cluster, hosts: &[Host], host: &Host) {
        let Some(process) = process(cluster, host) else { return };
        let now = cluster.now(host.replica);
        let others = || hosts.iter().filter(|other| other.address != host.address);
        if self.views.get(&host.address).is_none_or(|view| view.process.0 != host.replica) {
            for other in others() {
                cluster.set_link(host.replica, other.replica, false);
                cluster.set_link(other.replica, host.replica, false);
            }
        }
        if self.views.get(&host.address).is_none_or(|view| view.process != process) {
            let own = Member { address: text(host.address), ..Cluster::member(host.replica) };
            let present = others().filter(|other| !other.gone);
            let down_since = present.map(|other| (other.address, Some(now))).collect();
            let formation = Formation::new(own, Vec::new(), true);
            self.views.insert(host.address, View { process, formation, down_since });
        }
        let (Some(core), Some(view)) =
            (cluster.core(host.replica), self.views.get_mut(&host.address))
        else {
            return;
        };
        let addresses = core.members().list.iter().map(|member| number(&member.address));
        for address in addresses.filter(|address| *address != host.address) {
            view.down_since.entry(address).or_insert(Some(now));
        }
    }

    fn update_link(
        &mut self,
        cluster: &mut Cluster,
        dialler: &Host,
        acceptor: &Host,
        rng: &mut SmallRng,
    ) {
        let key = (dialler.address, acceptor.address);
        let time = cluster.time();
        let partitioned = cluster.partitioned(dialler.replica, acceptor.replica);
        let active = cluster.is_active(dialler.replica) && cluster.is_active(acceptor.replica);
        let reaches = active && !partitioned;
        let Some(link) = self.links.get_mut(&key) else {
            let dials = |view: &View| view.down_since.contains_key(&acceptor.address);
            if !reaches || !self.views.get(&dialler.address).is_some_and(dials) {
                self.dial_at.remove(&key);
                return;
            }
            let due = time + rng.random_range(0..MAX_DIAL_MS);
            if time >= *self.dial_at.entry(key).or_insert(due) {
                self.open(cluster, dialler, acceptor);
            }
            return;
        };
        let processes = (process(cluster, dialler), process(cluster, acceptor));
        let ended = processes != (Some(link.dialler), Some(link.acceptor));
        if reaches && !ended {
            link.silent_since = None;
        } else {
            link.silent_since.get_or_insert(time);
        }
        let unnoticed = [dialler, acceptor]
            .iter()
            .any(|host| host.silent && cluster.starts(host.replica).is_none());
        let is_long_silent = link.silent_since.is_some_and(|since| time - since >= SILENCE_MS);
        link.closed |= is_long_silent || (ended && !partitioned && !unnoticed);
        if link.closed {
            self.close(cluster, dialler, acceptor);
        }
    }

    /// Opens a link. The dialler presents itself on it.
    fn open(&mut self, cluster: &mut Cluster, dialler: &Host, acceptor: &Host) {
        let key = (dialler.address, acceptor.address);
        let ends = (process(cluster, dialler), process(cluster, acceptor));
        let (Some(from), Some(to)) = ends else { return };
        let Some(last_index) = cluster.core(dialler.replica).map(|core| core.last_index()) else {
            return;
        };
        let Some(view) = self.views.get_mut(&dialler.address) else { return };
        view.down_since.insert(acceptor.address, None);
        let present = view.formation.present(last_index);
        let acknowledged =
            cluster.core(acceptor.replica).and_then(|core| core.acknowledged(dialler.replica));
        let now = cluster.now(acceptor.replica);
        let Some(view) = self.views.get_mut(&acceptor.address) else { return };
        if acknowledged.is_some_and(|index| index > last_index) {
            view.formation.record_outdated(dialler.replica);
        }
        view.formation.record(present);
        view.down_since.entry(dialler.address).or_insert(Some(now));
        let link = Link {
            dialler: from,
            acceptor: to,
            silent_since: None,
            closed: false,
            up_at_dialler: true,
            up_at_acceptor: true,
        };
        self.links.insert(key, link);
        cluster.set_link(dialler.replica, acceptor.replica, true);
    }

    /// Lets the ends of a closed link notice it, each as soon as its machine is not suspended.
    fn close(&mut self, cluster: &mut Cluster, dialler: &Host, acceptor: &Host) {
        let key = (dialler.address, acceptor.address);
        let Some(link) = self.links.get_mut(&key) else { return };
        cluster.set_link(link.dialler.0, link.acceptor.0, false);
        if process(cluster, dialler) != Some(link.dialler) {
            link.up_at_dialler = false;
        } else if link.up_at_dialler && cluster.is_active(dialler.replica) {
            link.up_at_dialler = false;
            let now = cluster.now(dialler.replica);
            let view = self.views.get_mut(&dialler.address);
            view.into_iter().for_each(|view| {
                view.down_since.insert(acceptor.address, Some(now));
            });
        }
        if process(cluster, acceptor) != Some(link.acceptor) {
            link.up_at_acceptor = false;
        } else if link.up_at_acceptor && cluster.is_active(acceptor.replica) {
            link.up_at_acceptor = false;
            let view = self.views.get_mut(&acceptor.address);
            view.into_iter().for_each(|view| {
                view.formation.link_lost(&text(dialler.address), link.dialler.0);
            });
        }
        if !link.up_at_dialler && !link.up_at_acceptor {
            self.links.remove(&key);
            self.dial_at.remove(&key);
        }
    }

    /// Makes the next change of members, if the replica leads. Returns it.
    fn change_members(&mut self, cluster: &mut Cluster, host: &Host) -> Option<String> {
        let view = self.views.get_mut(&host.address)?;
        let core = cluster.core(host.replica)?;
        if core.role() != Role::Leader {
            view.formation.leadership_lost();
        }
        let members = core.members().clone();
        let may_change = core.may_change_members();
        let view = self.views.get(&host.address)?;
        let now = cluster.now(host.replica);
        let down_since = |address: &str| view.down_since.get(&number(address)).copied().flatten();
        let unreachable_ms = |member: &Member| match member.id == host.replica {
            true => None,
            false => down_since(&member.address).map(|since| now.since(since)),
        };
        if !may_change || !cluster.is_active(host.replica) || host.stop_by.is_some() {
            return None;
        }
        let change = view.formation.next_change(&members, |address| down_since(address).is_none());
        let mut outdated = None;
        let input = match change {
            Some(MemberChange::Remove(old)) => Input::Remove(old.id),
            Some(MemberChange::RemoveOutdated(member)) => {
                outdated = Some(member.id);
                Input::Remove(member.id)
            }
            Some(MemberChange::Add(new)) => Input::Add(new),
            None => Input::Remove(self.removal.next(&members, unreachable_ms)?.id),
        };
        let change = match &input {
            Input::Add(new) => format!("adds {}", new.id),
            Input::Remove(id) => format!("removes {id}"),
            _ => String::new(),
        };
        let voters: Vec<u64> = members.voters().collect();
        if let (Some(id), Some(view)) = (outdated, self.views.get_mut(&host.address)) {
            view.formation.outdated_removed(id);
        }
        cluster.input(host.replica, input);
        Some(format!("leader {} of voters {voters:?} {change}", host.replica))
    }
}
