//! The replicated log and the messages between control replicas.

use prost::{Message, Oneof};

/// What an entry of the log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Nothing: a new leader's first entry.
    Empty = 0,
    /// A change of the replicated state.
    Change = 1,
    /// A new list of members, encoded [`Members`].
    Members = 2,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Its place; the first is 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that wrote it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What it holds.
    #[prost(enumeration = "Kind", tag = "3")]
    pub kind: i32,
    /// The encoded content.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// What a replica must not forget besides its log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HardState {
    /// The highest term it has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The replica it voted for in that term; zero for none.
    #[prost(fixed64, tag = "2")]
    pub vote: u64,
    /// Entries up to here are known to be accepted.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
}

/// One replica of the quorum.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// The identity of its disk, drawn when its data folder was made.
    ///
    /// A replica that comes back with an empty disk is another member, so it cannot vote as what
    /// it was.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Its name from the settings.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Where it takes internal links, as `ip:port`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether it votes; one that does not is a learner.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// The members of the quorum.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Members {
    /// In the order of their identities.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Member>,
}

impl Members {
    /// A list in the order of identities.
    pub fn new(mut list: Vec<Member>) -> Members {
        list.sort_by_key(|member| member.id);
        Members { list }
    }

    /// The member with that identity.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.list.iter().find(|member| member.id == id)
    }

    /// Whether that replica votes.
    pub fn is_voter(&self, id: u64) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// The identities of those that vote.
    pub fn voters(&self) -> impl Iterator<Item = u64> + '_ {
        self.list.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// How many votes decide.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// Asks for a vote, or (pre-vote) whether a vote would be given.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VoteRequest {
    /// Only a question: the voter's term and vote stay as they are.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The leader itself asked the candidate to take over.
    #[prost(bool, tag = "4")]
    pub leadership_transfer: bool,
}

/// Answer to [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VoteReply {
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Entries for a follower; without entries a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// Index of the entry before the first one.
    #[prost(uint64, tag = "1")]
    pub previous_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub previous_term: u64,
    /// The entries, in order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// The leader's round of heartbeats, sent back in the answer.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// Answer to [`Append`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AppendReply {
    /// Whether the entries fitted.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// If they fitted, the last index that is durable and equal to the leader's; if not, the
    /// last index that may be equal.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// If they did not fit, the follower's term at that index.
    #[prost(uint64, tag = "3")]
    pub conflict_term: u64,
    /// The round of the append it answers.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// A piece of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot holds.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The members at that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// Where the piece starts, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the whole snapshot, in bytes.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// CRC-32C of the whole snapshot.
    #[prost(uint32, tag = "6")]
    pub crc: u32,
    /// The piece.
    #[prost(bytes = "vec", tag = "7")]
    pub data: Vec<u8>,
    /// The leader's round of heartbeats.
    #[prost(uint64, tag = "8")]
    pub round: u64,
}

/// Answer to [`SnapshotChunk`]: where the next piece should start.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotChunkReply {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Bytes that have arrived.
    #[prost(uint64, tag = "2")]
    pub received_bytes: u64,
    /// The round of the chunk it answers.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// The leader asks the receiver to take over at once.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TakeOver {}

/// Tells another replica who the sender is, before the quorum is formed or when it is unknown.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The sender as it would be a member.
    #[prost(message, required, tag = "1")]
    pub member: Member,
    /// Whether the sender's disk holds a quorum's log already.
    #[prost(bool, tag = "2")]
    pub formed: bool,
    /// Index of the last entry in the sender's log.
    #[prost(uint64, tag = "3")]
    pub last_index: u64,
}

/// The content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// See [`VoteRequest`].
    #[prost(message, tag = "4")]
    VoteRequest(VoteRequest),
    /// See [`VoteReply`].
    #[prost(message, tag = "5")]
    VoteReply(VoteReply),
    /// See [`Append`].
    #[prost(message, tag = "6")]
    Append(Append),
    /// See [`AppendReply`].
    #[prost(message, tag = "7")]
    AppendReply(AppendReply),
    /// See [`SnapshotChunk`].
    #[prost(message, tag = "8")]
    SnapshotChunk(SnapshotChunk),
    /// See [`SnapshotChunkReply`].
    #[prost(message, tag = "9")]
    SnapshotChunkReply(SnapshotChunkReply),
    /// See [`TakeOver`].
    #[prost(message, tag = "10")]
    TakeOver(TakeOver),
    /// See [`Announce`].
    #[prost(message, tag = "11")]
    Announce(Announce),
}

/// One message between replicas.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The sender's identity.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The receiver's identity; zero before it is known.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// The sender's term, or for a pre-vote the term it would take.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The content.
    #[prost(oneof = "Body", tags = "4,5,6,7,8,9,10,11")]
    pub body: Option<Body>,
}

/// What one group of writes to the log's files holds.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The hard state after it, if it changed.
    #[prost(message, optional, tag = "1")]
    pub hard: Option<HardState>,
    /// Entries; one with an index that is there already replaces it and all after it.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// Entries with a higher index than this that were there before are dropped.
    #[prost(uint64, optional, tag = "3")]
    pub truncate_after: Option<u64>,
}

/// What a snapshot file says of itself.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotHeader {
    /// Index of the last entry that it holds.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The members at that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
}
