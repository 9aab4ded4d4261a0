//! The part of the replicated state that is sent to entries and endpoint processes.

use prost::Message;

/// One endpoint: a running task of a service.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    /// Task of the endpoint; see [`crate::TaskKey`].
    #[prost(uint64, tag = "1")]
    pub task: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address of the endpoint process on the same VM, as `ip:port`.
    #[prost(string, tag = "3")]
    pub process: String,
    /// Address of the endpoint itself. Only its endpoint process connects to it.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Whether the endpoint is leaving and accepts no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Maximum number of requests that the endpoint runs concurrently.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Maximum number of connections that the endpoint accepts.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
}

/// The limits of one service.
#[derive(Clone, PartialEq, Message)]
pub struct Service {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Maximum number of concurrent requests for the service at one entry.
    #[prost(uint32, tag = "2")]
    pub concurrency: u32,
    /// Team whose quota the service counts against.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Priority of the service.
    #[prost(int32, tag = "4")]
    pub priority: i32,
    /// Maximum number of requests per second for the service at one entry; zero for no limit.
    #[prost(uint32, tag = "5")]
    pub rate: u32,
}

/// The difference between two versions of the view.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// Term of the leader that sent the delta. Receivers refuse a delta whose term is lower than
    /// one that they have seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Version that the delta applies to; zero if it contains the complete view.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Version of the view after the delta.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Added and changed endpoints.
    #[prost(message, repeated, tag = "4")]
    pub endpoints: Vec<Endpoint>,
    /// Tasks whose endpoints have been removed.
    #[prost(uint64, repeated, tag = "5")]
    pub removed: Vec<u64>,
    /// Added and changed services.
    #[prost(message, repeated, tag = "6")]
    pub services: Vec<Service>,
    /// Names of removed services.
    #[prost(string, repeated, tag = "7")]
    pub removed_services: Vec<String>,
}
