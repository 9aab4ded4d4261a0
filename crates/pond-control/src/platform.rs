//! The thread that talks to the platform: reads the VM list and calls workers.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use pond_platform::{Error, Platform};
use pond_proto::{Millis, VmKey};
use tokio::sync::{Semaphore, mpsc};

use crate::reconcile::{Answer, Call, Fact};
use crate::ring::Input;

/// Orders that may wait for the platform thread.
pub const ORDERS: usize = 16_384;

/// Calls to workers that may be under way.
const CALLS: usize = 1024;

/// How often the VM list is read.
const LIST_EVERY: Duration = Duration::from_millis(1000);

/// A call to a worker.
#[derive(Debug)]
pub struct Order {
    /// The VM.
    pub vm: VmKey,
    /// The worker's address.
    pub worker: String,
    /// The call.
    pub call: Call,
    /// When it was handed out.
    pub sent: Millis,
}

/// Runs until the orders end.
pub async fn run(
    platform: Arc<dyn Platform>,
    mut orders: mpsc::Receiver<Order>,
    ring: Sender<Input>,
) {
    let lister = tokio::spawn(read_list(platform.clone(), ring.clone()));
    let room = Arc::new(Semaphore::new(CALLS));
    while let Some(order) = orders.recv().await {
        let Ok(permit) = room.clone().acquire_owned().await else { break };
        let (platform, ring) = (platform.clone(), ring.clone());
        tokio::spawn(async move {
            let fact = carry_out(platform.as_ref(), order).await;
            put(&ring, Input::Worker(fact)).await;
            drop(permit);
        });
    }
    lister.abort();
}

async fn read_list(platform: Arc<dyn Platform>, ring: Sender<Input>) {
    loop {
        let list = platform.vms().await.map_err(|error| error.to_string());
        put(&ring, Input::Listed(list)).await;
        tokio::time::sleep(LIST_EVERY).await;
    }
}

/// Puts an input into the ring, waiting while it is full.
async fn put(ring: &Sender<Input>, mut input: Input) {
    loop {
        match ring.try_send(input) {
            Err(crossbeam_channel::TrySendError::Full(back)) => input = back,
            _ => return,
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn carry_out(platform: &dyn Platform, order: Order) -> Fact {
    let Order { vm, worker, call, sent } = order;
    let result = call_worker(platform, &worker, &call).await;
    Fact { vm, call, sent, result }
}

async fn call_worker(platform: &dyn Platform, worker: &str, call: &Call) -> Result<Answer, Error> {
    match call {
        Call::Lease(order) => platform.lease(worker, order.clone()).await.map(Answer::Lease),
        Call::Start(task, order) => {
            platform.start(worker, *task, order.clone()).await.map(Answer::Start)
        }
        Call::Checkpoint(task, order) => {
            platform.checkpoint(worker, *task, order.clone()).await.map(Answer::Status)
        }
        Call::Throttle(task, order) => {
            platform.throttle(worker, *task, order.clone()).await.map(Answer::Status)
        }
        Call::Stop(task, order) => {
            platform.stop(worker, *task, order.clone()).await.map(Answer::Stop)
        }
        Call::Usage => platform.usage(worker).await.map(Answer::Usage),
    }
}
