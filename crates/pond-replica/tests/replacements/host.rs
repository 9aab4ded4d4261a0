//! A machine of the simulated cluster.

/// A machine with an address of its own.
#[derive(Clone, Debug)]
pub struct Host {
    pub address: u64,
    /// Identity of its disk.
    pub replica: u64,
    /// Whether its current outage is noticed by silence only, as that of its power.
    pub silent: bool,
    /// Until when it waits for another leader before its process exits.
    pub stop_by: Option<u64>,
    /// Whether it is being replaced, or has been.
    pub replaced: bool,
    /// Whether it was removed for good.
    pub gone: bool,
    /// When its process or its machine is back.
    pub back_at: u64,
    /// Until when it counts as lost.
    pub counts_until: u64,
}

impl Host {
    pub fn new(address: u64) -> Host {
        Host {
            address,
            replica: address,
            silent: false,
            stop_by: None,
            replaced: false,
            gone: false,
            back_at: 0,
            counts_until: 0,
        }
    }

    /// Whether it takes part and may be chosen for a fault of its own.
    pub fn is_healthy(&self, time: u64) -> bool {
        !self.gone && !self.replaced && self.counts_until <= time
    }
}
