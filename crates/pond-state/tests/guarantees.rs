//! The guarantees that the replicated state keeps, whatever is proposed.

use pond_proto::wire::Verdict;
use pond_proto::{Labels, Millis, Selector, Size, TaskKey, VmKey};
use pond_state::{
    Action, Change, Decided, Decision, End, Holder, KeptAnswer, Liveness, Meta, Order, Phase,
    Refusal, Reply, Standing, State, Target,
};
use pond_test::{cases, job, meta, service, vm};
use proptest::prelude::*;

fn decision(action: Action) -> Decision {
    Decision::new(Millis(1), action, "test")
}

fn apply(state: &mut State, request: &str, units: Vec<pond_proto::Unit>) -> Reply {
    state.apply(Change::Order { meta: meta(request), order: Order::Apply { units } })
}

fn place(state: &mut State, unit: &str, replica: u32, vm: u32) -> Reply {
    state.apply(Change::Place {
        at: Millis(1),
        unit: unit.to_owned(),
        replica,
        vm: VmKey(vm),
        decision: decision(Action::Place),
    })
}

fn end(state: &mut State, task: u64, end: End) -> Reply {
    state.apply(Change::Ended { at: Millis(1), task: TaskKey(task), end })
}

fn steer(state: &mut State, task: u64, action: Action) -> Reply {
    let decision = decision(action);
    state.apply(Change::Steer { at: Millis(1), task: TaskKey(task), decision })
}

/// Returns a state with two live VMs of four processors each.
fn state() -> State {
    let mut state = State::new();
    state.apply(Change::Listed { at: Millis(1), vms: vec![vm("a"), vm("b")] });
    for key in 0..2 {
        state.apply(Change::Judged {
            at: Millis(1),
            vm: VmKey(key),
            liveness: Liveness::Live,
            why: String::new(),
        });
    }
    state
}

fn refused(reply: &Reply) -> Option<&Refusal> {
    match reply {
        Reply::Refused(refusal) => Some(refusal),
        _ => None,
    }
}

#[test]
fn vm_is_never_overcommitted() {
    let mut state = state();
    let units = (0..6).map(|i| job(&format!("job-{i}"))).collect();
    apply(&mut state, "1", units);
    for i in 0..4 {
        assert!(matches!(place(&mut state, &format!("job-{i}"), 0, 0), Reply::Placed(_)));
    }
    assert_eq!(refused(&place(&mut state, "job-4", 0, 0)), Some(&Refusal::NoRoom));
    // A task that is being stopped still takes room.
    steer(&mut state, 0, Action::Stop);
    assert_eq!(refused(&place(&mut state, "job-4", 0, 0)), Some(&Refusal::NoRoom));
    end(&mut state, 0, End::Stopped { checkpoint: 5 });
    assert!(matches!(place(&mut state, "job-4", 0, 0), Reply::Placed(_)));
}

#[test]
fn a_replica_never_has_two_tasks() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    place(&mut state, "job", 0, 0);
    assert_eq!(refused(&place(&mut state, "job", 0, 1)), Some(&Refusal::NotNeeded));
    steer(&mut state, 0, Action::Stop);
    assert_eq!(refused(&place(&mut state, "job", 0, 1)), Some(&Refusal::NotNeeded));
}

#[test]
fn evicted_work_resumes_exactly_once() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    place(&mut state, "job", 0, 0);
    steer(&mut state, 0, Action::Move);
    end(&mut state, 0, End::Stopped { checkpoint: 700 });
    // A repeated report of the same end, as after a lost answer, has no effect.
    assert_eq!(refused(&end(&mut state, 0, End::Lost)), Some(&Refusal::NoTask));
    place(&mut state, "job", 0, 1);
    let task = state.task(TaskKey(1)).expect("the resumed task");
    assert_eq!((task.attempt, task.resume_from), (2, Some(700)));
    assert_eq!(state.unit("job").expect("unit").resume, None, "the resume consumed the eviction");
    assert_eq!(refused(&place(&mut state, "job", 0, 0)), Some(&Refusal::NotNeeded));
}

