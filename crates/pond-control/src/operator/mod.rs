//! The operators' HTTP API.

mod api;
mod client;
mod show;
mod token;

pub use api::{Api, openapi, start};
pub use token::Tokens;
