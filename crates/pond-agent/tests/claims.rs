//! Replacement of one incarnation of the worker by another: only evidence that the current one has
//! ended makes the agent report its end, since its runs are placed elsewhere as a result.

mod support;

use pond_agent::{Evidence, Observation, Refusal, Registration, Reply};
use pond_proto::Size;
use pond_proto::fleet::Order;
use support::{Harness, INCARNATION, is_list, is_start, run};

/// Address of the incarnation that the harness registers.
const ADDRESS: &str = "127.0.0.1:1";

/// Another address of the same machine.
const OTHER_ADDRESS: &str = "127.0.0.1:2";

/// Interval between registrations, in milliseconds.
const REGISTER_MS: u64 = 1_100;

/// Creates an agent whose worker has a run, and a lease up to 56 s on its clock. The clock reads 51 s
/// in all answers, and the lease is extended by 4 s at a time, so it expires.
fn with_run() -> Harness {
    with_extension(4_000)
}

/// The same with a lease that is extended by this time; zero for one that does not expire.
fn with_extension(extension_ms: u64) -> Harness {
    let mut harness = Harness::new();
    harness.start(0);
    harness.order(Order { lease_end_ms: 56_000, extension_ms, ..Order::default() });
    harness.answer(is_start, Reply::Done);
    harness.list_all(&[0], &[]);
    harness
}

fn registration(id: &str, incarnation: &str, address: &str, sequence: u64) -> Registration {
    Registration {
        id: id.to_owned(),
        incarnation: incarnation.to_owned(),
        address: address.to_owned(),
        room: Size::new(4_000, 1_000, 0),
        clock_ms: 50_000,
        sequence,
        ..Registration::default()
    }
}

fn claim(harness: &mut Harness, id: &str, incarnation: &str, address: &str, sequence: u64) {
    harness.core.registered(harness.now, registration(id, incarnation, address, sequence));
    harness.tick();
}

fn empty_list() -> Reply {
    Reply::Listed { runs: vec![], ends: vec![] }
}

/// Lets all calls to the current incarnation fail with this reply.
fn fail_calls(harness: &mut Harness, reply: &Reply) {
    for _ in 0..harness.calls.len() {
        harness.answer(|_| true, reply.clone());
    }
}

fn has_ended(harness: &Harness, incarnation: &str) -> bool {
    harness.reports.iter().any(|report| report.gone && report.worker == incarnation)
}

fn evidence(harness: &Harness) -> Vec<Evidence> {
    let ended = |observation: &Observation| match observation {
        Observation::Ended { evidence, .. } => Some(*evidence),
        _ => None,
    };
    harness.observed.iter().filter_map(ended).collect()
}

/// Guards against runs that are placed elsewhere while a hanging worker still has them: the agent
/// took an incarnation that had only registered for the current one once that one had not answered
/// for 3.5 s, and reported the current one as ended.
#[test]
fn incarnation_that_only_registers_does_not_end_one_that_hangs() {
    let claims = [
        ("i-foreign", "i-foreign", OTHER_ADDRESS),
        ("i-foreign", "i-foreign", ADDRESS),
        (INCARNATION, "incarnation-2", OTHER_ADDRESS),
        (INCARNATION, "incarnation-2", ADDRESS),
    ];
    for (id, incarnation, address) in claims {
        for reply in [Reply::Unknown, Reply::NotSent, Reply::Refused(Refusal::Unwell)] {
            let mut harness = with_run();
            for sequence in 1..60 {
                fail_calls(&mut harness, &Reply::Unknown);
                claim(&mut harness, id, incarnation, address, sequence);
                harness.answer_claim(incarnation, reply.clone());
                harness.advance(REGISTER_MS);
            }
            let case = format!("{id} {incarnation} {address} {reply:?}");
            assert_eq!(harness.core.incarnation(), Some(INCARNATION), "{case}");
            assert!(!harness.reports.iter().any(|report| report.gone), "{case}");
            assert!(harness.last().lapsed && !harness.last().responsive, "{case}");
        }
    }
}