#[test]
fn a_lost_task_resumes_from_its_last_checkpoint() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    place(&mut state, "job", 0, 0);
    state.apply(Change::Checkpointed { task: TaskKey(0), checkpoint: 300 });
    end(&mut state, 0, End::Lost);
    place(&mut state, "job", 0, 1);
    assert_eq!(state.task(TaskKey(1)).expect("task").resume_from, Some(300));
}

#[test]
fn cancelled_unit_does_not_start() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    let order = Order::Cancel { names: vec!["job".to_owned()], selector: None };
    state.apply(Change::Order { meta: meta("2"), order });
    assert_eq!(refused(&place(&mut state, "job", 0, 0)), Some(&Refusal::NotNeeded));
    assert_eq!(state.incomplete_units().count(), 0);
}

#[test]
fn running_job_that_is_cancelled_is_stopped_and_not_resumed() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    place(&mut state, "job", 0, 0);
    let order = Order::Cancel { names: vec!["job".to_owned()], selector: None };
    state.apply(Change::Order { meta: meta("2"), order });
    assert_eq!(state.task(TaskKey(0)).expect("task").phase, Phase::Stopping);
    end(&mut state, 0, End::Stopped { checkpoint: 5 });
    assert_eq!(refused(&place(&mut state, "job", 0, 0)), Some(&Refusal::NotNeeded));
}

#[test]
fn closed_vms_accept_no_work() {
    type Close = fn(&mut State);
    let closed: [(&str, Close); 4] = [
        ("suspect", |state| {
            let (at, vm, why) = (Millis(1), VmKey(0), String::new());
            state.apply(Change::Judged { at, vm, liveness: Liveness::Suspect, why });
        }),
        ("drained", |state| {
            let selector = Selector::equals("data-centre", "north");
            let order = Order::Drain { selector, drained: true };
            state.apply(Change::Order { meta: meta("d"), order });
        }),
        ("evacuated", |state| {
            evacuate(state, "e", "north", true);
        }),
        ("leaving", |state| {
            let leaving = pond_proto::Vm { presence: pond_proto::Presence::Leaving, ..vm("a") };
            state.apply(Change::Listed { at: Millis(1), vms: vec![leaving] });
        }),
    ];
    for (name, close) in closed {
        let mut state = state();
        apply(&mut state, "1", vec![job("job")]);
        close(&mut state);
        let reply = place(&mut state, "job", 0, 0);
        assert_eq!(refused(&reply), Some(&Refusal::VmClosed), "{name}");
    }
}

fn evacuate(state: &mut State, request: &str, name: &str, evacuated: bool) -> Reply {
    let order = Order::Evacuate { data_centre: name.to_owned(), evacuated };
    state.apply(Change::Order { meta: meta(request), order })
}

#[test]
fn evacuation_covers_new_vms_and_lasts_until_it_is_revoked() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job"), job("later")]);
    assert!(matches!(evacuate(&mut state, "2", "north", true), Reply::Accepted { .. }));
    let new = pond_proto::Vm { name: "new".to_owned(), ..vm("a") };
    state.apply(Change::Listed { at: Millis(2), vms: vec![new] });
    assert!(state.vms().all(|vm| vm.evacuated == (vm.vm.data_centre() == "north")));
    assert_eq!(state.evacuations().map(|(name, _)| name).collect::<Vec<_>>(), ["north"]);
    evacuate(&mut state, "3", "north", false);
    assert_eq!(state.evacuations().count(), 0);
    assert!(matches!(place(&mut state, "job", 0, 0), Reply::Placed { .. }));
}

