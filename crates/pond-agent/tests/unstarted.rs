//! Time from the order of a run until it is reported as running, ended or never started.
//!
//! The worker answers as each test defines, or not at all. The call then fails after its own
//! timeout. All times are of the simulated clock.

mod support;

use pond_agent::{Answer, Call, Refusal, Registration, Reply};
use pond_proto::fleet::{EndRow, Order, RunRow};
use pond_proto::job::EndReason;
use pond_proto::{Millis, Size, Span};
use support::{Harness, INCARNATION, is_list, is_stop, run};

/// Step of the simulated clock, in milliseconds.
const STEP_MS: Span = 10;

/// How far the clock of a worker with unreadable lists may advance, in milliseconds: the limit of
/// 6 s at the agent, a list in flight, and the age of the last known clock.
const MAX_CLOCK_ADVANCE_MS: Span = 6_000 + 2 * 1_050;

/// A call that the worker has not answered yet, with its answer and the time of it.
struct Pending {
    at: Millis,
    list_id: u64,
    call: Call,
    answer: Answer,
}

/// An agent and a simulated worker.
struct Simulation {
    harness: Harness,
    pending: Vec<Pending>,
    ordered_at: Millis,
    /// Times of the stop calls.
    stops: Vec<Millis>,
}

/// Answers with `reply` at once.
fn reply_with(reply: Reply) -> Option<Reply> {
    Some(reply)
}

fn empty_list() -> Option<Reply> {
    reply_with(Reply::Listed { runs: vec![], ends: vec![] })
}

impl Simulation {
    /// Creates an agent that has just been ordered to start run 0.
    fn new() -> Simulation {
        let mut harness = Harness::new();
        harness.start(0);
        let ordered_at = harness.now;
        Simulation { harness, pending: vec![], ordered_at, stops: vec![] }
    }

    fn since_order(&self) -> Span {
        self.harness.now.since(self.ordered_at)
    }

