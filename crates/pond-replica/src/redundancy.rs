//! How many losses the quorum still tolerates.

use pond_proto::quorum::{Member, Members};

/// The voters of the quorum as one replica sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redundancy {
    voters: Vec<String>,
    unreachable: Vec<String>,
}

impl Redundancy {
    /// Creates the view of a replica that can reach the members for which `reachable` returns true.
    pub fn new(members: &Members, reachable: impl Fn(&Member) -> bool) -> Redundancy {
        let voters = || members.list.iter().filter(|member| member.voter);
        let address = |member: &Member| member.address.clone();
        Redundancy {
            voters: voters().map(address).collect(),
            unreachable: voters().filter(|voter| !reachable(voter)).map(address).collect(),
        }
    }

    /// Returns the addresses of the voters.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Returns the addresses of the voters that cannot be reached.
    pub fn unreachable(&self) -> &[String] {
        &self.unreachable
    }

    /// Whether the reachable voters are a majority.
    pub fn has_majority(&self) -> bool {
        self.reachable() >= self.majority()
    }

    /// Returns how many of the reachable voters may be lost before the others are no majority; 0 also if
    /// they are none already.
    pub fn tolerated_losses(&self) -> usize {
        self.reachable().saturating_sub(self.majority())
    }

    fn reachable(&self) -> usize {
        self.voters.len() - self.unreachable.len()
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
