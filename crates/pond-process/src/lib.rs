//! Start-up code shared by all roles: listeners, threads with runtimes, tokens.

mod error;
mod listen;
mod threads;
mod token;

pub use error::Error;
pub use listen::listen;
pub use threads::Threads;
pub use token::read_token;