    /// Advances the time until `condition` holds, and returns how long it took. If `worker` returns
    /// None, the call is never answered.
    fn advance_until(
        &mut self,
        limit: Span,
        worker: impl Fn(Span, &Call) -> Option<Reply>,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Span> {
        let from = self.harness.now;
        while self.harness.now.since(from) < limit {
            self.take_calls(&worker);
            self.answer_due();
            if condition(self) {
                return Some(self.harness.now.since(from));
            }
            self.harness.advance(STEP_MS);
        }
        None
    }

    fn take_calls(&mut self, worker: &impl Fn(Span, &Call) -> Option<Reply>) {
        for (list_id, call) in std::mem::take(&mut self.harness.calls) {
            let reply = worker(self.since_order(), &call);
            self.stops.extend(is_stop(&call).then_some(self.harness.now));
            let clock_ms = reply.is_some().then(|| 50_000 + self.since_order());
            let wait = match (&reply, &call) {
                (None, call) => call.timeout_ms(),
                (Some(Reply::Listed { ends, .. }), Call::List { wait_ms, .. })
                    if ends.is_empty() =>
                {
                    *wait_ms
                }
                _ => 0,
            };
            let answer = Answer { clock_ms, reply: reply.unwrap_or(Reply::Unknown) };
            self.pending.push(Pending { at: self.harness.now + wait, list_id, call, answer });
        }
    }

    fn answer_due(&mut self) {
        let now = self.harness.now;
        let (due, later) = std::mem::take(&mut self.pending).into_iter().partition(|p| p.at <= now);
        self.pending = later;
        let due: Vec<Pending> = due;
        for Pending { list_id, call, answer, .. } in due {
            self.harness.core.answer(now, INCARNATION, self.harness.token, list_id, &call, answer);
            self.harness.tick();
        }
    }

    /// Repeats the worker's registration with a later clock.
    fn register_again(&mut self) {
        let registration = Registration {
            id: INCARNATION.to_owned(),
            incarnation: INCARNATION.to_owned(),
            address: "127.0.0.1:1".to_owned(),
            room: Size::new(4_000, 1_000, 0),
            clock_ms: 50_000 + self.since_order(),
            sequence: 2 + self.since_order(),
            ..Registration::default()
        };
        self.harness.core.registered(self.harness.now, registration);
        self.harness.tick();
    }
}

fn unstarted(simulation: &Simulation) -> bool {
    simulation.harness.last().unstarted == [run(0)]
}

fn row(percent: u32) -> RunRow {
    RunRow { run: run(0), percent, ..RunRow::default() }
}

#[test]
fn start_that_is_never_answered_is_given_up_after_three_seconds() {
    let worker = |_: Span, call: &Call| match call {
        Call::Start { .. } => None,
        Call::Stop { .. } => reply_with(Reply::Done),
        _ => empty_list(),
    };
    let took = Simulation::new().advance_until(10_000, worker, unstarted);
    // Three calls of 800 ms each, with 200 ms and 400 ms in between.
    assert!(took.is_some_and(|took| (3_000..=3_050).contains(&took)), "{took:?}");
}

#[test]
fn start_refused_by_an_unhealthy_worker_is_given_up_within_a_second() {
    let worker = |_: Span, call: &Call| match call {
        Call::Start { .. } => reply_with(Reply::Refused(Refusal::Unwell)),
        Call::Stop { .. } => reply_with(Reply::Done),
        _ => empty_list(),
    };
    let took = Simulation::new().advance_until(10_000, worker, unstarted);
    assert!(took.is_some_and(|took| (600..=650).contains(&took)), "{took:?}");
}

#[test]
fn start_refused_for_lack_of_capacity_is_given_up_at_once() {
    let worker = |_: Span, call: &Call| match call {
        Call::Start { .. } => reply_with(Reply::Refused(Refusal::NoRoom)),
        Call::Stop { .. } => reply_with(Reply::Done),
        _ => empty_list(),
    };
    let took = Simulation::new().advance_until(10_000, worker, unstarted);
    assert!(took.is_some_and(|took| took <= 50), "{took:?}");
}

#[test]
fn unanswered_start_is_given_up_soon_after_the_worker_answers_again() {
    // The worker answers nothing for some time, and everything after that.
    let mut worst = 0;
    for outage_ms in (0..12_000).step_by(90) {
        let worker = move |since: Span, call: &Call| match call {
            _ if since < outage_ms => None,
            Call::Start { .. } => reply_with(Reply::Refused(Refusal::Late)),
            Call::Stop { .. } => reply_with(Reply::Done),
            _ => empty_list(),
        };
        let took =
            Simulation::new().advance_until(60_000, worker, unstarted).expect("never given up");
        worst = worst.max(took.saturating_sub(outage_ms));
    }
    // A call of 800 ms and a wait of 1,600 ms, then a list.
    assert!(worst <= 2_500, "{worst} ms");
}

#[test]
fn lists_that_hang_after_a_confirmed_stop_only_delay_the_report() {
    let mut worst = 0;
    for hang_end in (3_000..9_000).step_by(130) {
        let worker = move |since: Span, call: &Call| match call {
            Call::Start { .. } => None,
            Call::Stop { .. } => reply_with(Reply::Done),
            _ if (3_000..hang_end).contains(&since) => None,
            _ => empty_list(),
        };
        let took =
            Simulation::new().advance_until(60_000, worker, unstarted).expect("never given up");
        worst = worst.max(took.saturating_sub(hang_end));
    }
    // A list of 1,800 ms and a wait of 1,600 ms, then one that waits for 1 s.
    assert!(worst <= 4_500, "{worst} ms");
}

#[test]
fn start_without_answer_is_never_given_up_without_a_confirmed_stop() {
    // The start may still be carried out. Only the end of the lease, which control knows, limits
    // this.
    let worker = |_: Span, call: &Call| match call {
        Call::Start { .. } | Call::Stop { .. } => None,
        _ => empty_list(),
    };
    let mut simulation = Simulation::new();
    assert_eq!(simulation.advance_until(60_000, worker, unstarted), None);
    // The stop is repeated all the time: a call of 800 ms, then a wait of 1,600 ms.
    let gaps: Vec<Span> = simulation.stops.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(gaps.len() >= 20 && gaps.iter().all(|gap| *gap <= 2_450), "{gaps:?}");
}

#[test]
fn confirmed_start_that_is_never_listed_is_unstarted_once_control_stops_it() {
    let worker = |_: Span, call: &Call| match call {
        Call::Start { .. } | Call::Stop { .. } => reply_with(Reply::Done),
        _ => empty_list(),
    };
    let mut simulation = Simulation::new();
    assert_eq!(simulation.advance_until(5_000, worker, unstarted), None);
    simulation.harness.order(Order { stops: vec![run(0)], ..Order::default() });
    let took = simulation.advance_until(5_000, worker, unstarted);
    assert!(took.is_some_and(|took| took <= 50), "{took:?}");
}

#[test]
fn registrations_do_not_extend_the_lease_while_lists_cannot_be_read() {
    // Guards against runs that count as placed forever at a worker that registers regularly but
    // returns no lists. Control counts the lease by the worker's clock. If the agent reports the
    // newest clock whatever message contained it, each registration advances the clock, although no
    // list extends the lease and the runs expired long ago.
    let mut simulation = Simulation::new();
    let healthy = |_: Span, call: &Call| match call {
        Call::List { .. } => reply_with(Reply::Listed { runs: vec![row(10)], ends: vec![] }),
        _ => reply_with(Reply::Done),
    };
    simulation.advance_until(2_000, healthy, |_| false);
    let before = simulation.harness.last().clock_ms;
    for _ in 0..20 {
        simulation.advance_until(1_000, |_: Span, _: &Call| None, |_| false);
        simulation.register_again();
    }
    assert!(!simulation.harness.last().responsive);
    assert!(
        simulation.harness.last().clock_ms <= before + MAX_CLOCK_ADVANCE_MS,
        "{}",
        simulation.harness.last().clock_ms
    );
}

#[test]
fn answers_without_lists_do_not_extend_the_lease() {
    let mut simulation = Simulation::new();
    let healthy = |_: Span, call: &Call| match call {
        Call::List { .. } => reply_with(Reply::Listed { runs: vec![row(10)], ends: vec![] }),
        _ => reply_with(Reply::Done),
    };
    simulation.advance_until(2_000, healthy, |_| false);
    let before = simulation.harness.last().clock_ms;
    let unhealthy = |_: Span, _: &Call| reply_with(Reply::Refused(Refusal::Other));
    simulation.advance_until(20_000, unhealthy, |_| false);
    assert!(
        simulation.harness.last().clock_ms <= before + MAX_CLOCK_ADVANCE_MS,
        "{}",
        simulation.harness.last().clock_ms
    );
}

#[test]
fn incarnation_that_only_registers_is_neither_reported_nor_responsive() {
    // Guards against runs that are placed on an incarnation that has never answered a call and
    // cannot start them, and against an end of the current one that nothing shows: control takes a
    // report of another incarnation for that.
    let mut harness = Harness::new();
    harness.claim("incarnation-2", false, 1);
    harness.answer_claim("incarnation-2", Reply::Unknown);
    for sequence in 2..6 {
        harness.advance(1_100);
        harness.claim("incarnation-2", false, sequence);
        harness.answer_claim("incarnation-2", Reply::Unknown);
    }
    harness.advance(1_000);
    assert!(harness.reports.iter().all(|report| report.worker == INCARNATION && !report.gone));
    assert!(!harness.last().responsive);
}

#[test]
fn run_missing_from_a_newer_list_without_an_end_is_forgotten() {
    // Guards against a run that is on no list any more but is reported forever. Control would stop
    // it every second and count it among the co-located runs. This happens if only a listed end
    // removes a run that was listed once: a late list brings back a run whose end is already
    // committed.
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(|call| matches!(call, Call::Start { .. }), Reply::Done);
    // The first of two lists is late.
    harness.start(1);
    harness.answer(|call| matches!(call, Call::Start { .. }), Reply::Refused(Refusal::NoRoom));
    harness.advance(1);
    harness.answer(is_stop, Reply::Done);
    assert_eq!(harness.count(is_list), 2);
    let late =
        harness.calls.remove(harness.calls.iter().position(|(_, call)| is_list(call)).unwrap());
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.order(Order { committed: 1, ..Order::default() });
    let reply = Reply::Listed { runs: vec![row(90)], ends: vec![] };
    let answer = Answer { clock_ms: Some(51_000), reply };
    harness.core.answer(harness.now, INCARNATION, harness.token, late.0, &late.1, answer);
    for _ in 0..3 {
        harness.advance(1_000);
        if harness.count(is_list) > 0 {
            harness.list(&[], &[]);
        }
    }
    harness.advance(1_000);
    assert!(harness.last().runs.iter().all(|row| row.run != run(0)));
}

#[test]
fn run_missing_from_an_older_list_is_kept() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(|call| matches!(call, Call::Start { .. }), Reply::Done);
    harness.start(1);
    harness.answer(|call| matches!(call, Call::Start { .. }), Reply::Refused(Refusal::NoRoom));
    harness.advance(1);
    harness.answer(is_stop, Reply::Done);
    let late =
        harness.calls.remove(harness.calls.iter().position(|(_, call)| is_list(call)).unwrap());
    harness.list(&[0], &[]);
    let answer =
        Answer { clock_ms: Some(51_000), reply: Reply::Listed { runs: vec![], ends: vec![] } };
    harness.core.answer(harness.now, INCARNATION, harness.token, late.0, &late.1, answer);
    harness.advance(1_000);
    assert!(harness.last().runs.iter().any(|row| row.run == run(0)));
}

