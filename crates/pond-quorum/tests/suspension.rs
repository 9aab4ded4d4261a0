//! Machines that are suspended for seconds: a replica that wakes holds no lease that another may hold by then.

use pond_test::{Cluster, Faults, cases};
use proptest::prelude::*;

/// The clocks that replicas are run with go on during a suspension. With ones that stand still, as the steady
/// clock of the standard library, the first of these tests finds two holders of the lease.
const CLOCKS_STOP: bool = false;

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn suspended_replicas_keep_every_promise_when_they_wake(seed in any::<u64>()) {
        let faults = Faults { suspend: 60, clocks_stop: CLOCKS_STOP, ..Faults::none() };
        let mut cluster = Cluster::new(3, seed, faults);
        cluster.run_under_load(20_000);
        cluster.heal_and_check();
        assert_eq!(cluster.violation, None);
    }
}

#[test]
fn leader_that_was_suspended_finds_another_in_its_place() {
    let faults = Faults { clocks_stop: CLOCKS_STOP, ..Faults::none() };
    let mut cluster = Cluster::new(3, 1, faults);
    cluster.run(1_500);
    let leader = cluster.leader().expect("a leader");
    cluster.suspend(leader, 5_000);
    cluster.run(6_000);
    assert_eq!(cluster.violation, None);
    assert_ne!(cluster.leader(), Some(leader));
}
