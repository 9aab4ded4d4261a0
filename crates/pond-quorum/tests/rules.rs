//! The rules for voting and following, tested on one replica with one message at a time.

use pond_proto::Millis;
use pond_proto::quorum::{
    Append, AppendReply, Body, Entry, Envelope, HardState, Kind, Member, Members, VoteReply,
    VoteRequest,
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

/// Creates replica 1 in term 5 with two entries of term 4, started at time 1000.
fn replica(vote: u64) -> Core {
    let start = Start {
        id: 1,
        hard: HardState { term: TERM, vote, commit: 0 },
        snapshot: None,
        entries: vec![entry(1, 4), entry(2, 4)],
        members: members(),
        seed: 1,
    };
    let mut core = Core::new(start, Tuning::default(), Millis(1000));
    core.outputs(Millis(1000));
    core
}

/// Returns the answer of replica 1 to a message of replica 2.
fn answer(core: &mut Core, now: u64, term: u64, body: Body) -> Option<Body> {
    let message = Envelope { from: 2, to: 1, term, body: Some(body) };
    core.step(Millis(now), Input::Message(message));
    core.outputs(Millis(now)).into_iter().find_map(|output| match output {
        Output::Send(message) | Output::SendDurable(message) => message.body,
        _ => None,
    })
}

fn vote_request(last_index: u64, last_term: u64) -> VoteRequest {
    VoteRequest { pre_vote: false, last_index, last_term, leadership_transfer: false }
}

fn granted(answer: Option<Body>) -> Option<bool> {
    match answer {
        Some(Body::VoteReply(VoteReply { granted, .. })) => Some(granted),
        _ => None,
    }
}

/// A time at which the replica has not heard from any leader for longer than the election timeout.
const AFTER_TIMEOUT: u64 = 2000;

#[test]
fn vote_is_given_once_per_term_to_an_up_to_date_log() {
    let table: [(&str, u64, u64, u64, VoteRequest, bool); 8] = [
        ("an equal log", 0, AFTER_TIMEOUT, 6, vote_request(2, 4), true),
        ("a longer log", 0, AFTER_TIMEOUT, 6, vote_request(9, 4), true),
        ("a shorter log of a later term", 0, AFTER_TIMEOUT, 6, vote_request(1, 5), true),
        ("a shorter log", 0, AFTER_TIMEOUT, 6, vote_request(1, 4), false),
        ("a longer log of an earlier term", 0, AFTER_TIMEOUT, 6, vote_request(9, 3), false),
        ("an older term", 0, AFTER_TIMEOUT, 4, vote_request(9, 4), false),
        ("a second candidate of the term", 3, AFTER_TIMEOUT, TERM, vote_request(2, 4), false),
        ("the same candidate again", 2, AFTER_TIMEOUT, TERM, vote_request(2, 4), true),
    ];
    for (name, vote, now, term, request, expected) in table {
        let mut core = replica(vote);
        let reply = granted(answer(&mut core, now, term, Body::VoteRequest(request)));
        assert_eq!(reply, Some(expected), "{name}");
    }
}

#[test]
fn restarted_replica_does_not_vote_before_the_election_timeout() {
    let mut core = replica(0);
    assert_eq!(
        granted(answer(&mut core, 1100, 6, Body::VoteRequest(vote_request(9, 9)))),
        Some(false)
    );
    assert_eq!(core.term(), TERM, "its term must stay, so that it still follows the leader");
}

fn heartbeat(entries: Vec<Entry>) -> Body {
    let (previous_index, previous_term) = (2, 4);
    Body::Append(Append { previous_index, previous_term, entries, commit: 0, round: 1 })
}

#[test]
fn replica_that_hears_from_a_leader_elects_another_only_on_that_leaders_request() {
    let mut core = replica(0);
    answer(&mut core, AFTER_TIMEOUT, TERM, heartbeat(Vec::new()));
    assert_eq!(
        granted(answer(&mut core, AFTER_TIMEOUT + 100, 6, Body::VoteRequest(vote_request(9, 9)))),
        Some(false)
    );
    assert_eq!(core.term(), TERM);
    let transfer_request = VoteRequest { leadership_transfer: true, ..vote_request(9, 9) };
    assert_eq!(
        granted(answer(&mut core, AFTER_TIMEOUT + 100, 6, Body::VoteRequest(transfer_request))),
        Some(true)
    );
}

#[test]
fn pre_vote_changes_neither_term_nor_vote() {
    let mut core = replica(0);
    let pre_vote = VoteRequest { pre_vote: true, ..vote_request(9, 9) };
    assert_eq!(
        granted(answer(&mut core, AFTER_TIMEOUT, 6, Body::VoteRequest(pre_vote))),
        Some(true)
    );
    assert_eq!(core.term(), TERM);
    assert_eq!(
        granted(answer(&mut core, AFTER_TIMEOUT, 6, Body::VoteRequest(vote_request(9, 9)))),
        Some(true)
    );
}

#[test]
fn outdated_leader_is_rejected_and_informed_of_the_new_term() {
    let mut core = replica(0);
    let reply = answer(&mut core, AFTER_TIMEOUT, TERM - 1, heartbeat(vec![entry(3, 4)]));
    assert!(matches!(reply, Some(Body::AppendReply(reply)) if !reply.matched), "{reply:?}");
    assert_eq!((core.last_index(), core.leader().is_some()), (2, false));
}

#[test]
fn entries_that_do_not_follow_the_log_are_rejected() {
    let table: [(&str, u64, u64, bool); 3] = [
        ("after its last entry", 2, 4, true),
        ("after a gap", 3, 4, false),
        ("after an entry of another term", 2, 3, false),
    ];
    for (name, previous_index, previous_term, fits) in table {
        let mut core = replica(0);
        let entries = vec![entry(previous_index + 1, TERM)];
        let append = Append { previous_index, previous_term, entries, commit: 0, round: 1 };
        let reply = answer(&mut core, AFTER_TIMEOUT, TERM, Body::Append(append));
        let matched = matches!(reply, Some(Body::AppendReply(reply)) if reply.matched);
        assert_eq!((matched, core.last_index()), (fits, if fits { 3 } else { 2 }), "{name}");
    }
}

#[test]
fn votes_and_acknowledgements_wait_for_the_disk() {
    let cases: [(&str, Body); 2] = [
        ("an append", heartbeat(vec![entry(3, TERM)])),
        ("a vote", Body::VoteRequest(vote_request(9, 4))),
    ];
    for (name, body) in cases {
        let mut core = replica(0);
        let message = Envelope { from: 2, to: 1, term: 6, body: Some(body) };
        core.step(Millis(AFTER_TIMEOUT), Input::Message(message));
        let outputs = core.outputs(Millis(AFTER_TIMEOUT));
        assert!(matches!(outputs[0], Output::Persist { .. }), "{name}: {outputs:?}");
        let at_once = outputs.iter().any(|output| matches!(output, Output::Send(_)));
        assert!(!at_once, "{name} is answered before it is durable");
    }
}

/// Creates replica 1 just elected by replica 2 in term 6. Its log ends with the first entry of its term, 3.
fn leader() -> Core {
    let mut core = replica(0);
    core.step(Millis(AFTER_TIMEOUT), Input::Tick);
    let vote = |pre_vote| Body::VoteReply(VoteReply { pre_vote, granted: true });
    answer(&mut core, AFTER_TIMEOUT, TERM + 1, vote(true));
    let message = Envelope { from: 2, to: 1, term: TERM + 1, body: Some(vote(false)) };
    core.step(Millis(AFTER_TIMEOUT), Input::Message(message));
    assert_eq!((core.role(), core.last_index()), (Role::Leader, 3));
    core
}

/// Lets replica 2 acknowledge the log up to an index.
fn acknowledge(core: &mut Core, index: u64) {
    let reply = AppendReply { matched: true, index, conflict_term: 0, round: 1 };
    let body = Some(Body::AppendReply(reply));
    let message = Envelope { from: 2, to: 1, term: TERM + 1, body };
    core.step(Millis(AFTER_TIMEOUT + 10), Input::Message(message));
}

#[test]
fn entries_of_older_terms_are_committed_only_with_one_of_the_current_term() {
    let mut core = leader();
    core.outputs(Millis(AFTER_TIMEOUT));
    core.step(Millis(AFTER_TIMEOUT), Input::Persisted);
    acknowledge(&mut core, 2);
    assert_eq!(core.commit(), 0);
    acknowledge(&mut core, 3);
    assert_eq!(core.commit(), 3);
}

#[test]
fn leader_counts_its_own_entries_only_once_they_are_durable() {
    let mut core = leader();
    core.outputs(Millis(AFTER_TIMEOUT));
    acknowledge(&mut core, 3);
    assert_eq!(core.commit(), 0, "its own disk and one follower are needed, or two followers");
    core.step(Millis(AFTER_TIMEOUT), Input::Persisted);
    assert_eq!(core.commit(), 3);
}

#[test]
fn leader_that_transfers_leadership_holds_no_lease() {
    let mut core = leader();
    assert!(
        core.lease_until().is_none_or(|until| until < Millis(AFTER_TIMEOUT)),
        "no follower has answered yet"
    );
    core.outputs(Millis(AFTER_TIMEOUT));
    core.step(Millis(AFTER_TIMEOUT), Input::Persisted);
    acknowledge(&mut core, 3);
    assert!(core.lease_until().is_some_and(|until| until > Millis(AFTER_TIMEOUT + 10)));
    core.step(Millis(AFTER_TIMEOUT + 10), Input::TransferLeadership);
    assert_eq!(core.lease_until(), None);
}

/// Interval between heartbeats, in milliseconds.
const HEARTBEAT_MS: usize = 50;

/// Returns the round of the last heartbeat or append that the leader sends at `now`, after a tick.
fn tick(core: &mut Core, now: u64) -> Option<u64> {
    core.step(Millis(now), Input::Tick);
    let outputs = core.outputs(Millis(now));
    core.step(Millis(now), Input::Persisted);
    let rounds = outputs.into_iter().filter_map(|output| match output {
        Output::Send(Envelope { body: Some(Body::Append(append)), .. }) => Some(append.round),
        _ => None,
    });
    rounds.last()
}

/// Lets the leader run until `until`. Each of the given followers answers every round at once and has the log up to
/// the given index.
fn run_with_followers(core: &mut Core, from: u64, until: u64, followers: &[(u64, u64)]) {
    for now in (from..until).step_by(HEARTBEAT_MS) {
        let Some(round) = tick(core, now) else { continue };
        for (follower, index) in followers {
            let reply = AppendReply { matched: true, index: *index, conflict_term: 0, round };
            let body = Some(Body::AppendReply(reply));
            let message = Envelope { from: *follower, to: 1, term: TERM + 1, body };
            core.step(Millis(now), Input::Message(message));
        }
    }
}

/// Guards against a successor that is lost before it votes and becomes a voter nevertheless, because it had caught up
/// earlier.
#[test]
fn learner_that_was_lost_after_it_had_caught_up_does_not_become_a_voter() {
    let start = AFTER_TIMEOUT;
    let mut core = leader();
    run_with_followers(&mut core, start, start + 100, &[(2, 3), (3, 3)]);
    let learner = Member { id: 4, name: "control-4".to_owned(), ..Member::default() };
    core.step(Millis(start + 100), Input::Add(learner));
    assert_eq!(core.last_index(), 4);
    // The learner has all entries, but the voters delay the commit of the change that added it.
    run_with_followers(&mut core, start + 100, start + 200, &[(2, 3), (3, 3), (4, 4)]);
    run_with_followers(&mut core, start + 200, start + 1_000, &[(2, 3), (3, 3)]);
    run_with_followers(&mut core, start + 1_000, start + 1_500, &[(2, 4), (3, 4)]);
    assert!(!core.members().is_voter(4));
    assert!(core.may_change_members());
    run_with_followers(&mut core, start + 1_500, start + 1_600, &[(2, 4), (3, 4), (4, 4)]);
    assert!(core.members().is_voter(4), "it votes once it answers again");
}

/// Returns the replicas that are asked to take over.
fn asked_to_take_over(core: &mut Core, now: u64) -> Vec<u64> {
    let outputs = core.outputs(Millis(now)).into_iter();
    let asked = outputs.filter_map(|output| match output {
        Output::Send(Envelope { to, body: Some(Body::TakeOver(_)), .. }) => Some(to),
        _ => None,
    });
    asked.collect()
}

/// Guards against a planned stop that hands over to a replica that is gone, so that nobody leads until it is given up.
#[test]
fn leadership_is_transferred_to_a_voter_that_answers() {
    let start = AFTER_TIMEOUT;
    let mut core = leader();
    run_with_followers(&mut core, start, start + 100, &[(2, 3), (3, 3)]);
    core.step(Millis(start + 100), Input::Propose { ticket: 1, data: vec![1] });
    // Replica 2 has the last entry and is lost. Replica 3 has not acknowledged it yet.
    run_with_followers(&mut core, start + 100, start + 200, &[(2, 4), (3, 3)]);
    run_with_followers(&mut core, start + 200, start + 600, &[(3, 3)]);
    core.step(Millis(start + 600), Input::TransferLeadership);
    assert_eq!(
        asked_to_take_over(&mut core, start + 600),
        [0; 0],
        "none has all entries and answers"
    );
    let reply = AppendReply { matched: true, index: 4, conflict_term: 0, round: 0 };
    let message = Envelope { from: 3, to: 1, term: TERM + 1, body: Some(Body::AppendReply(reply)) };
    core.step(Millis(start + 610), Input::Message(message));
    assert_eq!(asked_to_take_over(&mut core, start + 610), [3]);
}
