//! The rules of voting and following, one replica and one message at a time.

use pond_proto::Millis;
use pond_proto::quorum::{
    Append, AppendTell, Body, Entry, Hard, Kind, Letter, Member, Members, VoteAsk, VoteTell,
};
use pond_quorum::{Core, Input, Output, Role, Start, Tuning};

const TERM: u64 = 5;

fn members() -> Members {
    let member =
        |id| Member { id, name: format!("control-{id}"), address: String::new(), voter: true };
    Members::new((1..=3).map(member).collect())
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, kind: Kind::Change as i32, data: vec![1] }
}

/// Replica 1 in term 5 with two entries of term 4, started at time 1000.
fn replica(vote: u64) -> Core {
    let start = Start {
        id: 1,
        hard: Hard { term: TERM, vote, commit: 0 },
        snapshot: None,
        entries: vec![entry(1, 4), entry(2, 4)],
        members: members(),
        seed: 1,
    };
    let mut core = Core::new(start, Tuning::default(), Millis(1000));
    core.outputs(Millis(1000));
    core
}

/// What replica 1 answers to a message of replica 2.
fn answer(core: &mut Core, now: u64, term: u64, body: Body) -> Option<Body> {
    let letter = Letter { from: 2, to: 1, term, body: Some(body) };
    core.step(Millis(now), Input::Message(letter));
    core.outputs(Millis(now)).into_iter().find_map(|output| match output {
        Output::Send(letter) | Output::SendDurable(letter) => letter.body,
        _ => None,
    })
}

fn ask(last_index: u64, last_term: u64) -> VoteAsk {
    VoteAsk { pre: false, last_index, last_term, handover: false }
}

fn granted(answer: Option<Body>) -> Option<bool> {
    match answer {
        Some(Body::VoteTell(VoteTell { granted, .. })) => Some(granted),
        _ => None,
    }
}

/// Long after the start: the replica has heard from nobody for longer than the timeout.
const LATE: u64 = 2000;

#[test]
fn a_vote_is_given_once_a_term_to_a_log_that_is_not_older() {
    let table: [(&str, u64, u64, u64, VoteAsk, bool); 8] = [
        ("an equal log", 0, LATE, 6, ask(2, 4), true),
        ("a longer log", 0, LATE, 6, ask(9, 4), true),
        ("a shorter log of a later term", 0, LATE, 6, ask(1, 5), true),
        ("a shorter log", 0, LATE, 6, ask(1, 4), false),
        ("a longer log of an earlier term", 0, LATE, 6, ask(9, 3), false),
        ("an older term", 0, LATE, 4, ask(9, 4), false),
        ("a second candidate of the term", 3, LATE, TERM, ask(2, 4), false),
        ("the same candidate again", 2, LATE, TERM, ask(2, 4), true),
    ];
    for (name, vote, now, term, ask, expected) in table {
        let mut core = replica(vote);
        let told = granted(answer(&mut core, now, term, Body::VoteAsk(ask)));
        assert_eq!(told, Some(expected), "{name}");
    }
}

#[test]
fn a_restarted_replica_elects_nobody_before_the_timeout_has_passed() {
    let mut core = replica(0);
    assert_eq!(granted(answer(&mut core, 1100, 6, Body::VoteAsk(ask(9, 9)))), Some(false));
    assert_eq!(core.term(), TERM, "its term stays, so that it still follows the leader");
}

fn heartbeat(entries: Vec<Entry>) -> Body {
    let (previous_index, previous_term) = (2, 4);
    Body::Append(Append { previous_index, previous_term, entries, commit: 0, round: 1 })
}

#[test]
fn a_replica_that_hears_from_a_leader_elects_no_other_unless_that_leader_asks() {
    let mut core = replica(0);
    answer(&mut core, LATE, TERM, heartbeat(Vec::new()));
    assert_eq!(granted(answer(&mut core, LATE + 100, 6, Body::VoteAsk(ask(9, 9)))), Some(false));
    assert_eq!(core.term(), TERM);
    let handover = VoteAsk { handover: true, ..ask(9, 9) };
    assert_eq!(granted(answer(&mut core, LATE + 100, 6, Body::VoteAsk(handover))), Some(true));
}

#[test]
fn a_pre_vote_changes_neither_term_nor_vote() {
    let mut core = replica(0);
    let pre = VoteAsk { pre: true, ..ask(9, 9) };
    assert_eq!(granted(answer(&mut core, LATE, 6, Body::VoteAsk(pre))), Some(true));
    assert_eq!(core.term(), TERM);
    assert_eq!(granted(answer(&mut core, LATE, 6, Body::VoteAsk(ask(9, 9)))), Some(true));
}

