//! Configuration of the links of a process.

use std::time::Duration;

use pond_proto::Incarnation;
use pond_proto::wire::{Hello, Role, VERSION};

/// Identity of a process towards its peers, with the limits and timeouts of its links.
#[derive(Clone, Debug)]
pub struct Config {
    /// Hello that the process sends on each new link.
    pub hello: Hello,
    /// Maximum size of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of frames in the send queue of a link.
    pub queue_capacity: usize,
    /// Idle time after which a heartbeat is sent.
    pub heartbeat_interval: Duration,
    /// Time without any received frame after which a link counts as lost.
    pub silence_timeout: Duration,
    /// Maximum number of open links at a listener.
    pub max_links: usize,
}

impl Config {
    /// Creates a configuration with default limits and without a token.
    pub fn new(role: Role, name: &str, data_centre: &str, incarnation: Incarnation) -> Config {
        let hello = Hello {
            version: VERSION,
            role: role as i32,
            name: name.to_owned(),
            incarnation: incarnation.0,
            data_centre: data_centre.to_owned(),
            token: String::new(),
            address: String::new(),
        };
        Config {
            hello,
            max_frame_bytes: 4 << 20,
            queue_capacity: 1024,
            heartbeat_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(2000),
            max_links: 4096,
        }
    }

    /// Sets the maximum frame size in bytes and the capacity of send queues in frames.
    pub fn with_limits(mut self, max_frame_bytes: usize, queue_capacity: usize) -> Config {
        self.max_frame_bytes = max_frame_bytes;
        self.queue_capacity = queue_capacity;
        self
    }

    /// Sets the maximum number of open links at a listener.
    pub fn with_max_links(mut self, max_links: usize) -> Config {
        self.max_links = max_links;
        self
    }

    /// Sets the address at which this process accepts internal links, as stated in its hello.
    pub fn with_address(mut self, address: &str) -> Config {
        self.hello.address = address.to_owned();
        self
    }

    /// Sets the heartbeat interval and the time without frames after which a link counts as lost.
    pub fn with_heartbeat(mut self, interval: Duration, silence_timeout: Duration) -> Config {
        (self.heartbeat_interval, self.silence_timeout) = (interval, silence_timeout);
        self
    }

    /// Sets the shared token that both ends must present.
    pub fn with_token(mut self, token: &str) -> Config {
        self.hello.token = token.to_owned();
        self
    }
}
