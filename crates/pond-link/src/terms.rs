//! What both ends of a link agree on or are limited by.

use std::time::Duration;

use pond_proto::Incarnation;
use pond_proto::wire::{Hello, Role, VERSION};

/// Who this process is and how its links are limited.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The hello that it sends.
    pub hello: Hello,
    /// Largest frame, in bytes.
    pub frame_bytes: usize,
    /// Frames that may wait to be sent on one link.
    pub queue: usize,
    /// A heartbeat goes out when nothing else did for this long.
    pub beat: Duration,
    /// A link is lost when nothing came in for this long.
    pub silence: Duration,
    /// Links that may be open at a listener.
    pub links: usize,
}

impl Terms {
    /// Terms with default limits.
    pub fn new(role: Role, name: &str, data_centre: &str, life: Incarnation) -> Terms {
        let hello = Hello {
            version: VERSION,
            role: role as i32,
            name: name.to_owned(),
            incarnation: life.0,
            data_centre: data_centre.to_owned(),
            token: String::new(),
            address: String::new(),
        };
        Terms {
            hello,
            frame_bytes: 4 << 20,
            queue: 1024,
            beat: Duration::from_millis(500),
            silence: Duration::from_millis(2000),
            links: 4096,
        }
    }

    /// Sets the limits of frames and queues.
    pub fn with_limits(mut self, frame_bytes: usize, queue: usize) -> Terms {
        self.frame_bytes = frame_bytes;
        self.queue = queue;
        self
    }

    /// States where this process takes internal links.
    pub fn with_address(mut self, address: &str) -> Terms {
        self.hello.address = address.to_owned();
        self
    }

    /// Sets how often heartbeats go out, and after what silence a link is lost.
    pub fn with_times(mut self, beat: Duration, silence: Duration) -> Terms {
        (self.beat, self.silence) = (beat, silence);
        self
    }

    /// Sets the token that both ends must know.
    pub fn with_token(mut self, token: &str) -> Terms {
        self.hello.token = token.to_owned();
        self
    }
}