#[test]
fn an_old_leader_is_not_listened_to_and_told_the_new_term() {
    let mut core = replica(0);
    let told = answer(&mut core, LATE, TERM - 1, heartbeat(vec![entry(3, 4)]));
    assert!(matches!(told, Some(Body::AppendTell(tell)) if !tell.fitted), "{told:?}");
    assert_eq!((core.last_index(), core.leader().is_some()), (2, false));
}

#[test]
fn entries_that_do_not_follow_on_the_log_are_refused() {
    let table: [(&str, u64, u64, bool); 3] = [
        ("on its last entry", 2, 4, true),
        ("after a gap", 3, 4, false),
        ("on an entry of another term", 2, 3, false),
    ];
    for (name, previous_index, previous_term, fits) in table {
        let mut core = replica(0);
        let entries = vec![entry(previous_index + 1, TERM)];
        let append = Append { previous_index, previous_term, entries, commit: 0, round: 1 };
        let told = answer(&mut core, LATE, TERM, Body::Append(append));
        let fitted = matches!(told, Some(Body::AppendTell(tell)) if tell.fitted);
        assert_eq!((fitted, core.last_index()), (fits, if fits { 3 } else { 2 }), "{name}");
    }
}

#[test]
fn answers_that_promise_something_wait_for_the_disk() {
    let promises: [(&str, Body); 2] =
        [("an append", heartbeat(vec![entry(3, TERM)])), ("a vote", Body::VoteAsk(ask(9, 4)))];
    for (name, body) in promises {
        let mut core = replica(0);
        let letter = Letter { from: 2, to: 1, term: 6, body: Some(body) };
        core.step(Millis(LATE), Input::Message(letter));
        let outputs = core.outputs(Millis(LATE));
        assert!(matches!(outputs[0], Output::Persist { .. }), "{name}: {outputs:?}");
        let at_once = outputs.iter().any(|output| matches!(output, Output::Send(_)));
        assert!(!at_once, "{name} is answered before it lasts");
    }
}

/// Replica 1 just elected by replica 2 in term 6. Its log ends with its own first entry, 3.
fn leader() -> Core {
    let mut core = replica(0);
    core.step(Millis(LATE), Input::Tick);
    let tell = |pre| Body::VoteTell(VoteTell { pre, granted: true });
    answer(&mut core, LATE, TERM + 1, tell(true));
    let letter = Letter { from: 2, to: 1, term: TERM + 1, body: Some(tell(false)) };
    core.step(Millis(LATE), Input::Message(letter));
    assert_eq!((core.role(), core.last_index()), (Role::Leader, 3));
    core
}

/// Replica 2 acknowledges the log up to an index.
fn acknowledge(core: &mut Core, index: u64) {
    let tell = AppendTell { fitted: true, index, hint_term: 0, round: 1 };
    let body = Some(Body::AppendTell(tell));
    let letter = Letter { from: 2, to: 1, term: TERM + 1, body };
    core.step(Millis(LATE + 10), Input::Message(letter));
}

#[test]
fn entries_of_older_terms_are_committed_only_with_one_of_the_own_term() {
    let mut core = leader();
    core.outputs(Millis(LATE));
    core.step(Millis(LATE), Input::Persisted);
    acknowledge(&mut core, 2);
    assert_eq!(core.commit(), 0);
    acknowledge(&mut core, 3);
    assert_eq!(core.commit(), 3);
}

#[test]
fn a_leader_counts_its_own_entries_only_once_they_last() {
    let mut core = leader();
    core.outputs(Millis(LATE));
    acknowledge(&mut core, 3);
    assert_eq!(core.commit(), 0, "its own disk and one follower are needed, or two followers");
    core.step(Millis(LATE), Input::Persisted);
    assert_eq!(core.commit(), 3);
}

#[test]
fn a_leader_that_hands_over_holds_no_lease() {
    let mut core = leader();
    assert!(core.lease_until().is_none_or(|until| until < Millis(LATE)), "nobody answered yet");
    core.outputs(Millis(LATE));
    core.step(Millis(LATE), Input::Persisted);
    acknowledge(&mut core, 3);
    assert!(core.lease_until().is_some_and(|until| until > Millis(LATE + 10)));
    core.step(Millis(LATE + 10), Input::HandOver);
    assert_eq!(core.lease_until(), None);
}
