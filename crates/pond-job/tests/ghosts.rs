//! How long a run may be placed without running, when orders, stops, reports or proposals are lost
//! or leaders change. Times are of the injected clock.

mod support;

use pond_job::{Change, Decision, Leader, Output, State};
use pond_proto::Span;
use pond_proto::fleet::EndRow;
use pond_proto::job::{How, Phase, RunName, Step};
use support::{Bench, step, task, terms};

/// Step of the injected clock, in milliseconds.
const STEP_MS: Span = 50;

/// Time between reports of an agent without news, in milliseconds.
const REPORT_MS: Span = 900;

fn run(job: u64, index: u32, number: u32) -> RunName {
    RunName { task: task(job, 0, index), number }
}

fn keep(_: &Change) -> bool {
    false
}

/// Lets time pass, with reports of these workers, until `until` holds; how long that took.
fn until(
    bench: &mut Bench,
    longest: Span,
    reporting: &[&str],
    lost: impl Fn(&Change) -> bool,
    until: impl Fn(&Bench) -> bool,
) -> Option<Span> {
    let from = bench.now;
    while bench.now.since(from) <= longest {
        if until(bench) {
            return Some(bench.now.since(from));
        }
        bench.now = bench.now + STEP_MS;
        let since = bench.now.since(from);
        if since.is_multiple_of(REPORT_MS) {
            for life in reporting {
                if let Some(vm) = bench.vms.get_mut(*life) {
                    vm.clock_ms += REPORT_MS;
                }
                bench.report(life);
            }
        }
        bench.settle_losing(&lost);
    }
    None
}

fn orders(bench: &Bench, life: &str) -> usize {
    bench.vms[life].orders.iter().map(|order| order.starts.len() + order.stops.len()).sum()
}

/// A job of one task, which worker `a` was told to start.
fn ordered() -> Bench {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    assert_eq!(bench.started("a"), [run(1, 0, 1)]);
    bench
}

/// The same, and the worker has it.
fn running() -> Bench {
    let mut bench = ordered();
    bench.obey("a");
    bench.report("a");
    bench.settle();
    bench
}

#[test]
fn order_that_is_lost_is_sent_again_within_eleven_tenths_of_a_second() {
    let mut bench = ordered();
    let took = until(&mut bench, 5_000, &["a"], keep, |bench| orders(bench, "a") > 1);
    assert!(took.is_some_and(|took| took <= 1_100), "{took:?}");
}

#[test]
fn order_that_is_lost_with_its_link_is_sent_again_on_the_next_one_at_once() {
    let mut bench = ordered();
    bench.leader.link_down(1_000);
    if let Some(vm) = bench.vms.get_mut("a") {
        vm.link = 2_000;
    }
    bench.report("a");
    bench.settle();
    assert_eq!(orders(&bench, "a"), 2);
}

#[test]
fn run_that_is_not_listed_is_ordered_each_second_for_as_long() {
    let mut bench = ordered();
    bench.pass(60, &["a"]);
    assert!((50..=61).contains(&orders(&bench, "a")), "{}", orders(&bench, "a"));
}

