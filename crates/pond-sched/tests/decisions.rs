//! The rules of the scheduler, one test for each.

use std::collections::BTreeMap;

use pond_proto::{Job, Kind, Labels, Millis, Selector, Size, TaskKey, Unit, Vm, VmKey};
use pond_sched::{Scheduler, ThrottleTuning, Tuning};
use pond_state::{Action, Change, End, Liveness, Meta, Order, Phase, State};
use pond_test::{Colocation, JobProfile, Scenario, job, service, vm};

const MINUTE: u64 = 60_000;

fn state(vms: Vec<Vm>) -> State {
    let mut state = State::new();
    let count = vms.len() as u32;
    state.apply(Change::Listed { at: Millis(1), vms });
    for key in 0..count {
        let (at, vm, why) = (Millis(1), VmKey(key), String::new());
        state.apply(Change::Judged { at, vm, liveness: Liveness::Live, why });
    }
    state
}

fn order(state: &mut State, order: Order) {
    state.apply(Change::Order { meta: Meta { at: Millis(1), ..Meta::default() }, order });
}

fn apply(state: &mut State, units: Vec<Unit>) {
    order(state, Order::Apply { units });
}

/// Plans once, applies the plan, and starts what was placed.
fn plan(state: &mut State, scheduler: &mut Scheduler, now: u64) -> Vec<Change> {
    let changes = scheduler.plan(state, Millis(now));
    changes.iter().for_each(|change| {
        state.apply(change.clone());
    });
    let keys: Vec<TaskKey> =
        state.tasks().filter(|task| task.started.is_none()).map(|task| task.key).collect();
    for task in keys {
        state.apply(Change::Started { at: Millis(now), task, endpoint: None });
    }
    changes
}

/// Returns the VM of a unit's first task.
fn place(state: &State, unit: &str) -> Option<String> {
    let key = *state.unit(unit)?.tasks.values().next()?;
    state.vm(state.task(key)?.vm).map(|vm| vm.vm.name.clone())
}

fn why(state: &State, unit: &str) -> String {
    let decision = state.unit(unit).and_then(|record| record.decisions.back());
    decision.map(|decision| decision.why.clone()).unwrap_or_default()
}

fn labelled(name: &str, key: &str, value: &str) -> Vm {
    Vm { labels: Labels::from([(key.to_owned(), value.to_owned())]), ..vm(name) }
}

#[test]
fn selectors_restrict_where_a_unit_runs() {
    type Change = fn(&mut Unit);
    let table: [(&str, Change, Option<&str>); 5] = [
        ("a=1", |unit| unit.selector = Selector::parse("a=1").expect("parses"), Some("x")),
        ("a!=1", |unit| unit.selector = Selector::parse("a!=1").expect("parses"), Some("y")),
        ("!a", |unit| unit.selector = Selector::parse("!a").expect("parses"), None),
        ("a=3", |unit| unit.selector = Selector::parse("a=3").expect("parses"), None),
        ("a", |unit| unit.selector = Selector::parse("a=2|3,a").expect("parses"), Some("y")),
    ];
    for (name, change, expected) in table {
        let mut state = state(vec![labelled("x", "a", "1"), labelled("y", "a", "2")]);
        let mut unit = job("job");
        change(&mut unit);
        apply(&mut state, vec![unit]);
        plan(&mut state, &mut Scheduler::new(), 10);
        assert_eq!(place(&state, "job").as_deref(), expected, "{name}");
    }
}