#[test]
fn tasks_keep_running_in_an_evacuated_data_centre() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    place(&mut state, "job", 0, 0);
    let before = state.task(TaskKey(0)).expect("task").phase;
    evacuate(&mut state, "2", "north", true);
    assert_eq!(state.task(TaskKey(0)).expect("task").phase, before);
    assert!(state.vms().all(|vm| !vm.leaving()));
}

#[test]
fn unknown_data_centre_is_refused() {
    let mut state = state();
    for name in ["nowhere", ""] {
        let reply = evacuate(&mut state, &format!("of-{name}"), name, true);
        assert!(matches!(refused(&reply), Some(Refusal::NoMatch { .. })), "{name:?}");
    }
    assert_eq!(state.evacuations().count(), 0);
}

#[test]
fn team_never_exceeds_its_quota() {
    let mut state = state();
    let teams = [("team".to_owned(), Size::new(2000, 8000, 0))].into();
    state.apply(Change::Order { meta: meta("q"), order: Order::Quota { teams } });
    apply(&mut state, "1", (0..3).map(|i| job(&format!("job-{i}"))).collect());
    place(&mut state, "job-0", 0, 0);
    place(&mut state, "job-1", 0, 1);
    assert_eq!(refused(&place(&mut state, "job-2", 0, 1)), Some(&Refusal::Quota));
}

#[test]
fn resent_order_gets_its_first_result_and_changes_nothing() {
    let mut state = state();
    let first = apply(&mut state, "same", vec![job("job")]);
    let version = state.version();
    assert_eq!(apply(&mut state, "same", vec![job("job")]), first);
    assert_eq!(state.version(), version);
}

#[test]
fn identity_of_another_order_is_refused() {
    let mut state = state();
    apply(&mut state, "same", vec![job("job")]);
    let reply = apply(&mut state, "same", vec![job("other")]);
    assert_eq!(refused(&reply), Some(&Refusal::IdentityUsed));
    assert!(state.unit("other").is_none());
}

#[test]
fn second_order_based_on_the_same_version_is_refused_with_the_changes_since() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    let version = state.version();
    let label = |who: &str, request: &str, value: &str| Change::Order {
        meta: Meta { who: who.to_owned(), expect: Some(version), ..meta(request) },
        order: Order::Label {
            target: Target::Units,
            selector: Selector::default(),
            set: Labels::from([("night".to_owned(), value.to_owned())]),
            unset: Vec::new(),
        },
    };
    assert!(matches!(state.apply(label("amara", "2", "yes")), Reply::Accepted { .. }));
    let reply = state.apply(label("bandu", "3", "no"));
    let Some(Refusal::Conflict { since, .. }) = refused(&reply) else { panic!("{reply:?}") };
    assert!(since[0].contains("amara") && since[0].contains("night=yes"), "{since:?}");
    assert_eq!(state.unit("job").expect("unit").unit.labels["night"], "yes");
}

#[test]
fn every_accepted_order_is_in_the_audit_trail() {
    let mut state = state();
    apply(&mut state, "req-1", vec![job("job")]);
    let record = state.trail().newest(1).next().expect("a record").clone();
    assert_eq!((record.who.as_str(), record.request.as_str()), ("operator", "req-1"));
    assert_eq!(record.version, state.version());
    assert_eq!(record.what, "applied job");
}

fn claim(state: &mut State, key: &str, digest: u32, number: u64) -> Decided {
    let change = Change::Claim {
        at: Millis(1),
        service: "loans".to_owned(),
        key: key.to_owned(),
        digest,
        holder: Holder { incarnation: 1, number },
    };
    match state.apply(change) {
        Reply::Claim(decided) => decided,
        other => panic!("{other:?}"),
    }
}

fn unclaim(state: &mut State, number: u64, not_run: bool, answer: Option<KeptAnswer>) {
    state.apply(Change::Unclaim {
        at: Millis(1),
        service: "loans".to_owned(),
        key: "key".to_owned(),
        holder: Holder { incarnation: 1, number },
        not_run,
        answer,
    });
}