#[test]
fn run_that_stands_still_is_stopped_within_four_seconds_and_each_second_until_it_is_gone() {
    let mut bench = running();
    let stopped = |bench: &Bench| !bench.stopped("a").is_empty();
    let took = until(&mut bench, 10_000, &["a"], keep, stopped);
    // 2,500 ms without progress, seen with the next report.
    assert!(took.is_some_and(|took| took <= 2_500 + 900), "{took:?}");
    bench.pass(60, &["a"]);
    assert!(bench.stopped("a").len() >= 50, "{}", bench.stopped("a").len());
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn new_leader_finds_a_run_that_stands_still_as_late_as_the_first() {
    // It knows nothing of what the former one wanted stopped; the agent does, if it was told.
    let mut bench = running();
    bench.pass(4, &["a"]);
    assert!(!bench.stopped("a").is_empty());
    bench.replace_leader();
    let orders = bench.vms.get_mut("a").map(|vm| std::mem::take(&mut vm.orders));
    assert!(orders.is_some());
    let stopped = |bench: &Bench| !bench.stopped("a").is_empty();
    let took = until(&mut bench, 10_000, &["a"], keep, stopped);
    assert!(took.is_some_and(|took| took <= 900 + 2_500 + 900), "{took:?}");
}

#[test]
fn run_that_never_started_waits_again_as_soon_as_that_is_in_the_log() {
    let mut bench = ordered();
    bench.vms.get_mut("a").unwrap().unstarted.push(run(1, 0, 1));
    bench.report("a");
    bench.settle();
    assert_eq!(bench.started("a").last(), Some(&run(1, 0, 2)));
}

#[test]
fn lost_end_is_proposed_again_with_the_first_report_after_three_seconds() {
    let mut bench = running();
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.clear();
    vm.ends.push(EndRow {
        number: 1,
        run: run(1, 0, 1),
        how: How::Done as i32,
        save: String::new(),
    });
    bench.report("a");
    bench.settle_losing(|change| matches!(change, Change::Ended { .. }));
    let completed = |bench: &Bench| bench.phase(1) == Some(Phase::Completed);
    let took = until(&mut bench, 10_000, &["a"], keep, completed);
    assert!(took.is_some_and(|took| took <= 3_000 + 900), "{took:?}");
}

/// A busy worker, on which a run ends every half second; each end is proposed at once. The runs of
/// job 1, of which the first never started, as `lost` tells.
fn busy_worker_with_lost(lost: impl Fn(&Change) -> bool + Copy) -> Bench {
    let mut bench = Bench::new().with_vm("a", 40_000);
    bench.submit(1, vec![step(30, 1_000)]);
    bench.settle();
    bench.obey("a");
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 0, 1));
    vm.unstarted.push(run(1, 0, 1));
    vm.runs.values_mut().for_each(|row| row.percent = 100);
    bench.report("a");
    bench.settle_losing(lost);
    for index in 1..20 {
        bench.now = bench.now + 500;
        let vm = bench.vms.get_mut("a").unwrap();
        vm.clock_ms += 500;
        vm.runs.remove(&run(1, index, 1));
        let number = u64::from(index);
        let how = How::Done as i32;
        vm.ends.push(EndRow { number, run: run(1, index, 1), how, save: String::new() });
        bench.report("a");
        bench.settle();
    }
    bench
}

#[test]
fn lost_word_of_an_unstarted_run_is_proposed_again_though_ends_go_on_to_come() {
    // What is seen: a run that never started stays placed for as long as other runs end on its worker
    // more often than every three seconds. Cause: the time after which a proposal is made again counts
    // from the newest one of the worker, not from the one that is lost.
    let bench = busy_worker_with_lost(|change| matches!(change, Change::Ended { .. }));
    assert!(bench.started("a").contains(&run(1, 0, 2)));
}

#[test]
fn lost_end_counts_though_higher_ones_are_settled_first() {
    // What is seen: an end whose proposal is lost is never taken in once a higher one is settled; the
    // worker is told to forget it, and its task runs again. Cause: only ends above those that were
    // proposed are proposed, and the state takes ends up to the highest settled for known.
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(2, 400)]);
    bench.settle();
    bench.obey("a");
    let end = |number: u64, index: u32| EndRow {
        number,
        run: run(1, index, 1),
        how: How::Done as i32,
        save: String::new(),
    };
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 0, 1));
    vm.ends.push(end(1, 0));
    bench.report("a");
    bench.settle_losing(|change| matches!(change, Change::Ended { .. }));
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 1, 1));
    vm.ends.push(end(2, 1));
    bench.report("a");
    bench.pass(5, &["a"]);
    assert_eq!(bench.phase(1), Some(Phase::Completed));
}

#[test]
fn lost_start_blocks_all_plans_for_three_seconds_unless_the_leader_is_told() {
    let start = |change: &Change| matches!(change, Change::Start(_));
    for (told, longest) in [(false, 3_000), (true, 50)] {
        let mut bench = Bench::new().with_vm("a", 1_000);
        bench.submit(1, vec![step(1, 500)]);
        bench.settle_losing(start);
        assert!(bench.proposed.iter().any(start));
        if told {
            bench.leader.start_rejected();
        }
        let placed = |bench: &Bench| bench.place_of(task(1, 0, 0)).is_some();
        let took = until(&mut bench, 10_000, &["a"], keep, placed);
        assert!(took.is_some_and(|took| took <= longest), "{told}: {took:?}");
    }
}