#[test]
fn unit_that_fits_nowhere_gets_an_explanation_and_blocks_no_other() {
    let mut state = state(vec![labelled("x", "a", "1"), labelled("y", "a", "1"), vm("z")]);
    let big = Unit {
        size: Size::new(1000, 1000, 2),
        selector: Selector::equals("a", "1"),
        priority: 90,
        ..job("big")
    };
    apply(&mut state, vec![big, job("small")]);
    let mut scheduler = Scheduler::new();
    plan(&mut state, &mut scheduler, 10);
    assert!(place(&state, "small").is_some());
    assert_eq!(
        why(&state, "big"),
        "2 of 3 VMs match the selector, 2 are too small: none has 2 accelerators there, the \
         largest has 0"
    );
    // No further change is proposed for it until room is freed.
    assert_eq!(plan(&mut state, &mut scheduler, 20), []);
    let with_accelerators = Vm { size: Size::new(4000, 4000, 2), ..labelled("w", "a", "1") };
    state.apply(Change::Listed { at: Millis(30), vms: vec![with_accelerators] });
    let (at, vm, why) = (Millis(30), VmKey(3), String::new());
    state.apply(Change::Judged { at, vm, liveness: Liveness::Live, why });
    plan(&mut state, &mut scheduler, 40);
    assert_eq!(place(&state, "big").as_deref(), Some("w"));
}

#[test]
fn replicas_of_a_service_are_spread_over_racks_and_data_centres() {
    let one = |i: u32| Vm {
        labels: Labels::from([
            (Vm::DATA_CENTRE.to_owned(), format!("dc-{}", i / 4)),
            (Vm::RACK.to_owned(), format!("rack-{}", i / 2)),
        ]),
        ..vm(&format!("vm-{i}"))
    };
    let mut state = state((0..8).map(one).collect());
    apply(&mut state, vec![service("s", 4)]);
    plan(&mut state, &mut Scheduler::new(), 10);
    let racks: std::collections::BTreeSet<_> = state
        .tasks()
        .filter_map(|task| state.vm(task.vm)?.vm.labels.get(Vm::RACK).cloned())
        .collect();
    assert_eq!(racks.len(), 4);
}

#[test]
fn unit_without_accelerators_avoids_vms_that_have_them() {
    let rich = Vm { size: Size::new(4000, 4000, 2), ..vm("rich") };
    let mut state = state(vec![rich, vm("plain")]);
    apply(&mut state, vec![job("job")]);
    plan(&mut state, &mut Scheduler::new(), 10);
    assert_eq!(place(&state, "job").as_deref(), Some("plain"));
}

#[test]
fn urgent_unit_preempts_the_cheapest_victim() {
    let mut state = state(vec![vm("a")]);
    let full =
        |name: &str, priority| Unit { size: Size::new(2000, 1000, 0), priority, ..job(name) };
    apply(&mut state, vec![full("low", 0), full("high", 50)]);
    let mut scheduler = Scheduler::new();
    plan(&mut state, &mut scheduler, 10);
    apply(&mut state, vec![full("urgent", 100)]);
    plan(&mut state, &mut scheduler, 20);
    let low = *state.unit("low").expect("unit").tasks.values().next().expect("task");
    let phases: Vec<Phase> = state.tasks().map(|task| task.phase).collect();
    assert_eq!(phases.iter().filter(|phase| phase.ending()).count(), 1, "one victim is enough");
    state.apply(Change::Ended { at: Millis(30), task: low, end: End::Stopped { checkpoint: 5 } });
    // The room is reserved for the urgent unit although the victim is waiting too.
    plan(&mut state, &mut scheduler, 40);
    assert_eq!(place(&state, "urgent").as_deref(), Some("a"));
    assert_eq!(place(&state, "low"), None);
}

#[test]
fn urgent_unit_does_not_preempt_another_urgent_unit() {
    let mut state = state(vec![vm("a")]);
    let full = |name: &str| Unit { size: Size::new(4000, 1000, 0), priority: 100, ..job(name) };
    apply(&mut state, vec![full("first")]);
    let mut scheduler = Scheduler::new();
    plan(&mut state, &mut scheduler, 10);
    apply(&mut state, vec![full("second")]);
    plan(&mut state, &mut scheduler, 20);
    assert!(state.tasks().all(|task| !task.phase.ending()));
}

#[test]
fn a_burst_of_submissions_does_not_delay_urgent_work() {
    let mut state = state((0..10).map(|i| vm(&format!("vm-{i}"))).collect());
    apply(&mut state, (0..5000).map(|i| job(&format!("job-{i}"))).collect());
    apply(&mut state, vec![Unit { priority: 100, ..job("urgent") }]);
    let changes = plan(&mut state, &mut Scheduler::new(), 10);
    let first = changes.iter().find_map(|change| match change {
        Change::Place { unit, .. } => Some(unit.as_str()),
        _ => None,
    });
    assert_eq!(first, Some("urgent"));
}