/// Guards against a worker that gets no more calls after it has hung beside registrations of
/// another program: it counted as ended, so that its own registrations were ignored.
#[test]
fn worker_that_hung_keeps_its_runs_and_gets_calls_again() {
    let mut harness = with_extension(0);
    for sequence in 1..6 {
        fail_calls(&mut harness, &Reply::Unknown);
        claim(&mut harness, "i-foreign", "i-foreign", OTHER_ADDRESS, sequence);
        harness.answer_claim("i-foreign", Reply::NotSent);
        harness.advance(REGISTER_MS);
    }
    fail_calls(&mut harness, &Reply::Unknown);
    harness.register(INCARNATION, false, 9);
    harness.advance(2_000);
    harness.list_all(&[0], &[]);
    harness.advance(1_000);
    assert_eq!(harness.last().worker, INCARNATION);
    assert_eq!(harness.last().runs.iter().map(|row| row.run).collect::<Vec<_>>(), [run(0)]);
    assert!(harness.last().responsive && harness.count(is_list) > 0);
    assert_eq!(evidence(&harness), []);
}

/// Guards against a successor that is ignored because it did not answer at first.
#[test]
fn incarnation_that_only_registers_is_adopted_once_it_answers() {
    let mut harness = with_run();
    for sequence in 1..6 {
        fail_calls(&mut harness, &Reply::Unknown);
        claim(&mut harness, "i-2", "incarnation-2", ADDRESS, sequence);
        harness.answer_claim("incarnation-2", Reply::Unknown);
        harness.advance(REGISTER_MS);
    }
    assert!(!has_ended(&harness, INCARNATION));
    claim(&mut harness, "i-2", "incarnation-2", ADDRESS, 9);
    harness.answer_claim("incarnation-2", empty_list());
    assert_eq!(harness.core.incarnation(), Some("incarnation-2"));
    assert!(has_ended(&harness, INCARNATION));
    assert_eq!(evidence(&harness), [Evidence::Successor]);
}

/// Guards against an agent that was replaced and reports an incarnation that has only registered:
/// the leader gives up the runs of the worker that it knows from before.
#[test]
fn agent_without_state_adopts_no_incarnation_that_only_registers() {
    let mut harness = Harness::without_leader();
    harness.core.leader_up(3);
    for sequence in 1..20 {
        claim(&mut harness, "i-foreign", "i-foreign", OTHER_ADDRESS, sequence);
        harness.answer_claim("i-foreign", Reply::NotSent);
        claim(&mut harness, INCARNATION, INCARNATION, ADDRESS, sequence);
        harness.answer_claim(INCARNATION, Reply::Unknown);
        harness.advance(REGISTER_MS);
    }
    assert_eq!(harness.core.incarnation(), None);
    assert!(harness.reports.is_empty());
    claim(&mut harness, INCARNATION, INCARNATION, ADDRESS, 20);
    harness.answer_claim(INCARNATION, empty_list());
    assert_eq!(harness.last().worker, INCARNATION);
}

/// Guards against a late answer of an incarnation that has ended: answers can overtake each other,
/// so the one that is received last may come from the earlier of two incarnations.
#[test]
fn list_requested_before_the_last_one_of_the_current_incarnation_ends_nothing() {
    let mut harness = with_run();
    claim(&mut harness, "i-0", "incarnation-0", ADDRESS, 7);
    harness.advance(1_500);
    harness.list(&[0], &[]);
    harness.answer_claim("incarnation-0", empty_list());
    assert_eq!(harness.core.incarnation(), Some(INCARNATION));
    assert!(!has_ended(&harness, INCARNATION));
    // Asked again, it answers, and the current one has not answered since.
    claim(&mut harness, "i-0", "incarnation-0", ADDRESS, 8);
    harness.answer_claim("incarnation-0", empty_list());
    assert_eq!(harness.core.incarnation(), Some("incarnation-0"));
}

/// Guards against the end of a worker that is running because another program on the machine
/// answers its registrations: that program listens at another address.
#[test]
fn answer_from_another_address_ends_no_incarnation_that_may_hold_a_lease() {
    let mut harness = with_run();
    for sequence in 1..20 {
        harness.list_all(&[0], &[]);
        claim(&mut harness, "i-2", "incarnation-2", OTHER_ADDRESS, sequence);
        harness.answer_claim("incarnation-2", empty_list());
        harness.advance(REGISTER_MS);
    }
    assert_eq!(harness.core.incarnation(), Some(INCARNATION));
    let held = |observation: &&Observation| matches!(observation, Observation::ClaimHeld { .. });
    assert_eq!(harness.observed.iter().filter(held).count(), 1);
}