#[test]
fn lost_loss_of_a_worker_is_proposed_again_every_three_seconds() {
    let mut bench = running();
    bench.add_vm("b", 1_000);
    let over = terms().lease_expiry_ms();
    let lost = |change: &Change| matches!(change, Change::WorkerLost { .. });
    let proposed = |bench: &Bench| bench.proposed.iter().any(lost);
    let took = until(&mut bench, 20_000, &["b"], lost, proposed);
    assert!(took.is_some_and(|took| took <= over + 100), "{took:?}");
    let moved = |bench: &Bench| bench.place_of(task(1, 0, 0)).as_deref() == Some("b");
    let took = until(&mut bench, 20_000, &["b"], keep, moved);
    assert!(took.is_some_and(|took| took <= 3_000 + 150), "{took:?}");
}

#[test]
fn new_leader_places_passing_tasks_after_a_fifth_of_a_second_and_serving_ones_after_one() {
    let serving = Step { lasting: true, tail_target_ms: 50, ..step(1, 100) };
    for (waiting, known, longest) in
        [(step(1, 100), false, 300), (serving.clone(), true, 450), (serving, false, 1_050)]
    {
        let mut bench = running();
        bench.add_vm("b", 1_000);
        for _ in 0..5 {
            // None of them leads for long enough.
            bench.replace_leader();
            bench.now = bench.now + 150;
        }
        bench.submit(2, vec![waiting]);
        bench.replace_leader();
        bench.report("b");
        if known {
            bench.report("a");
        }
        let placed = |bench: &Bench| bench.place_of(task(2, 0, 0)).is_some();
        let took = until(&mut bench, 5_000, &["b"], keep, placed);
        assert!(took.is_some_and(|took| took <= longest), "{known}: {took:?}");
    }
}

#[test]
fn lasting_task_that_fits_nowhere_keeps_no_other_from_its_place() {
    let lasting = |milli_cpu| Step { lasting: true, tail_target_ms: 50, ..step(1, milli_cpu) };
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![lasting(5_000)]);
    bench.pass(3, &["a"]);
    bench.submit(2, vec![lasting(100)]);
    bench.submit(3, vec![step(1, 100)]);
    bench.settle();
    assert_eq!([2, 3].map(|job| bench.place_of(task(job, 0, 0)).is_some()), [true, true]);
}

#[test]
fn run_that_is_placed_on_a_life_that_is_over_goes_elsewhere_with_the_next_report_of_its_agent() {
    // The start is on its way into the log when the new life reports.
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    let start = |change: &Change| matches!(change, Change::Start(_));
    bench.settle_losing(start);
    let late = bench.proposed.iter().find(|change| start(change)).cloned().unwrap();
    let vm = bench.vms.remove("a").unwrap();
    bench.vms.insert("a2".to_owned(), vm);
    bench.report("a2");
    bench.settle();
    bench.apply(late);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
    let moved = |bench: &Bench| bench.place_of(task(1, 0, 0)).as_deref() == Some("a2");
    let took = until(&mut bench, 5_000, &["a2"], keep, moved);
    assert!(took.is_some_and(|took| took <= 950), "{took:?}");
}

#[test]
fn next_step_starts_with_the_last_end_of_the_one_before_whatever_their_order() {
    let second = Step { after: vec![0], ..step(1, 100) };
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut bench = Bench::new().with_vm("a", 1_000);
        bench.submit(1, vec![step(3, 100), second.clone()]);
        bench.settle();
        bench.obey("a");
        for index in order {
            assert_eq!(bench.place_of(task(1, 1, 0)), None);
            bench.end("a", run(1, index, 1), How::Done);
            // It comes again.
            bench.report("a");
            bench.settle();
        }
        assert_eq!(bench.place_of(task(1, 1, 0)).as_deref(), Some("a"), "{order:?}");
    }
}

