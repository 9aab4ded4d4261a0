//! The guarantees of request routing under faults: links lost, processes killed, endpoints failing.

use pond_proto::wire::{Answer, Body, Offer, OfferId, Refusal, RequestId};
use pond_proto::{Micros, Outcome, view};
use pond_route::{Admission, AdmissionOutput, Finish, NotRun, Tuning};
use pond_test::{Behaviour, RequestPath, cases};
use proptest::prelude::*;

const MS: u64 = 1000;

fn path(entries: usize, endpoints: usize) -> RequestPath {
    RequestPath::new(entries, endpoints, 8, Tuning::default(), 7)
}

fn body_of(path: &RequestPath, id: RequestId) -> Vec<u8> {
    match &path.replies[&id].finish {
        Finish::Answered(answer) => answer.body.clone(),
        other => panic!("{other:?}"),
    }
}

fn reason(path: &RequestPath, id: RequestId) -> NotRun {
    match path.replies[&id].finish {
        Finish::NotRun(reason) => reason,
        ref other => panic!("{other:?}"),
    }
}

/// A fault during a request that is not repeatable, with the expected outcome and number of runs.
struct Case {
    name: &'static str,
    /// Applied before the request is made.
    before: fn(&mut RequestPath),
    /// Applied 2 ms after the request is made.
    after: fn(&mut RequestPath),
    outcome: Outcome,
    runs: u32,
}

const SLOW: Behaviour = Behaviour::Exactly(20 * MS);

fn slow(path: &mut RequestPath) {
    path.set_behaviour(0, SLOW);
}

/// Occupies all slots of the only endpoint, so that the request waits in its queue.
fn occupy_slots(path: &mut RequestPath) {
    path.set_behaviour(0, Behaviour::Exactly(40 * MS));
    for _ in 0..8 {
        path.request(1, true, "", 1000);
    }
    path.run_for(500);
}

const CASES: &[Case] = &[
    Case { name: "nothing", before: |_| {}, after: |_| {}, outcome: Outcome::Answered, runs: 1 },
    Case {
        name: "the link is lost and restored while the request runs",
        before: slow,
        after: |path| path.cut_link(0, 0, 5 * MS),
        outcome: Outcome::Answered,
        runs: 1,
    },
    Case {
        name: "the link is lost while the request runs and restored after it has ended",
        before: slow,
        after: |path| path.cut_link(0, 0, 60 * MS),
        outcome: Outcome::Answered,
        runs: 1,
    },
    Case {
        name: "the link is lost for longer than the caller waits",
        before: slow,
        after: |path| path.cut_link(0, 0, 5000 * MS),
        outcome: Outcome::Unknown,
        runs: 1,
    },
    Case {
        name: "only the entry notices the loss of the link",
        before: slow,
        after: |path| path.cut_link_at_entry(0, 0, 5 * MS),
        outcome: Outcome::Answered,
        runs: 1,
    },
    Case {
        name: "the process is killed while the request runs",
        before: slow,
        after: |path| path.kill(0, 5 * MS),
        outcome: Outcome::Unknown,
        runs: 1,
    },
    Case {
        name: "the endpoint sends an incomplete answer",
        before: |path| path.set_behaviour(0, Behaviour::Break(3 * MS)),
        after: |_| {},
        outcome: Outcome::Unknown,
        runs: 1,
    },
    Case {
        name: "the endpoint fails",
        before: |path| path.set_behaviour(0, Behaviour::Fail(3 * MS)),
        after: |_| {},
        outcome: Outcome::Answered,
        runs: 1,
    },
    Case {
        name: "the endpoint never answers",
        before: |path| path.set_behaviour(0, Behaviour::Silent),
        after: |_| {},
        outcome: Outcome::Unknown,
        runs: 1,
    },
    Case {
        name: "the endpoint cannot be connected to",
        before: |path| path.set_behaviour(0, Behaviour::Unreachable),
        after: |_| {},
        outcome: Outcome::NotRun,
        runs: 0,
    },
    Case {
        name: "the link is lost while the request is queued, and the endpoint stays busy",
        before: occupy_slots,
        after: |path| path.cut_link(0, 0, 3 * MS),
        outcome: Outcome::Answered,
        runs: 1,
    },
    Case {
        name: "the process is killed while the request is queued",
        before: occupy_slots,
        after: |path| path.kill(0, 3 * MS),
        outcome: Outcome::Unknown,
        runs: 0,
    },
    Case {
        name: "the endpoint leaves while the request is queued",
        before: occupy_slots,
        after: |path| path.admission(0).leave(1),
        outcome: Outcome::NotRun,
        runs: 0,
    },
    Case {
        name: "the endpoint leaves while the request runs",
        before: slow,
        after: |path| path.admission(0).leave_all(),
        outcome: Outcome::Answered,
        runs: 1,
    },
];

