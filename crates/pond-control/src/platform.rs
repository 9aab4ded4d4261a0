//! The platform thread: reads the VM list and calls workers.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use pond_platform::{Error, Platform};
use pond_proto::{Millis, VmKey};
use tokio::sync::{Semaphore, mpsc};

use crate::input::Input;
use crate::reconcile::{Answer, Call, CallResult};

/// Maximum number of orders that wait for the platform thread.
pub const MAX_ORDERS: usize = 16_384;

/// Maximum number of concurrent calls to workers.
const MAX_CALLS: usize = 1024;

/// Interval at which the VM list is read.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);

/// An order to call a worker.
#[derive(Debug)]
pub struct Order {
    /// The VM.
    pub vm: VmKey,
    /// The worker's address.
    pub worker: String,
    /// The call.
    pub call: Call,
    /// When the order was given.
    pub sent: Millis,
}

/// Carries out orders until their channel is closed.
pub async fn run(
    platform: Arc<dyn Platform>,
    mut orders: mpsc::Receiver<Order>,
    input_sender: Sender<Input>,
) {
    let lister = tokio::spawn(read_list(platform.clone(), input_sender.clone()));
    let call_slots = Arc::new(Semaphore::new(MAX_CALLS));
    while let Some(order) = orders.recv().await {
        let Ok(permit) = call_slots.clone().acquire_owned().await else { break };
        let (platform, input_sender) = (platform.clone(), input_sender.clone());
        tokio::spawn(async move {
            let call_result = execute(platform.as_ref(), order).await;
            send_input(&input_sender, Input::Worker(call_result)).await;
            drop(permit);
        });
    }
    lister.abort();
}

async fn read_list(platform: Arc<dyn Platform>, input_sender: Sender<Input>) {
    loop {
        let list = platform.vms().await.map_err(|error| error.to_string());
        send_input(&input_sender, Input::Listed(list)).await;
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Sends an input to the deciding thread, waiting while the channel is full.
async fn send_input(input_sender: &Sender<Input>, mut input: Input) {
    loop {
        match input_sender.try_send(input) {
            Err(crossbeam_channel::TrySendError::Full(back)) => input = back,
            _ => return,
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn execute(platform: &dyn Platform, order: Order) -> CallResult {
    let Order { vm, worker, call, sent } = order;
    let result = call_worker(platform, &worker, &call).await;
    CallResult { vm, call, sent, result }
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
