//! HTTP/1.1 with limits, on hyper: a server for complete requests, and a client that reports whether
//! a request was sent.
//!
//! Bodies are held completely in memory, up to the configured limits. An incomplete body is an error,
//! never a shorter body.

mod body;
mod budget;
mod call;
mod client;
mod connection;
mod error;
mod json;
mod limits;
mod server;
mod stall;
mod stop;

pub use budget::{Budget, CONNECTION_BYTES, Usage};
pub use bytes::Bytes;
pub use call::{Call, Reply};
pub use client::Client;
pub use error::Error;
pub use http::header::{ALLOW, CONTENT_TYPE, LOCATION, RETRY_AFTER};
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
pub use json::{get_json, post_json};
pub use limits::{Limits, Refused};
pub use server::{Handler, serve, serve_within};
pub use stop::Stop;