#[test]
fn request_that_is_not_repeatable_runs_at_most_once_and_reports_the_right_outcome() {
    for case in CASES {
        let mut path = path(2, 1);
        (case.before)(&mut path);
        let id = path.request(0, false, "", 300);
        path.run_for(2 * MS);
        (case.after)(&mut path);
        path.run_for(1000 * MS);
        let runs = path.runs.get(&id).copied().unwrap_or(0);
        assert_eq!(path.outcome(id), Some(case.outcome), "{}", case.name);
        assert_eq!(runs, case.runs, "{}", case.name);
    }
}

#[test]
fn every_caller_gets_the_answer_to_its_own_request() {
    let mut path = path(2, 3);
    let ids: Vec<RequestId> = (0..60).map(|i| path.request(i % 2, true, "", 1000)).collect();
    path.run_for(1000 * MS);
    for id in ids {
        assert_eq!(body_of(&path, id), id.number.to_be_bytes());
    }
}

#[test]
fn duplicate_late_or_forged_answers_reach_no_other_caller() {
    let forge = |id: RequestId, attempt: u32| {
        let offer = OfferId { id, attempt };
        let body = b"forged".to_vec();
        Body::Answer(Answer { offer, status: 200, body, ..Answer::default() })
    };
    type Forgery = fn(RequestId) -> (RequestId, u32);
    let table: [(&str, Forgery); 4] = [
        ("of another incarnation of the entry", |id| {
            (RequestId { incarnation: id.incarnation + 1, ..id }, 1)
        }),
        ("of another number", |id| (RequestId { number: id.number + 1, ..id }, 1)),
        ("of an offer that was never made", |id| (id, 7)),
        ("of offer zero", |id| (id, 0)),
    ];
    for (name, forgery) in table {
        let mut path = path(1, 2);
        slow(&mut path);
        path.set_behaviour(1, SLOW);
        let id = path.request(0, false, "", 300);
        path.run_for(2 * MS);
        let (other, attempt) = forgery(id);
        (0..2).for_each(|process| path.inject(0, process, forge(other, attempt)));
        path.run_for(100 * MS);
        assert_eq!(body_of(&path, id), id.number.to_be_bytes(), "{name}");
    }
}

#[test]
fn answer_from_a_process_that_got_no_offer_is_ignored() {
    let mut path = path(1, 2);
    slow(&mut path);
    path.set_behaviour(1, SLOW);
    let id = path.request(0, false, "", 300);
    path.run_for(2 * MS);
    let process = path.starts.iter().position(|starts| *starts > 0).expect("it runs");
    let offer = OfferId { id, attempt: 1 };
    let answer = Answer { offer, status: 200, body: b"forged".to_vec(), ..Answer::default() };
    path.inject(0, 1 - process, Body::Answer(answer));
    path.run_for(100 * MS);
    assert_eq!(body_of(&path, id), id.number.to_be_bytes());
}

#[test]
fn offer_on_an_old_link_is_not_started_after_its_fate_was_reported() {
    // The entry loses the link and reconnects while an offer is still in transit on the old link.
    // The process reads that offer, is then asked for its fate, and gets the request offered again.
    let mut path = path(1, 1).with_delay(10 * MS);
    let id = path.request(0, false, "", 500);
    path.cut_link_at_entry(0, 0, 0);
    path.run_for(1000 * MS);
    assert_eq!(path.outcome(id), Some(Outcome::Answered));
    assert_eq!(path.runs.get(&id), Some(&1));
}

