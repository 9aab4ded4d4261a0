//! What entries and endpoint processes are told of the shared state.

use prost::Message;

/// One endpoint: a running task of a service.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    /// The task, see [`crate::TaskKey`].
    #[prost(uint64, tag = "1")]
    pub task: u64,
    /// The service's name.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address of the endpoint process beside it, as `ip:port`.
    #[prost(string, tag = "3")]
    pub process: String,
    /// Address of the endpoint itself, reached only by its endpoint process.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// It takes no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Requests it runs at a time.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Connections it accepts.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
}

/// The limits of one service.
#[derive(Clone, PartialEq, Message)]
pub struct Service {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Requests under way at one entry.
    #[prost(uint32, tag = "2")]
    pub concurrency: u32,
    /// The team it counts against.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Its priority.
    #[prost(int32, tag = "4")]
    pub priority: i32,
    /// Requests a second at one entry; zero for no limit.
    #[prost(uint32, tag = "5")]
    pub rate: u32,
}

/// A step from one version of the view to another.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// The term of the leader that sent it; a lower one than seen before is refused.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The version it starts from; zero starts from nothing.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The version it leads to.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Endpoints that are new or have changed.
    #[prost(message, repeated, tag = "4")]
    pub endpoints: Vec<Endpoint>,
    /// Tasks that are no longer endpoints.
    #[prost(uint64, repeated, tag = "5")]
    pub removed: Vec<u64>,
    /// Services that are new or have changed.
    #[prost(message, repeated, tag = "6")]
    pub services: Vec<Service>,
    /// Services that are no more.
    #[prost(string, repeated, tag = "7")]
    pub removed_services: Vec<String>,
}