#[test]
fn run_missing_from_a_list_with_uncommitted_ends_is_kept() {
    // A list contains a limited number of ends. The end of this run may be among the rest.
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(|call| matches!(call, Call::Start { .. }), Reply::Done);
    harness.list(&[0], &[]);
    harness.advance(1_000);
    harness.list(&[], &[(1, 7, EndReason::Done)]);
    harness.advance(1_000);
    assert!(harness.last().runs.iter().any(|row| row.run == run(0)));
    let end =
        EndRow { number: 2, run: run(0), how: EndReason::Done as i32, checkpoint: String::new() };
    harness.order(Order { committed: 1, ..Order::default() });
    harness.answer(is_list, Reply::Listed { runs: vec![], ends: vec![end] });
    harness.advance(1_000);
    assert_eq!(harness.last().ends.len(), 1);
}

#[test]
fn run_counts_as_listed_only_once_the_worker_has_listed_it() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(|call| matches!(call, Call::Start { .. }), Reply::Done);
    harness.advance(1_000);
    let unlisted = |harness: &Harness| harness.last().runs.iter().map(|row| row.unlisted).collect();
    let before: Vec<bool> = unlisted(&harness);
    harness.list(&[0], &[]);
    harness.advance(1_000);
    let after: Vec<bool> = unlisted(&harness);
    assert_eq!((before, after), (vec![true], vec![false]));
}