#[test]
fn repeatable_request_that_ran_and_failed_is_never_reported_as_not_run() {
    for (behaviour, outcome) in
        [(Behaviour::Break(MS), Outcome::Unknown), (Behaviour::Fail(MS), Outcome::Answered)]
    {
        let mut path = path(1, 1);
        path.set_behaviour(0, behaviour);
        let id = path.request(0, true, "", 100);
        path.run_for(500 * MS);
        assert_eq!(path.outcome(id), Some(outcome), "{behaviour:?}");
        assert!(path.runs[&id] >= 1);
    }
}

#[test]
fn without_a_quorum_only_repeatable_requests_run() {
    let mut path = path(1, 2);
    path.control_available = false;
    let once = path.request(0, false, "key", 100);
    let often = path.request(0, true, "key", 100);
    path.run_for(50 * MS);
    assert_eq!(reason(&path, once), NotRun::NoQuorum);
    assert_eq!(path.runs.get(&once), None);
    assert_eq!(path.outcome(often), Some(Outcome::Answered));
}

#[test]
fn resend_to_another_entry_does_not_run_a_second_time() {
    let mut path = path(2, 2);
    (0..2).for_each(|i| path.set_behaviour(i, SLOW));
    let first = path.request(0, false, "claim-notice-7", 500);
    path.run_for(MS);
    let second = path.request(1, false, "claim-notice-7", 200);
    path.run_for(1000 * MS);
    assert_eq!(path.outcome(first), Some(Outcome::Answered));
    assert_eq!(path.outcome(second), Some(Outcome::Unknown));
    assert_eq!(path.runs.get(&second), None);
}

#[test]
fn claimed_request_that_did_not_run_frees_its_key() {
    let mut path = path(2, 1);
    path.set_behaviour(0, Behaviour::Unreachable);
    let first = path.request(0, false, "loan-12", 50);
    path.run_for(100 * MS);
    assert_eq!(path.outcome(first), Some(Outcome::NotRun));
    path.set_behaviour(0, Behaviour::Exactly(MS));
    path.run_for(20_000 * MS);
    let second = path.request(1, false, "loan-12", 500);
    path.run_for(500 * MS);
    assert_eq!(path.outcome(second), Some(Outcome::Answered));
}

#[test]
fn leaving_endpoint_gets_no_new_requests_even_from_an_entry_cut_off_from_control() {
    let mut path = path(2, 2);
    // Only the process of endpoint 0 knows that it leaves; the entries have no newer configuration.
    path.admission(0).leave(1);
    path.run_for(MS);
    let before = path.starts[0];
    let ids: Vec<RequestId> = (0..40).map(|i| path.request(i % 2, false, "", 500)).collect();
    path.run_for(500 * MS);
    assert_eq!(path.starts[0], before);
    assert!(ids.iter().all(|id| path.outcome(*id) == Some(Outcome::Answered)));
}

#[test]
fn planned_stop_of_an_endpoint_process_interrupts_no_request() {
    let mut path = path(2, 2);
    (0..2).for_each(|i| path.set_behaviour(i, SLOW));
    let ids: Vec<RequestId> = (0..16).map(|i| path.request(i % 2, false, "", 500)).collect();
    path.run_for(MS);
    path.admission(0).leave_all();
    path.run_for(200 * MS);
    assert!(ids.iter().all(|id| path.outcome(*id) == Some(Outcome::Answered)));
    assert_eq!(path.admission(0).in_progress(), 0);
}

#[test]
fn expired_requests_are_refused_as_not_run_and_never_started() {
    let mut path = path(1, 1);
    path.set_behaviour(0, Behaviour::Exactly(100 * MS));
    (0..8).for_each(|_| {
        path.request(0, true, "", 1000);
    });
    path.run_for(MS);
    let late = path.request(0, false, "", 30);
    path.run_for(500 * MS);
    assert_eq!(path.outcome(late), Some(Outcome::NotRun));
    assert_eq!(path.runs.get(&late), None);
}