#[test]
fn ends_over_several_reports_are_all_taken_in_by_a_new_leader_from_a_snapshot() {
    let second = Step { after: vec![0], ..step(1, 100) };
    let mut bench = Bench::new().with_vm("a", 1_000_000);
    bench.submit(1, vec![step(1_200, 100), second]);
    bench.settle();
    bench.pass(1, &["a"]);
    bench.obey("a");
    let all: Vec<EndRow> = (0..1_200)
        .map(|index| EndRow {
            number: u64::from(index) + 1,
            run: run(1, index, 1),
            how: How::Done as i32,
            save: String::new(),
        })
        .collect();
    bench.vms.get_mut("a").unwrap().runs.clear();
    // A list holds five hundred of the ends that are not settled.
    for _ in 0..3 {
        let settled = bench.state.settled("a");
        let listed = all.iter().filter(|end| end.number > settled).take(500).cloned().collect();
        bench.vms.get_mut("a").unwrap().ends = listed;
        bench.report("a");
        bench.settle();
        bench.state = State::decode(&bench.state.encode().unwrap()).unwrap();
        bench.leader = Leader::new(9, terms(), bench.now);
        bench.pass(1, &["a"]);
    }
    assert_eq!(bench.state.settled("a"), 1_200);
    assert_eq!(bench.place_of(task(1, 1, 0)).as_deref(), Some("a"));
}

#[test]
fn life_that_comes_back_after_its_lease_has_its_ends_taken_in_and_its_old_runs_stopped() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(2, 400)]);
    bench.settle();
    bench.obey("a");
    bench.pass(7, &[]);
    assert_eq!([0, 1].map(|index| bench.place_of(task(1, 0, index))), [None, None]);
    // One run was done before the lease ran out; the agent still tells of the other.
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 0, 1));
    vm.ends.push(EndRow {
        number: 1,
        run: run(1, 0, 1),
        how: How::Done as i32,
        save: String::new(),
    });
    vm.clock_ms += 7_000;
    bench.report("a");
    bench.settle();
    assert_eq!(bench.stopped("a"), [run(1, 1, 1)]);
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 1, 1));
    vm.ends.push(EndRow {
        number: 2,
        run: run(1, 1, 1),
        how: How::Lapsed as i32,
        save: String::new(),
    });
    bench.pass(2, &["a"]);
    let tasks: Vec<(bool, u32)> = [0, 1]
        .map(|index| bench.state.job(1).unwrap().task(task(1, 0, index)).unwrap())
        .map(|task| (task.done, task.run))
        .to_vec();
    // The one that was done has at most a newer run, which is stopped.
    assert!(tasks[0].0 && !tasks[1].0 && tasks[1].1 == 2, "{tasks:?}");
    assert_eq!(bench.state.settled("a"), 2);
}

#[test]
fn run_on_a_silent_worker_goes_elsewhere_when_its_lease_is_surely_over() {
    let mut bench = ordered();
    bench.add_vm("b", 1_000);
    let moved = |bench: &Bench| bench.place_of(task(1, 0, 0)).as_deref() == Some("b");
    let took = until(&mut bench, 20_000, &["b"], keep, moved);
    let over = terms().lease_expiry_ms();
    assert!(took.is_some_and(|took| (over..=over + 150).contains(&took)), "{took:?}");
}

#[test]
fn each_change_of_leaders_begins_the_lease_of_a_silent_worker_anew() {
    // A new leader cannot know what the former one granted last.
    let mut bench = ordered();
    bench.add_vm("b", 1_000);
    bench.pass(5, &["b"]);
    bench.replace_leader();
    let moved = |bench: &Bench| bench.place_of(task(1, 0, 0)).as_deref() == Some("b");
    let took = until(&mut bench, 20_000, &["b"], keep, moved);
    let over = terms().lease_expiry_ms();
    assert!(took.is_some_and(|took| (over..=over + 150).contains(&took)), "{took:?}");
}

