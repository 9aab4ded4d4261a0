//! Operators' requests: answered by the leader, sent on to it by others, and held for a moment while
//! nobody knows who leads.

use pond_job::{Change, Configuration};
use pond_log::event;
use pond_proto::{Millis, Span};
use tokio::sync::oneshot;

use crate::handle::{Command, Evacuation, RequestError};
use crate::pending::Waiter;
use crate::replica::Replica;

/// A leader that was not heard for this long is not named to operators, in milliseconds: two and a half
/// heartbeats. An operator who is sent to a machine that is gone waits a second for nothing. (After the
/// loss of a leader's machine an order took 1.2 s, and one a quarter of a second later 2.2 s.)
const LEADER_NAMED_MS: Span = 250;

/// An operator is held for this long at most until a leader is known, in milliseconds: most elections,
/// and less than the second after which operators ask elsewhere.
const MAX_DEFERRAL_MS: Span = 700;

/// Operators that are held at most; more are told at once that nobody leads.
const MAX_DEFERRED: usize = 64;

/// An operator who waits.
pub(crate) struct Deferred {
    command: Command,
    until: Millis,
}

impl Replica {
    /// An operator asks something.
    pub(crate) fn operator(&mut self, now: Millis, command: Command) {
        let answerable = self.holds_lease(now) || self.knows_leader(now) || self.stopping.is_some();
        if answerable || self.deferred.len() >= MAX_DEFERRED {
            return self.answer_operator(now, command);
        }
        self.deferred.push(Deferred { command, until: now + MAX_DEFERRAL_MS });
    }

    /// Answers operators who were held once a leader is known, or time is up.
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

    /// Tells an operator something of the state, if this replica is sure that it is the newest.
    fn reply_if_current<T>(
        &self,
        now: Millis,
        value: T,
        reply: oneshot::Sender<Result<T, RequestError>>,
    ) {
        let result = if self.holds_lease(now) { Ok(value) } else { Err(self.not_leader(now)) };
        // The operator may have left.
        let _ = reply.send(result);
    }

    /// Brings a configuration in force, if this replica leads.
    fn configure(
        &mut self,
        now: Millis,
        configuration: Configuration,
        reply: oneshot::Sender<Result<(), RequestError>>,
    ) {
        if !self.holds_lease(now) || self.stopping.is_some() {
            // The operator may have left.
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

    /// Evacuates a data centre or takes that back, if this replica leads.
    ///
    /// Orders have no number: which of two is the newer one is told by their order in the log alone. So an order
    /// also goes into the log when it repeats what is in force, as an opposite one may be on its way there; and
    /// one whose operator has left is dropped, as it has been sent again elsewhere, and others may have been
    /// acknowledged since.
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
            // The operator may have left.
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

    /// Whether another replica surely led a moment ago and can be reached.
    fn knows_leader(&self, now: Millis) -> bool {
        self.leader_address(now).is_some()
    }

    fn leader_address(&self, now: Millis) -> Option<&str> {
        let leader = self.core.leader().filter(|leader| leader.id != self.core.id())?;
        let heard = self.core.heard().is_some_and(|heard| now.since(heard) < LEADER_NAMED_MS);
        let reached = self.peers.down_since(&leader.address).is_none();
        (heard && reached).then_some(leader.address.as_str())
    }

    /// Where an operator should ask instead.
    pub(crate) fn not_leader(&self, now: Millis) -> RequestError {
        let leader = self.leader_address(now).map(str::to_owned);
        if leader.is_none() {
            let address = self.core.leader().map_or(String::new(), |leader| leader.address.clone());
            event!(self.log, NO_LEADER, "named" => address,
                "heard_ms" => self.core.heard().map_or(0, |heard| now.since(heard)));
        }
        RequestError::NotLeader(leader)
    }
}