#[test]
fn expired_offer_is_not_started_when_a_slot_becomes_free() {
    let endpoint = view::Endpoint {
        task: 1,
        process: "a".to_owned(),
        address: "b".to_owned(),
        slots: 1,
        ..view::Endpoint::default()
    };
    let mut admission = Admission::new("a");
    let delta = view::Delta { to: 1, endpoints: vec![endpoint], ..view::Delta::default() };
    admission.apply_view(Micros(0), delta);
    admission.link_up(1, 7);
    let id = |number| RequestId { incarnation: 7, number };
    for (number, remaining_ms) in [(1, 1000), (2, 5)] {
        let offer = Offer { id: id(number), attempt: 1, task: 1, remaining_ms, ..Offer::default() };
        admission.offer(Micros(0), 1, offer);
    }
    admission.take_outputs();
    // There was no tick in between.
    let first = OfferId { id: id(1), attempt: 1 };
    admission.answered(Micros(10 * MS), first, 200, String::new(), Vec::new());
    let outputs = admission.take_outputs();
    let started = outputs.iter().any(|output| matches!(output, AdmissionOutput::Run(_)));
    let refused = outputs.iter().any(|output| {
        matches!(output, AdmissionOutput::Send { body: Body::Refused(refuse), .. }
            if refuse.offer.id == id(2) && refuse.refusal() == Refusal::Expired)
    });
    assert!(!started && refused, "{outputs:?}");
}

#[test]
fn fast_failing_endpoint_attracts_no_traffic() {
    let mut path = path(2, 10);
    path.set_behaviour(3, Behaviour::Fail(50));
    path.run_load(2000.0, 1_000_000, true, 1000);
    let failing = path.starts[3];
    let others: u32 = path.starts.iter().sum::<u32>() - failing;
    assert!(failing * 20 < others, "{failing} of {} starts", failing + others);
}

#[test]
fn when_every_endpoint_fails_retries_add_at_most_a_tenth_of_the_requests() {
    let mut path = path(2, 10);
    (0..10).for_each(|i| path.set_behaviour(i, Behaviour::Fail(500)));
    path.run_load(2000.0, 2_000_000, true, 1000);
    path.run_for(100 * MS);
    let requests = path.replies.len() as f64;
    let amplification = path.offers as f64 / requests;
    assert!(amplification <= 1.1 + 20.0 / requests, "{amplification}");
}

#[test]
fn slow_endpoint_gets_fewer_requests() {
    let mut path = path(2, 10);
    path.set_behaviour(0, Behaviour::Serve(10 * MS));
    path.run_load(2000.0, 2_000_000, true, 1000);
    path.run_for(200 * MS);
    let fair = path.starts.iter().sum::<u32>() / 10;
    assert!(path.starts[0] * 2 < fair, "{:?}", path.starts);
}

#[test]
fn local_endpoints_are_used_first_and_remote_ones_take_the_overflow() {
    let mut path = path(1, 4);
    path.publish_view(2, 8, |_| false, |i| if i < 2 { "near" } else { "far" });
    (0..4).for_each(|i| path.set_behaviour(i, SLOW));
    (0..16).for_each(|_| {
        path.request(0, true, "", 1000);
    });
    path.run_for(MS);
    assert_eq!(path.starts, [8, 8, 0, 0]);
    (0..4).for_each(|_| {
        path.request(0, true, "", 1000);
    });
    path.run_for(MS);
    assert_eq!(path.starts[2] + path.starts[3], 4);
}

#[test]
fn older_configuration_never_replaces_a_newer_one() {
    let mut path = path(1, 1);
    path.publish_view(5, 8, |_| true, |_| "near");
    path.publish_view(4, 8, |_| false, |_| "near");
    assert_eq!(path.router(0).version(), 5);
    let id = path.request(0, true, "", 20);
    path.run_for(100 * MS);
    assert_eq!(reason(&path, id), NotRun::NoEndpoint);
}

/// Offers `share` of the capacity to two endpoints with four slots of 5 ms each, 1,600 requests a
/// second. Returns the answers a second, the p99 latency in microseconds and the number of requests
/// with an unknown outcome.
fn under_load(share: f64) -> (f64, u64, usize) {
    let mut path = RequestPath::new(2, 2, 4, Tuning::default(), 3);
    (0..2).for_each(|i| path.set_behaviour(i, Behaviour::Exactly(5 * MS)));
    path.run_load(1600.0 * share, 1_000 * MS, true, 1000);
    let since = path.now();
    path.run_load(1600.0 * share, 4_000 * MS, true, 1000);
    let latencies = path.latencies(since);
    let goodput = latencies.len() as f64 / 4.0;
    path.run_for(2_000 * MS);
    let p99 = latencies[latencies.len() * 99 / 100];
    let unknown =
        path.replies.values().filter(|result| result.finish.outcome() == Outcome::Unknown).count();
    (goodput, p99, unknown)
}