#[test]
fn worker_whose_clock_goes_on_keeps_its_runs_though_it_does_not_answer() {
    // The agent reports the clock of the newest list that it could read; while it goes on, lists come.
    let mut bench = ordered();
    bench.add_vm("b", 1_000);
    bench.pass(30, &["a", "b"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
    assert!(!bench.decided.iter().any(|there| matches!(there, Decision::WorkerLost { .. })));
}

fn questions(bench: &mut Bench) -> Vec<pond_job::Question> {
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    let question = |output| match output {
        Output::Advise(question) => Some(question),
        _ => None,
    };
    outputs.into_iter().filter_map(question).collect()
}

#[test]
fn new_leader_asks_once_for_all_workers_that_lack_a_ticket_for_a_step() {
    // What is seen: of many runs of a step that are placed and not ordered when the lead changes, one
    // after another is asked about, each for the adviser's whole time. Cause: a question names one
    // worker, and there is one question at a time.
    let mut bench = Bench::new();
    let lives = ["a", "b", "c", "d"];
    for life in lives {
        bench.add_vm(life, 1_000);
    }
    bench.submit_advised(1, vec![step(4, 900)]);
    let starts = lives.iter().zip(0..).map(|(life, index)| pond_job::Start {
        run: run(1, index, 1),
        worker: (*life).to_owned(),
        agent: format!("agent-of-{life}"),
    });
    bench.apply(Change::Start(starts.collect()));
    bench.replace_leader();
    lives.iter().for_each(|life| bench.report(life));
    bench.now = bench.now + 100;
    let questions = questions(&mut bench);
    let named: Vec<&str> =
        questions.iter().flat_map(|asked| &asked.workers).map(String::as_str).collect();
    assert_eq!((questions.len(), named), (1, lives.to_vec()));
}

/// The lines about runs that are not listed: how long, and how often each was ordered.
fn absences(bench: &Bench) -> Vec<(RunName, Span, u32)> {
    let line = |decision: &Decision| match decision {
        Decision::Absent { run, absent_ms, orders, .. } => Some((*run, *absent_ms, *orders)),
        _ => None,
    };
    bench.decided.iter().filter_map(line).collect()
}

#[test]
fn run_that_is_not_listed_gets_a_line_after_two_seconds_and_one_a_second() {
    let mut bench = ordered();
    until(&mut bench, 1_950, &["a"], keep, |_| false);
    assert!(absences(&bench).is_empty());
    until(&mut bench, 3_000, &["a"], keep, |_| false);
    let lines = absences(&bench);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines.iter().all(|(there, absent_ms, orders)| {
        *there == run(1, 0, 1) && *absent_ms >= 2_000 && *orders >= 2
    }));
}

#[test]
fn run_that_only_its_agent_tells_of_is_not_listed() {
    let mut bench = ordered();
    bench.obey("a");
    let vm = bench.vms.get_mut("a").unwrap();
    vm.runs.values_mut().for_each(|row| row.unlisted = true);
    until(&mut bench, 2_900, &["a"], keep, |_| false);
    let told = |decision: &Decision| match decision {
        Decision::Absent { linked, answers, known_to_agent, .. } => {
            Some((*linked, *answers, *known_to_agent))
        }
        _ => None,
    };
    assert_eq!(bench.decided.iter().find_map(told), Some((true, true, true)));
}

#[test]
fn run_that_is_listed_gets_no_line() {
    let mut bench = running();
    until(&mut bench, 8_000, &["a"], keep, |_| false);
    assert!(absences(&bench).is_empty());
}

#[test]
fn run_of_a_worker_without_a_link_gets_lines_that_say_so() {
    let mut bench = ordered();
    bench.leader.link_down(1_000);
    until(&mut bench, 2_900, &[], keep, |_| false);
    let linked = |decision: &Decision| match decision {
        Decision::Absent { linked, .. } => Some(*linked),
        _ => None,
    };
    assert_eq!(bench.decided.iter().find_map(linked), Some(false));
}

#[test]
fn many_runs_that_are_not_listed_get_four_lines_in_a_look() {
    let mut bench = Bench::new().with_vm("a", 100_000);
    bench.submit(1, vec![step(100, 100)]);
    bench.settle();
    bench.now = bench.now + 2_500;
    bench.settle();
    bench.now = bench.now + 2_500;
    bench.decided.clear();
    bench.leader.tick(&bench.state, bench.now, bench.now, true).into_iter().for_each(|output| {
        if let Output::Decided(decision) = output {
            bench.decided.push(decision);
        }
    });
    assert_eq!(absences(&bench).len(), 4);
}