/// Guards against an agent without a usable worker after a worker has restarted at another address.
/// The previous one has ended for certain once its lease has expired and nothing accepts connections
/// at its address; a hanging one may answer again.
#[test]
fn successor_at_another_address_is_adopted_once_the_lease_has_expired() {
    for (reply, adopted) in [(Reply::NotSent, true), (Reply::Unknown, false)] {
        let mut harness = with_run();
        let mut adopted_after = None;
        for sequence in 1..20 {
            fail_calls(&mut harness, &reply);
            claim(&mut harness, "i-2", "incarnation-2", OTHER_ADDRESS, sequence);
            harness.answer_claim("incarnation-2", empty_list());
            if harness.core.incarnation() == Some("incarnation-2") {
                adopted_after.get_or_insert(sequence);
                break;
            }
            harness.advance(REGISTER_MS);
        }
        assert_eq!(adopted_after.is_some(), adopted, "{reply:?}");
        // The lease was extended to 4 s beyond the last answer.
        assert!(adopted_after.is_none_or(|sequence| sequence > 4), "{adopted_after:?}");
        let expected = if adopted { vec![Evidence::Expired] } else { vec![] };
        assert_eq!(evidence(&harness), expected, "{reply:?}");
    }
}

/// Guards against an agent without a usable worker if the previous one ended before this agent
/// granted it any lease, so that no expiry is known.
#[test]
fn successor_at_another_address_is_adopted_although_no_lease_was_granted() {
    let mut harness = Harness::new();
    for sequence in 1..40 {
        fail_calls(&mut harness, &Reply::NotSent);
        claim(&mut harness, "i-2", "incarnation-2", OTHER_ADDRESS, sequence);
        harness.answer_claim("incarnation-2", empty_list());
        harness.advance(REGISTER_MS);
    }
    assert_eq!(harness.core.incarnation(), Some("incarnation-2"));
}

/// Guards against a worker that gets no more calls, so that its runs expire, because another program
/// refuses the agent's token: a registration names any address, and anything can answer there.
#[test]
fn refusal_by_an_incarnation_that_only_registered_does_not_stop_calls_to_the_current_one() {
    let mut harness = with_run();
    claim(&mut harness, "i-foreign", "i-foreign", OTHER_ADDRESS, 1);
    harness.answer_claim("i-foreign", Reply::Refused(Refusal::Fenced));
    for _ in 0..5 {
        harness.advance(1_000);
        assert!(harness.count(is_list) > 0);
        harness.list_all(&[0], &[]);
    }
    assert!(harness.last().responsive);
}

/// Guards against registrations whose fate cannot be told from the logs.
#[test]
fn replaced_and_denied_incarnations_are_observed_with_the_evidence() {
    let mut harness = with_run();
    claim(&mut harness, "i-0", "incarnation-0", ADDRESS, 1);
    harness.answer_claim("incarnation-0", Reply::OtherLife);
    for number in 0..5 {
        let incarnation = format!("i-foreign-{number}");
        claim(&mut harness, &incarnation, &incarnation, OTHER_ADDRESS, 1);
    }
    let dropped = |observation: &Observation| match observation {
        Observation::ClaimDropped { incarnation, displaced } => {
            Some((incarnation.clone(), *displaced))
        }
        _ => None,
    };
    let dropped: Vec<(String, bool)> = harness.observed.iter().filter_map(dropped).collect();
    assert_eq!(dropped, [("incarnation-0".to_owned(), false), ("i-foreign-0".to_owned(), true)]);
    let claimed = |observation: &&Observation| matches!(observation, Observation::Claimed { .. });
    assert_eq!(harness.observed.iter().filter(claimed).count(), 7);
    harness.answer(is_list, Reply::Restarted);
    assert_eq!(evidence(&harness), [Evidence::Restarted]);
}