#[test]
fn overload_keeps_goodput_and_the_tail_latency_of_admitted_requests() {
    let (_, normal_p99, _) = under_load(0.7);
    let (goodput, p99, unknown) = under_load(3.0);
    assert!(goodput >= 1600.0 * 0.95, "{goodput} a second");
    assert!(p99 <= normal_p99 * 2, "p99 {p99} us under overload, {normal_p99} us at 70 %");
    assert_eq!(unknown, 0);
}

#[test]
fn requests_beyond_the_rate_limit_are_refused_at_once() {
    let mut path = path(1, 2);
    path.set_rate(2, 100);
    path.run_load(1000.0, 2_000 * MS, true, 1000);
    path.run_for(100 * MS);
    let answered = path.latencies(Micros(0)).len();
    assert!((200..=215).contains(&answered), "{answered} in two seconds");
    let refused = path.replies.values().filter(|result| result.finish.outcome() == Outcome::NotRun);
    assert!(refused.map(|result| result.at.since(result.requested_at)).all(|us| us == 0));
}

#[test]
fn services_that_are_not_urgent_are_shed_first() {
    let tuning = Tuning { max_in_progress: 8, ..Tuning::default() };
    let answered = |priority| {
        let mut path = RequestPath::new(1, 2, 8, tuning, 3);
        path.set_priority(2, priority);
        (0..2).for_each(|i| path.set_behaviour(i, SLOW));
        let ids: Vec<RequestId> = (0..10).map(|_| path.request(0, true, "", 1000)).collect();
        path.run_for(500 * MS);
        ids.iter().filter(|id| path.outcome(**id) == Some(Outcome::Answered)).count()
    };
    assert_eq!((answered(0), answered(100)), (6, 8));
}

proptest! {
    #![proptest_config(cases(150))]

    /// Under any mix of lost links, killed processes and failing endpoints, a request that is not
    /// repeatable runs at most once, and a request that ran is never reported as not run.
    #[test]
    fn no_mix_of_faults_breaks_a_guarantee(
        seed in any::<u64>(),
        faults in prop::collection::vec((0..6u8, 0..2usize, 0..4usize, 0..30u64), 0..40),
    ) {
        let mut path = RequestPath::new(2, 4, 2, Tuning::default(), seed);
        (0..4).for_each(|i| path.set_behaviour(i, Behaviour::Serve(3 * MS)));
        let mut ids = Vec::new();
        for (kind, entry, process, wait) in faults {
            for i in 0..4 {
                ids.push((path.request(i % 2, i == 3, "", 10 + wait * 10), i == 3));
            }
            path.run_for(wait * 100);
            match kind {
                0 => path.cut_link(entry, process, wait * MS),
                1 => path.cut_link_at_entry(entry, process, wait * MS),
                2 => path.kill(process, wait * MS),
                3 => path.set_behaviour(process, Behaviour::Break(MS)),
                4 => path.set_behaviour(process, Behaviour::Serve(3 * MS)),
                _ => path.set_behaviour(process, Behaviour::Unreachable),
            }
        }
        path.run_for(10_000 * MS);
        for (id, repeatable) in ids {
            let runs = path.runs.get(&id).copied().unwrap_or(0);
            let outcome = path.outcome(id);
            prop_assert!(outcome.is_some(), "no result was reported for {id:?}");
            prop_assert!(repeatable || runs <= 1, "{id:?} ran {runs} times");
            if outcome == Some(Outcome::NotRun) {
                prop_assert_eq!(runs, 0, "{:?} was reported as not run", id);
            }
            if outcome == Some(Outcome::Answered) {
                prop_assert_eq!(body_of(&path, id), id.number.to_be_bytes());
            }
        }
    }
}