fn answer() -> Option<KeptAnswer> {
    let content_type = "text/plain".to_owned();
    Some(KeptAnswer { status: 200, content_type, body: b"issued".to_vec() })
}

#[test]
fn claims_are_granted_at_most_once() {
    // What happened to the first request, and the verdict on a second one with the same key.
    type Step = fn(&mut State);
    let table: [(&str, Step, Verdict); 5] = [
        ("still running", |_| {}, Verdict::Held),
        ("answered", |s| unclaim(s, 1, false, answer()), Verdict::Answered),
        ("outcome unknown", |s| unclaim(s, 1, false, None), Verdict::Ended),
        ("did not run", |s| unclaim(s, 1, true, None), Verdict::Granted),
        ("end reported by another holder", |s| unclaim(s, 9, true, None), Verdict::Held),
    ];
    for (name, step, expected) in table {
        let mut state = State::new();
        assert_eq!(claim(&mut state, "key", 5, 1), Decided::new(Verdict::Granted));
        step(&mut state);
        assert_eq!(claim(&mut state, "key", 5, 2).verdict, expected as i32, "{name}");
    }
}

#[test]
fn an_ended_claim_stays_ended_when_a_late_report_says_it_did_not_run() {
    let mut state = State::new();
    claim(&mut state, "key", 5, 1);
    unclaim(&mut state, 1, false, answer());
    unclaim(&mut state, 1, true, None);
    assert_eq!(claim(&mut state, "key", 5, 2).verdict, Verdict::Answered as i32);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut state = State::new();
    claim(&mut state, "key", 5, 1);
    assert_eq!(claim(&mut state, "key", 6, 2), Decided::new(Verdict::Mismatch));
}

#[test]
fn claims_expire_after_a_day_and_not_before() {
    let day = 24 * 3600 * 1000;
    for (at, expected) in [(day, Verdict::Held), (day + 2, Verdict::Granted)] {
        let mut state = State::new();
        claim(&mut state, "key", 5, 1);
        let change = Change::Claim {
            at: Millis(at),
            service: "loans".to_owned(),
            key: "key".to_owned(),
            digest: 5,
            holder: Holder { incarnation: 2, number: 1 },
        };
        let Reply::Claim(decided) = state.apply(change) else { panic!("no claim") };
        assert_eq!(decided.verdict, expected as i32, "at {at}");
    }
}

#[test]
fn deltas_lead_from_any_version_to_the_current_one() {
    let mut state = state();
    let mut versions = vec![(0, state.delta(0, 1))];
    apply(&mut state, "1", vec![service("s", 2)]);
    place(&mut state, "s", 0, 0);
    state.apply(Change::Started {
        at: Millis(1),
        task: TaskKey(0),
        endpoint: Some("127.0.0.1:9".to_owned()),
    });
    versions.push((state.version(), state.delta(0, 1)));
    steer(&mut state, 0, Action::Move);
    versions.push((state.version(), state.delta(0, 1)));
    end(&mut state, 0, End::Stopped { checkpoint: 0 });
    let newest = state.delta(0, 1);
    assert!(newest.endpoints.is_empty());
    for (version, _) in versions {
        let delta = state.delta(version, 1);
        assert_eq!((delta.from, delta.to), (version, state.version()));
        assert!(version == 0 || delta.removed.contains(&0), "{delta:?}");
    }
}

#[test]
fn process_too_far_behind_gets_the_complete_configuration() {
    let mut state = state();
    for i in 0..5000 {
        apply(&mut state, &format!("{i}"), vec![job("job")]);
    }
    assert_eq!(state.delta(1, 1).from, 0);
    assert_eq!(state.delta(4990, 1).from, 4990);
}

