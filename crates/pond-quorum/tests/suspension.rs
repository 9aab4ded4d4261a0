//! Machines that are suspended for seconds. A replica that resumes must not hold a lease that another
//! replica may hold by then.

use pond_test::{Cluster, Faults, cases};
use proptest::prelude::*;

/// Whether the clocks of replicas stop during a suspension, as the monotonic clock of the standard library
/// does. Replicas use clocks that continue; with `true` the first test finds two holders of the lease.
const CLOCK_STOPS: bool = false;

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn suspended_replicas_keep_every_guarantee_when_they_resume(seed in any::<u64>()) {
        let faults = Faults { suspend: 60, clocks_stop: CLOCK_STOPS, ..Faults::none() };
        let mut cluster = Cluster::new(3, seed, faults);
        cluster.run_under_load(20_000);
        cluster.heal_and_check();
        assert_eq!(cluster.violation, None);
    }
}

#[test]
fn leader_that_was_suspended_is_replaced() {
    let faults = Faults { clocks_stop: CLOCK_STOPS, ..Faults::none() };
    let mut cluster = Cluster::new(3, 1, faults);
    cluster.run(1_500);
    let leader = cluster.leader().expect("a leader");
    cluster.suspend(leader, 5_000);
    cluster.run(6_000);
    assert_eq!(cluster.violation, None);
    assert_ne!(cluster.leader(), Some(leader));
}
