//! Who gets a place first when there is not enough for all.

mod support;

use pond_proto::job::{How, Step};
use support::{Bench, step, task};

#[test]
fn job_that_can_be_in_time_goes_before_one_that_is_late() {
    let mut bench = Bench::new();
    bench.submit_batch(1, vec![step(1, 800)]);
    bench.pass(3, &[]);
    bench.submit_batch(2, vec![step(1, 800)]);
    bench.add_vm("a", 1_000);
    bench.settle();
    assert_eq!(bench.place_of(task(2, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn late_job_goes_before_a_worthless_one() {
    let mut bench = Bench::new();
    bench.submit_batch(1, vec![step(1, 800)]);
    bench.pass(5, &[]);
    bench.submit_batch(2, vec![step(1, 800)]);
    bench.pass(2, &[]);
    bench.add_vm("a", 1_000);
    bench.settle();
    assert_eq!(bench.place_of(task(2, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn job_that_is_begun_is_finished_first() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    let second = Step { after: vec![0], ..step(1, 800) };
    bench.submit_batch(2, vec![step(1, 800), second]);
    bench.settle();
    bench.obey("a");
    // Due earlier, but not begun.
    bench.submit_batch(3, vec![step(1, 800)]);
    bench.end("a", bench.started("a")[0], How::Done);
    let places = [bench.place_of(task(2, 1, 0)), bench.place_of(task(3, 0, 0))];
    assert_eq!(places.map(|place| place.is_some()), [true, false]);
}

#[test]
fn lasting_work_is_never_too_late() {
    let mut bench = Bench::new();
    bench.submit(1, vec![Step { lasting: true, ..step(1, 800) }]);
    bench.pass(20, &[]);
    bench.submit(2, vec![step(1, 800)]);
    bench.add_vm("a", 1_000);
    bench.settle();
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
}