#[test]
fn failing_job_backs_off_longer_each_time_and_ends_with_its_reason() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    let mut waits = Vec::new();
    for task in 0..3 {
        place(&mut state, "job", 0, 0);
        end(&mut state, task, End::Failed { reason: "no such file".to_owned() });
        waits.push(state.unit("job").expect("unit").not_before.0);
    }
    assert_eq!(waits, [1001, 2001, 4001]);
    let reason = "no such file".to_owned();
    assert_eq!(state.unit("job").expect("unit").standing, Standing::Failed { reason });
}

#[test]
fn gone_vm_is_removed_only_once_it_has_no_task() {
    let mut state = state();
    apply(&mut state, "1", vec![job("job")]);
    place(&mut state, "job", 0, 0);
    for key in 0..2 {
        let (at, vm, why) = (Millis(1), VmKey(key), String::new());
        state.apply(Change::Judged { at, vm, liveness: Liveness::Gone, why });
    }
    assert!(state.vm(VmKey(0)).is_some());
    assert!(state.vm(VmKey(1)).is_none());
}

/// Generates arbitrary changes, valid or not.
fn any_change() -> impl Strategy<Value = Change> {
    let at = Millis(1);
    let unit = (0..4u32).prop_map(|i| format!("unit-{i}"));
    let task = (0..12u64).prop_map(TaskKey);
    let action = prop_oneof![
        Just(Action::Slow(50)),
        Just(Action::Pause),
        Just(Action::Release),
        Just(Action::Move),
        Just(Action::Stop)
    ];
    let ending = prop_oneof![
        Just(End::Done),
        Just(End::Lost),
        Just(End::Failed { reason: "why".to_owned() }),
        Just(End::Refused { reason: "why".to_owned() }),
        (0..100u64).prop_map(|checkpoint| End::Stopped { checkpoint }),
    ];
    prop_oneof![
        (unit.clone(), any::<u64>(), any::<bool>()).prop_map(move |(name, id, is_job)| {
            let unit = if is_job { job(&name) } else { service(&name, 2) };
            let order = Order::Apply { units: vec![unit] };
            Change::Order { meta: meta(&id.to_string()), order }
        }),
        (unit.clone(), any::<u64>()).prop_map(move |(name, id)| {
            let order = Order::Cancel { names: vec![name], selector: None };
            Change::Order { meta: meta(&id.to_string()), order }
        }),
        (unit, 0..2u32, 0..3u32).prop_map(move |(unit, replica, vm)| Change::Place {
            at,
            unit,
            replica,
            vm: VmKey(vm),
            decision: decision(Action::Place),
        }),
        (task.clone(), action).prop_map(move |(task, action)| Change::Steer {
            at,
            task,
            decision: decision(action)
        }),
        task.clone().prop_map(move |task| Change::Started { at, task, endpoint: None }),
        (task, ending).prop_map(move |(task, end)| Change::Ended { at, task, end }),
    ]
}

proptest! {
    #![proptest_config(cases(500))]

    #[test]
    fn no_sequence_of_changes_breaks_a_guarantee(changes in prop::collection::vec(any_change(), 1..60)) {
        let mut state = state();
        let mut version = 0;
        let mut restored = state.clone();
        for change in changes {
            let reply = state.apply(change.clone());
            // A replica that was just restored from a snapshot must give the same result.
            prop_assert_eq!(restored.apply(change), reply);
            prop_assert_eq!(restored.checksum(), state.checksum());
            restored = State::decode(&state.encode()).expect("decodes");
            prop_assert!(state.version() >= version, "the version decreased");
            version = state.version();
            for vm in state.vms() {
                let taken = state.tasks_on(vm.key).fold(Size::default(), |sum, t| sum.plus(t.size));
                prop_assert_eq!(taken, vm.taken);
                prop_assert!(taken.fits(vm.vm.size), "{} has too much", vm.vm.name);
            }
            let mut replicas: Vec<_> = state.tasks().map(|t| (&t.unit, t.replica)).collect();
            let all = replicas.len();
            replicas.sort();
            replicas.dedup();
            prop_assert_eq!(replicas.len(), all, "a replica has two tasks");
        }
    }
}
