//! Requests of operators. The leader answers them, other replicas redirect them to the leader, and
//! requests are deferred briefly while no leader is known.

use pond_job::{Change, Configuration};
use pond_log::event;
use pond_proto::{Millis, Span};
use tokio::sync::oneshot;

use crate::handle::{Command, Evacuation, RequestError};
use crate::pending::Waiter;
use crate::replica::Replica;

/// Silence of the leader, in milliseconds, after which operators are no longer redirected to it:
/// two and a half heartbeats. An operator who is redirected to a lost machine waits for a second in vain.
/// (After the loss of a leader's machine an order took 1.2 s, and one sent 250 ms later took 2.2 s.)
const MAX_LEADER_SILENCE_MS: Span = 250;

/// Longest time that a request is deferred until a leader is known, in milliseconds. This covers most
/// elections, and is less than the second after which operators try another replica.
const MAX_DEFERRAL_MS: Span = 700;

/// Maximum number of deferred requests; further ones are answered at once that there is no leader.
const MAX_DEFERRED: usize = 64;

/// A request of an operator that waits for a leader.
pub(crate) struct Deferred {
    command: Command,
    until: Millis,
}

impl Replica {
    /// Answers a request of an operator, or defers it until a leader is known.
    pub(crate) fn operator_request(&mut self, now: Millis, command: Command) {
        let answerable = self.holds_lease(now) || self.knows_leader(now) || self.stopping.is_some();
        if answerable || self.deferred.len() >= MAX_DEFERRED {
            return self.answer_operator(now, command);
        }
        self.deferred.push(Deferred { command, until: now + MAX_DEFERRAL_MS });
    }

    /// Answers deferred requests once a leader is known or their deferral has expired.
    pub(crate) fn answer_deferred(&mut self, now: Millis) {
        if self.deferred.is_empty() {
            return;
        }
        let answerable = self.holds_lease(now) || self.knows_leader(now) || self.stopping.is_some();
        let (due, deferred) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|request| answerable || now >= request.until);
        self.deferred = deferred;
        let due: Vec<Deferred> = due;
        for request in due {
            self.answer_operator(now, request.command);
        }
    }

    fn answer_operator(&mut self, now: Millis, command: Command) {
        match command {
            Command::Configure(configuration, reply) => self.configure(now, *configuration, reply),
            Command::Evacuate(evacuation, reply) => self.evacuate(now, evacuation, reply),
            Command::ListEvacuated(reply) => {
                let evacuated = self.state.evacuations();
                let evacuated = evacuated.map(|(name, since)| (name.to_owned(), since)).collect();
                self.reply_if_current(now, evacuated, reply);
            }
            Command::ReadConfiguration(reply) => {
                let source = self.state.configuration().map(|active| active.source.clone());
                self.reply_if_current(now, source, reply);
            }
        }
    }

    /// Replies with a value read from the state, if this replica holds the lease, so that its state is current.
    fn reply_if_current<T>(
        &self,
        now: Millis,
        value: T,
        reply: oneshot::Sender<Result<T, RequestError>>,
    ) {
        let result = if self.holds_lease(now) { Ok(value) } else { Err(self.not_leader(now)) };
        // The operator may have disconnected.
        let _ = reply.send(result);
    }

    /// Activates a configuration, if this replica leads.
    fn configure(
        &mut self,
        now: Millis,
        configuration: Configuration,
        reply: oneshot::Sender<Result<(), RequestError>>,
    ) {
        if !self.holds_lease(now) || self.stopping.is_some() {
            // The operator may have disconnected.
            let _ = reply.send(Err(self.not_leader(now)));
            return;
        }
        let active = self.state.configuration().map(|active| active.version);
        if active.is_some_and(|active| active >= configuration.version) {
            let _ = reply.send(Ok(()));
            return;
        }
        self.propose(now, &Change::Configure(configuration), Waiter::Operator(reply));
    }

    /// Evacuates a data centre or readmits it, if this replica leads.
    ///
    /// Orders have no version number; only their position in the replicated log says which of two is newer.
    /// Therefore an order that repeats the current state is proposed as well, because an opposite one may
    /// be about to be committed. An order whose operator has disconnected is dropped: the operator has sent
    /// it to another replica, and further orders may have been acknowledged since then.
    fn evacuate(
        &mut self,
        now: Millis,
        evacuation: Evacuation,
        reply: oneshot::Sender<Result<(), RequestError>>,
    ) {
        let Evacuation { data_centre, begins } = evacuation;
        if reply.is_closed() {
            event!(self.log, EVACUATION_DROPPED, "data_centre" => data_centre, "begins" => begins);
            return;
        }
        if !self.holds_lease(now) || self.stopping.is_some() {
            // The operator may have disconnected.
            let _ = reply.send(Err(self.not_leader(now)));
            return;
        }
        let at = self.wall_time();
        let change = match begins {
            true => Change::Evacuate { data_centre, at },
            false => Change::Readmit { data_centre },
        };
        self.propose(now, &change, Waiter::Operator(reply));
    }

    /// Whether another replica was recently heard as the leader and can be reached.
    fn knows_leader(&self, now: Millis) -> bool {
        self.leader_address(now).is_some()
    }

    fn leader_address(&self, now: Millis) -> Option<&str> {
        let leader = self.core.leader().filter(|leader| leader.id != self.core.id())?;
        let heard = self.core.heard().is_some_and(|heard| now.since(heard) < MAX_LEADER_SILENCE_MS);
        let reached = self.peers.down_since(&leader.address).is_none();
        (heard && reached).then_some(leader.address.as_str())
    }

    /// Returns the error that redirects an operator to the leader, if one is known.
    pub(crate) fn not_leader(&self, now: Millis) -> RequestError {
        let leader = self.leader_address(now).map(str::to_owned);
        if leader.is_none() {
            let address = self.core.leader().map_or(String::new(), |leader| leader.address.clone());
            let redundancy = self.current_redundancy();
            event!(self.log, NO_LEADER, "named" => address,
                "heard_ms" => self.core.heard().map_or(0, |heard| now.since(heard)),
                "voters" => redundancy.voters().join(" "),
                "unreachable" => redundancy.unreachable().join(" "));
        }
        RequestError::NotLeader(leader)
    }
}