#[test]
fn at_equal_priority_the_team_with_the_smaller_share_goes_first() {
    let mut state = state(vec![vm("a")]);
    let of = |name: &str, team: &str| Unit { team: team.to_owned(), ..job(name) };
    apply(&mut state, vec![of("a1", "amara"), of("a2", "amara"), of("a3", "amara")]);
    let mut scheduler = Scheduler::new();
    plan(&mut state, &mut scheduler, 10);
    apply(&mut state, vec![of("a4", "amara"), of("b1", "bandu")]);
    plan(&mut state, &mut scheduler, 20);
    assert!(place(&state, "b1").is_some());
    assert_eq!(place(&state, "a4"), None);
}

#[test]
fn job_that_cannot_meet_its_deadline_gets_one_early_warning() {
    let mut state = state(vec![vm("a")]);
    let kind = Kind::Job(Job { run_ms: 10 * MINUTE, deadline_ms: Some(5 * MINUTE), retries: 0 });
    let late = Unit { kind, size: Size::new(9000, 1, 0), ..job("late") };
    apply(&mut state, vec![late]);
    let mut scheduler = Scheduler::new();
    let warnings = |changes: &[Change]| {
        changes.iter().filter(|change| matches!(change, Change::Warn { .. })).count()
    };
    assert_eq!(warnings(&plan(&mut state, &mut scheduler, 10)), 1);
    assert_eq!(warnings(&plan(&mut state, &mut scheduler, 1000)), 0);
}

#[test]
fn little_slack_raises_the_priority_of_a_job() {
    let mut state = state(vec![vm("a")]);
    let full = Size::new(4000, 1000, 0);
    let kind = Kind::Job(Job { run_ms: 10 * MINUTE, deadline_ms: Some(15 * MINUTE), retries: 0 });
    let tight = Unit { kind, size: full, ..job("tight") };
    apply(&mut state, vec![Unit { size: full, priority: 20, ..job("first") }, tight]);
    plan(&mut state, &mut Scheduler::new(), 10);
    assert!(place(&state, "tight").is_some());
}

/// Three VMs with one service each, and jobs of two kinds, one of which slows the service down.
fn scene() -> Scenario {
    let mut guarded = service("query", 3);
    guarded.labels = Labels::from([(Unit::KIND.to_owned(), "query".to_owned())]);
    let jobs = |name: &str| Unit {
        kind: Kind::Job(Job { run_ms: 2 * MINUTE, deadline_ms: None, retries: 30 }),
        ..job(name)
    };
    let truth = JobProfile { run_ms: 2.0 * MINUTE as f64, usage: 0.8, fails: false };
    let harm = |job: &str, harm| (("query".to_owned(), job.to_owned()), harm);
    Scenario {
        vms: (0..3).map(|i| vm(&format!("vm-{i}"))).collect(),
        services: vec![guarded],
        jobs: vec![(jobs("loud"), truth, 3), (jobs("calm"), truth, 3)],
        interference: BTreeMap::from([harm("loud", 0.8), harm("calm", 0.02)]),
        baseline_us: BTreeMap::from([("query".to_owned(), 14_000.0)]),
        lag_ms: 5_000,
        load: |_| 1.0,
        noise: |_| 1.0,
        faulty_vm: None,
        lost_rack: None,
        seed: 3,
    }
}

fn within(scene: Scenario, tuning: Tuning) -> f64 {
    let mut run = Colocation::new(scene, tuning);
    run.run(10 * MINUTE);
    run.outcome = Default::default();
    run.run(30 * MINUTE);
    run.outcome.within_objective as f64 / run.outcome.steps as f64
}

#[test]
fn services_meet_their_objective_next_to_interfering_work() {
    let off = ThrottleTuning { enabled: false, ..ThrottleTuning::default() };
    let unprotected = Tuning {
        avoid_interference: false,
        learn_interference: false,
        throttle: off,
        first_fit: false,
    };
    let bare = within(scene(), unprotected);
    let full = within(scene(), Tuning::default());
    assert!(bare < 0.8 && full > 0.97, "{bare} without, {full} with");
}

