//! "Not run" must be true: it is said only where nothing was sent, or the request changes nothing.

use pond_intake::{Answer, Dispatcher, Output};
use pond_proto::Millis;
use pond_proto::fleet::{JobRef, Outcome, Submit, Target, Tell, Verb};
use pond_proto::job::{Phase, Spec};

fn submit() -> Verb {
    Verb::Submit(Submit { id: 1, spec: Spec::default() })
}

fn look() -> Verb {
    Verb::Look(JobRef { id: 1 })
}

fn tell(ticket: u64, outcome: Outcome) -> Tell {
    Tell { ticket, outcome: outcome as i32, phase: Phase::Queued as i32, count: 0 }
}

/// A dispatcher that puts all it can on the link.
struct Bench {
    dispatcher: Dispatcher,
    now: Millis,
    sent: usize,
    answers: Vec<Answer>,
    link_full: bool,
}

impl Bench {
    fn new(led: bool) -> Bench {
        let mut dispatcher = Dispatcher::new();
        if led {
            dispatcher.leader_up();
        }
        Bench { dispatcher, now: Millis(1_000), sent: 0, answers: vec![], link_full: false }
    }

    fn ask(&mut self, verb: Verb) -> u64 {
        let ticket = self.dispatcher.request(self.now, Target::default(), verb, 2_000);
        self.pass(0);
        ticket
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + ms;
        for _ in 0..2 {
            for output in self.dispatcher.tick(self.now) {
                match output {
                    Output::Send(ask) => {
                        self.sent += usize::from(!self.link_full);
                        self.dispatcher.sent(ask.ticket, !self.link_full);
                    }
                    Output::Answer { answer, .. } => self.answers.push(answer),
                }
            }
        }
    }
}

#[test]
fn request_without_a_leader_did_not_run_and_is_answered_soon() {
    let mut bench = Bench::new(false);
    bench.ask(submit());
    bench.pass(900);
    assert_eq!(bench.answers, [Answer::NotRun]);
}

#[test]
fn request_that_was_sent_and_lost_its_leader_is_unknown() {
    let mut bench = Bench::new(true);
    bench.ask(submit());
    bench.dispatcher.leader_lost(bench.now);
    bench.pass(900);
    assert_eq!(bench.answers, [Answer::Unknown]);
}

#[test]
fn request_goes_to_the_next_leader() {
    let mut bench = Bench::new(true);
    let ticket = bench.ask(submit());
    bench.dispatcher.leader_lost(bench.now);
    bench.dispatcher.leader_up();
    bench.pass(1);
    bench.dispatcher.tell(tell(ticket, Outcome::Accepted));
    bench.pass(1);
    assert_eq!(bench.sent, 2);
    assert!(matches!(&bench.answers[..], [Answer::Replied(_)]));
}

#[test]
fn request_that_was_sent_once_stays_unknown_when_the_next_link_is_full() {
    let mut bench = Bench::new(true);
    bench.ask(submit());
    bench.dispatcher.leader_lost(bench.now);
    bench.link_full = true;
    bench.dispatcher.leader_up();
    bench.pass(1);
    assert_eq!(bench.answers, [Answer::Unknown]);
}

#[test]
fn request_that_was_never_sent_did_not_run_when_the_link_is_full() {
    let mut bench = Bench::new(true);
    bench.link_full = true;
    bench.ask(submit());
    assert_eq!(bench.answers, [Answer::NotRun]);
}

#[test]
fn refusal_of_a_replica_that_does_not_lead_is_not_the_answer() {
    let mut bench = Bench::new(true);
    let ticket = bench.ask(submit());
    bench.dispatcher.tell(tell(ticket, Outcome::NotLeader));
    bench.pass(1);
    assert!(bench.answers.is_empty());
}

#[test]
fn looking_changes_nothing_so_it_never_is_unknown() {
    let mut bench = Bench::new(true);
    bench.ask(look());
    bench.pass(2_000);
    assert_eq!(bench.answers, [Answer::NotRun]);
}

#[test]
fn request_out_of_time_is_answered_once() {
    let mut bench = Bench::new(true);
    let ticket = bench.ask(submit());
    bench.pass(2_000);
    bench.dispatcher.tell(tell(ticket, Outcome::Accepted));
    bench.pass(1);
    assert_eq!(bench.answers, [Answer::Unknown]);
}

#[test]
fn overload_is_refused_at_once() {
    let mut bench = Bench::new(true);
    for _ in 0..2_001 {
        bench.ask(submit());
    }
    assert_eq!(bench.answers, [Answer::NotRun]);
}

#[test]
fn request_that_is_given_up_is_not_sent_afterwards() {
    // The process stood still, and finds a leader and the end of its patience at the same moment.
    let mut bench = Bench::new(false);
    bench.ask(submit());
    bench.dispatcher.leader_up();
    bench.pass(5_000);
    assert_eq!((bench.sent, &bench.answers[..]), (0, &[Answer::NotRun][..]));
}

#[test]
fn request_long_after_the_leader_was_lost_is_refused_at_once() {
    let mut bench = Bench::new(true);
    bench.dispatcher.leader_lost(bench.now);
    bench.pass(5_000);
    bench.ask(submit());
    assert_eq!(bench.answers, [Answer::NotRun]);
}

#[test]
fn request_that_a_leader_refuses_for_a_moment_is_asked_again() {
    let mut bench = Bench::new(true);
    let ticket = bench.ask(submit());
    bench.dispatcher.tell(tell(ticket, Outcome::NotLeader));
    bench.pass(1);
    bench.pass(100);
    assert_eq!(bench.sent, 2);
    bench.pass(100);
    assert_eq!(bench.sent, 2);
}
