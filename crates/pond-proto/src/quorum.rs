//! The replicated log and the messages between control replicas (Raft).

use prost::{Message, Oneof};

/// The kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// No content: the first entry of a new leader.
    Empty = 0,
    /// A change to the replicated state.
    Change = 1,
    /// A new list of members, encoded as [`Members`].
    Members = 2,
}

/// An entry of the replicated log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Index in the log; the first entry has index 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Kind of the content; see [`Kind`].
    #[prost(enumeration = "Kind", tag = "3")]
    pub kind: i32,
    /// Encoded content.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// The state that a replica must persist in addition to its log (Raft's hard state).
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HardState {
    /// Highest term that the replica has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Replica that it voted for in that term; zero if it has not voted.
    #[prost(fixed64, tag = "2")]
    pub vote: u64,
    /// Highest index that is known to be committed.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
}

/// A member of the quorum: one control replica.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Identity of the replica's disk, generated at random when its data directory is created.
    ///
    /// A replica that restarts with an empty disk becomes a new member, so it cannot vote again
    /// under its former identity.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Name of the replica in the settings.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Address at which the replica accepts internal links, as `ip:port`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether the member votes; a member without a vote is a learner.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// The members of the quorum.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Members {
    /// Members, sorted by identity.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Member>,
}

impl Members {
    /// Creates a member list, sorted by identity.
    pub fn new(mut list: Vec<Member>) -> Members {
        list.sort_by_key(|member| member.id);
        Members { list }
    }

    /// Returns the member with the given identity.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.list.iter().find(|member| member.id == id)
    }

    /// Returns whether the given replica is a voter.
    pub fn is_voter(&self, id: u64) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = u64> + '_ {
        self.list.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// Returns the number of votes that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// Requests a vote or, as a pre-vote, asks whether a vote would be granted.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which leaves the voter's term and vote unchanged.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Whether the leader has asked the candidate to take over.
    #[prost(bool, tag = "4")]
    pub leadership_transfer: bool,
}

/// The reply to a [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VoteReply {
    /// Whether this is the reply to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Appends entries to a follower's log; without entries it is a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// Index of the entry that precedes the first one in `entries`.
    #[prost(uint64, tag = "1")]
    pub previous_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub previous_term: u64,
    /// Entries, in log order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Heartbeat round of the leader; the follower returns it in its reply.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// The reply to an [`Append`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AppendReply {
    /// Whether the follower's log matched at `previous_index`, so that the entries were appended.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// If the log matched, the last index that is durable and equal to the leader's log; otherwise
    /// the last index at which the logs may be equal.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// If the log did not match, the follower's term at `index`.
    #[prost(uint64, tag = "3")]
    pub conflict_term: u64,
    /// Heartbeat round of the [`Append`].
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// A chunk of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Index of the last log entry that the snapshot includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Members of the quorum at that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// Offset of the chunk in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the complete snapshot in bytes.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// CRC-32C of the complete snapshot.
    #[prost(uint32, tag = "6")]
    pub crc: u32,
    /// Data of the chunk.
    #[prost(bytes = "vec", tag = "7")]
    pub data: Vec<u8>,
    /// Heartbeat round of the leader.
    #[prost(uint64, tag = "8")]
    pub round: u64,
}

/// The reply to a [`SnapshotChunk`]; it says where the next chunk should start.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotChunkReply {
    /// Index of the last log entry that the snapshot includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Number of bytes received so far; the offset of the next chunk.
    #[prost(uint64, tag = "2")]
    pub received_bytes: u64,
    /// Heartbeat round of the [`SnapshotChunk`].
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Asks the receiver to start an election immediately; sent by the leader to transfer its
/// leadership.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TakeOver {}

/// Announces the sender to another replica, before the quorum is formed or while the sender is not
/// a member that the receiver knows.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// Member entry that the sender would have.
    #[prost(message, required, tag = "1")]
    pub member: Member,
    /// Whether the sender's disk already contains the log of a quorum.
    #[prost(bool, tag = "2")]
    pub formed: bool,
    /// Index of the last entry in the sender's log.
    #[prost(uint64, tag = "3")]
    pub last_index: u64,
}

/// The content of an [`Envelope`].
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

/// A message between two replicas.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Identity of the sender.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Identity of the receiver; zero if it is not known yet.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Term of the sender; in a pre-vote, the term that the candidate would start.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Content of the message.
    #[prost(oneof = "Body", tags = "4,5,6,7,8,9,10,11")]
    pub body: Option<Body>,
}

/// The writes that are appended to the log files together.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// Hard state after the batch, if it changed.
    #[prost(message, optional, tag = "1")]
    pub hard: Option<HardState>,
    /// Entries to write. An entry replaces an existing entry with the same index and all later
    /// ones.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// If present, existing entries with an index above this one are removed.
    #[prost(uint64, optional, tag = "3")]
    pub truncate_after: Option<u64>,
}

/// The header of a snapshot file.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotHeader {
    /// Index of the last log entry that the snapshot includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Members of the quorum at that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
}