#[test]
fn delayed_reports_are_attributed_to_the_work_that_ran_then() {
    let full = within(Scenario { lag_ms: 60_000, ..scene() }, Tuning::default());
    assert!(full > 0.95, "{full}");
}

#[test]
fn only_the_interfering_kind_is_slowed() {
    let mut run = Colocation::new(scene(), Tuning::default());
    run.run(40 * MINUTE);
    let shares = |kind: &str| {
        let tasks = run.state.tasks().filter(|task| task.unit.starts_with(kind));
        let shares = tasks.map(|task| match task.phase {
            Phase::Slowed(share) => share,
            Phase::Paused => 0,
            _ => 100,
        });
        shares.collect::<Vec<_>>()
    };
    assert!(shares("calm").iter().all(|share| *share >= 90), "{:?}", shares("calm"));
    assert!(shares("loud").iter().any(|share| *share < 90), "{:?}", shares("loud"));
}

#[test]
fn paused_job_is_released_when_no_service_is_on_its_vm() {
    let mut state = state(vec![vm("a")]);
    apply(&mut state, vec![job("job")]);
    let mut scheduler = Scheduler::new();
    plan(&mut state, &mut scheduler, 10);
    let decision = pond_state::Decision::new(Millis(20), Action::Pause, "test");
    state.apply(Change::Steer { at: Millis(20), task: TaskKey(0), decision });
    plan(&mut state, &mut scheduler, 5_000);
    assert_eq!(state.task(TaskKey(0)).expect("a task").phase, Phase::Running);
}

#[test]
fn periodic_interference_causes_few_moves() {
    fn noise(ms: u64) -> f64 {
        if ms % (10 * MINUTE) < 2 * MINUTE { 4.0 } else { 1.0 }
    }
    let mut run = Colocation::new(Scenario { noise, ..scene() }, Tuning::default());
    run.run(60 * MINUTE);
    assert!(run.outcome.evictions <= 20, "{} moves in an hour", run.outcome.evictions);
}

#[test]
fn no_job_is_moved_more_often_than_the_cap() {
    let mut run = Colocation::new(scene(), Tuning::default());
    run.run(60 * MINUTE);
    assert!(run.state.units().all(|record| record.moves <= 3));
    assert_eq!(run.outcome.overcommitted, 0);
}

#[test]
fn vm_that_fails_every_job_is_quarantined_and_probed_later() {
    let bad = Scenario { faulty_vm: Some("vm-1".to_owned()), ..scene() };
    let mut run = Colocation::new(bad, Tuning::default());
    run.run(60 * MINUTE);
    let failures = run.failures();
    assert!((3..=12).contains(&failures), "{failures} failed runs in an hour");
    assert_eq!(run.given_up(), 0, "no job is given up because of the VM");
    assert!(run.outcome.finished > 50);
}

#[test]
fn job_that_fails_everywhere_is_given_up_and_no_vm_is_blamed() {
    let mut scene = scene();
    let broken = Unit {
        kind: Kind::Job(Job { run_ms: MINUTE, deadline_ms: None, retries: 6 }),
        ..job("broken")
    };
    let truth = JobProfile { run_ms: 1000.0, usage: 0.5, fails: true };
    scene.jobs.push((broken, truth, 4));
    let mut run = Colocation::new(scene, Tuning::default());
    run.run(60 * MINUTE);
    assert_eq!(run.given_up(), 4);
    assert!(run.state.vms().all(|vm| vm.failed.len() < 3));
    assert!(run.outcome.finished > 50);
}

#[test]
fn every_slow_down_is_explained() {
    let mut run = Colocation::new(scene(), Tuning::default());
    run.run(10 * MINUTE);
    let slowed = run.state.units().find(|record| {
        record.decisions.iter().any(|decision| matches!(decision.action, Action::Slow(_)))
    });
    let name = slowed.expect("something was slowed").unit.name.clone();
    let explained = run.explained(&name);
    assert!(explained.contains("query takes") && explained.contains("objective"), "{explained}");
}
