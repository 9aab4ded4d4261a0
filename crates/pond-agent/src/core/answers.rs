//! Handles the worker's answers.

use std::collections::BTreeSet;

use pond_proto::fleet::{EndRow, RunRow};
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::{Core, Evidence, Observation, Output};
use crate::run::{Phase, Run};
use crate::worker::{Answer, Call, Refusal, Reply};

/// Number of start calls that stay unanswered, or that an unhealthy worker refuses, after which a
/// run is given up. With the timeouts and the waits between unanswered calls this takes about 3 s.
const MAX_START_ATTEMPTS: u32 = 3;

/// Time before an unanswered call is repeated, in milliseconds. It doubles each time, so that a
/// dead worker causes few calls.
const RETRY_MS: Span = 200;

/// Limit of the doublings, which keeps the wait below 2 s.
const MAX_DOUBLINGS: u32 = 3;

/// Time before a stop is repeated if a list still shows the run after its confirmed stop, in
/// milliseconds. Stopping a run takes about 200 ms.
const STOP_AGAIN_MS: Span = 500;

/// Time after the last list during which other answers and registrations advance the worker's
/// clock, in milliseconds. It is about as long as the longest lease. A few failed lists in a row
/// are no reason to give up the runs. After this time control counts the lease from the last known
/// clock and places the runs elsewhere.
const CLOCK_VALID_MS: Span = 6_000;

/// Answers of a worker can overtake each other by less than this on its clock, in milliseconds. If
/// the clock falls by more, the worker has restarted.
const CLOCK_TOLERANCE_MS: u64 = 500;

/// Time before the next list while ends are not committed, in milliseconds. It is about the time of
/// a commit. The worker would otherwise answer immediately because of those ends.
const UNCOMMITTED_WAIT_MS: Span = 60;

/// Number of ends that a worker lists at once, the oldest first.
const MAX_LISTED_ENDS: usize = 500;

impl Core {
    /// Handles the result of a call that was made with this fencing token.
    pub fn answer(
        &mut self,
        now: Millis,
        incarnation: &str,
        token: u64,
        list_id: u64,
        call: &Call,
        answer: Answer,
    ) {
        if self.incarnation() != Some(incarnation) {
            return self.claim_answer(now, incarnation, list_id, answer);
        }
        if answer.reply == Reply::Refused(Refusal::Fenced) {
            // Another agent has called with a higher token, so all calls with this one will be
            // refused.
            self.refused_token = self.refused_token.max(token);
        }
        match answer.reply {
            Reply::OtherLife => return self.replaced_by_other(now),
            Reply::Restarted => return self.reset(now, "", Evidence::Restarted),
            Reply::NotSent if self.has_left(now) => return self.reset(now, "", Evidence::Left),
            _ => {}
        }
        self.record_contact(now, &answer.reply);
        let clock_ms = answer.clock_ms.unwrap_or(0);
        let failed = matches!(answer.reply, Reply::Unknown | Reply::NotSent);
        if failed || (clock_ms > 0 && clock_ms + CLOCK_TOLERANCE_MS < self.clock_ms) {
            self.require_check(call);
        }
        self.update_clock(now, clock_ms);
        match call {
            Call::Start { run, .. } => self.start_answer(now, *run, &answer.reply),
            Call::Stop { run } => self.stop_answer(now, *run, &answer.reply),
            Call::List { .. } => self.list_answer(now, list_id, answer),
            Call::Pace { run, percent } => self.pace_answer(*run, *percent, &answer.reply),
        }
    }

    /// Records whether the worker is up or nothing accepts connections at its address. The latter
    /// is reported at once, because the leader would otherwise go on to place runs on a worker that
    /// is down. So is a list of a worker without a lease, because only control can grant one; refusals
    /// are not, as they may follow each other without a pause.
    fn record_contact(&mut self, now: Millis, reply: &Reply) {
        match reply {
            Reply::Unknown => {}
            Reply::NotSent => {
                self.report_now |= !self.unreachable;
                self.unreachable = true;
            }
            _ => {
                let due = |at: Millis| self.answered_at < at && at <= now;
                let lists_without_lease =
                    self.lease.lapsed && matches!(reply, Reply::Listed { .. });
                self.report_now |= self.unreachable || lists_without_lease;
                self.report_now |= self.runs.values().filter_map(Run::survival_due).any(due);
                self.unreachable = false;
                self.answered_at = now;
                if lists_without_lease {
                    self.hasten_stops(now);
                }
            }
        }
    }

    /// Repeats the stops that wait for a call: a worker that has been silent lists again, and it gets
    /// no lease before they are confirmed. Other answers, such as the refusal of a stop, hasten nothing:
    /// two refused stops would call for each other without a pause.
    fn hasten_stops(&mut self, now: Millis) {
        let stopping = self.runs.values_mut().filter(|run| run.phase == Phase::Stopping);
        stopping.for_each(|run| run.due = run.due.min(now));
    }

    /// Suspends starts and acknowledgements until a list requested from now on comes from the same
    /// incarnation, because the worker may be down or may have restarted under its ID.
    fn require_check(&mut self, call: &Call) {
        self.distrusted_list = Some(self.last_list_id);
        // A failed list is repeated anyway, with increasing delay.
        if !matches!(call, Call::List { .. }) && self.check_list.is_none() {
            self.check_list = Some(self.request_list(0));
        }
    }

    /// Turns a start into a stop if it was certainly not carried out or has been tried often
    /// enough.
    fn start_answer(&mut self, now: Millis, name: RunName, reply: &Reply) {
        let Some(run) = self.runs.get_mut(&name).filter(|run| !run.is_stopping()) else { return };
        run.calling = false;
        let Phase::Starting { attempts, .. } = &mut run.phase else { return };
        if *reply == Reply::NotSent {
            run.start_calls = run.start_calls.saturating_sub(1);
        }
        match reply {
            Reply::Done => {
                run.phase = Phase::Running;
                run.confirm(now);
            }
            Reply::Unknown | Reply::NotSent | Reply::Refused(Refusal::Unwell)
                if *attempts + 1 < MAX_START_ATTEMPTS =>
            {
                *attempts += 1;
                run.due = now + retry_delay_ms(&mut run.failures);
            }
            // An earlier unanswered call may still be carried out, so the run is stopped first.
            _ => run.stop(now),
        }
    }

    /// Follows a confirmed stop with a list that shows what there was to stop.
    fn stop_answer(&mut self, now: Millis, name: RunName, reply: &Reply) {
        let last_list_id = self.last_list_id;
        let Some(run) = self.runs.get_mut(&name) else { return };
        run.calling = false;
        if run.phase != Phase::Stopping {
            return;
        }
        if *reply == Reply::Done {
            run.phase = Phase::Stopped { list_id: last_list_id };
            self.request_list(0);
        } else {
            run.due = now + retry_delay_ms(&mut run.failures);
        }
    }

    fn pace_answer(&mut self, name: RunName, percent: u32, reply: &Reply) {
        let Some(run) = self.runs.get_mut(&name).filter(|run| !run.is_stopping()) else { return };
        run.calling = false;
        if *reply == Reply::Done {
            run.pace = Some(percent);
        }
    }

    /// Advances the recorded clock of the worker, but only while its lists can be read. Control
    /// counts leases by this clock, so it gives up runs that cannot be listed any more.
    pub(super) fn update_clock(&mut self, now: Millis, clock_ms: u64) {
        if now.since(self.listed_at) < CLOCK_VALID_MS {
            self.advance_clock(now, clock_ms);
        }
    }

    fn advance_clock(&mut self, now: Millis, clock_ms: u64) {
        if clock_ms > self.clock_ms {
            self.clock_ms = clock_ms;
            self.clock_read_at = now;
        }
    }

    pub(super) fn list_answer(&mut self, now: Millis, list_id: u64, answer: Answer) {
        if self.pending_list == Some(list_id) {
            self.pending_list = None;
        }
        if self.check_list == Some(list_id) {
            self.check_list = None;
        }
        let acknowledged = self.acknowledging.filter(|(carrier, _)| *carrier == list_id);
        if acknowledged.is_some() {
            self.acknowledging = None;
        }
        let reachable = !matches!(answer.reply, Reply::Unknown | Reply::NotSent);
        for run in
            self.runs.values_mut().filter(|run| reachable && run.awaited_list == Some(list_id))
        {
            run.awaited_list = None;
            run.due = now;
        }
        let Reply::Listed { runs, ends } = answer.reply else {
            self.list_due = now + retry_delay_ms(&mut self.list_failures);
            return;
        };
        self.advance_clock(now, answer.clock_ms.unwrap_or(0));
        self.list_failures = 0;
        self.listed_at = now;
        self.listed_before = self.last_list_id;
        self.has_listed = true;
        self.distrusted_list =
            self.distrusted_list.filter(|distrusted_list| list_id <= *distrusted_list);
        self.acknowledged = acknowledged.map_or(self.acknowledged, |(_, committed)| committed);
        self.hides_ends = ends.len() >= MAX_LISTED_ENDS;
        for end in ends {
            if end.number <= self.committed {
                self.observe_repeated(&end);
            } else if !self.ends.contains_key(&end.number) {
                self.runs.remove(&end.run);
                self.ends.insert(end.number, end);
                self.report_now = true;
            }
        }
        let listed: BTreeSet<RunName> = runs.iter().map(|row| row.run).collect();
        self.merge_rows(now, list_id, runs);
        if !self.hides_ends {
            self.find_unstarted(list_id, &listed);
            self.drop_vanished(list_id);
        }
        self.report_resolved();
        self.update_paces(now);
        let all_committed = self.ends.is_empty() && self.committed == self.acknowledged;
        let wait = if all_committed { 0 } else { UNCOMMITTED_WAIT_MS };
        self.list_due = now + wait;
    }

    /// Outputs an observation for an end whose number is committed although its run is still
    /// known. Lists overlap, so committed ends are listed again, but normally their runs are no
    /// longer known.
    fn observe_repeated(&mut self, end: &EndRow) {
        let Some(incarnation) = self.incarnation().filter(|_| self.runs.contains_key(&end.run))
        else {
            return;
        };
        let (incarnation, run, number) = (incarnation.to_owned(), end.run, end.number);
        let committed = self.committed;
        let observation = Observation::EndRepeated { incarnation, run, number, committed };
        self.outputs.push(Output::Observed(observation));
    }

    /// Merges the listed runs. A list may be older than the answer to a start, so runs are only
    /// added. An unknown run is reported at once, because only control can tell whether it is still
    /// wanted. The next regular report could be 0.9 s later.
    fn merge_rows(&mut self, now: Millis, list_id: u64, rows: Vec<RunRow>) {
        for row in rows {
            let name = row.run;
            if self.ends.values().any(|end| end.run == name) {
                continue;
            }
            if !self.runs.contains_key(&name) {
                // The worker may have carried out late a start that was given up.
                self.unstarted.remove(&name);
                self.report_now = true;
            }
            let run = self.runs.entry(name).or_insert_with(|| {
                // Started by a previous process of this agent, which may have slowed it down.
                Run { pace: None, ..Run::new(name, Phase::Running, None, now) }
            });
            match run.phase {
                Phase::Starting { .. } => run.phase = Phase::Running,
                // The run is still stopping, or it started after its stop. The stop is repeated.
                Phase::Stopped { list_id: before } if before < list_id => {
                    run.phase = Phase::Stopping;
                    run.due = now + STOP_AGAIN_MS;
                }
                _ => {}
            }
            run.last_listed = Some(self.last_list_id);
            run.confirm(now);
            run.row = row;
        }
    }

    /// Drops runs that were listed once and are missing from a list requested later. Such a run has
    /// ended, and its end is committed if no uncommitted end is left. A late list can bring such a
    /// run back, and it would then be reported forever.
    fn drop_vanished(&mut self, list_id: u64) {
        if !self.ends.is_empty() {
            return;
        }
        let vanished =
            |_: &RunName, run: &mut Run| run.last_listed.is_some_and(|before| before < list_id);
        let vanished: Vec<RunName> =
            self.runs.extract_if(.., vanished).map(|(run, _)| run).collect();
        let committed = self.committed;
        for run in vanished {
            let incarnation = self.incarnation().unwrap_or_default().to_owned();
            let observation = Observation::RunVanished { incarnation, run, committed };
            self.outputs.push(Output::Observed(observation));
        }
    }

    /// Finds the runs that never started: their stop was confirmed before this list was requested,
    /// and they are neither listed nor ended.
    fn find_unstarted(&mut self, list_id: u64, listed: &BTreeSet<RunName>) {
        let never_started = |(name, run): &(&RunName, &Run)| {
            let stopped =
                matches!(run.phase, Phase::Stopped { list_id: before } if before < list_id);
            stopped && run.last_listed.is_none() && !listed.contains(name)
        };
        let found: Vec<RunName> =
            self.runs.iter().filter(never_started).map(|(name, _)| *name).collect();
        for name in found {
            self.runs.remove(&name);
            self.unstarted.insert(name);
            self.report_now = true;
        }
    }
}

/// Counts a failed call and returns how long to wait before the next one, in milliseconds.
fn retry_delay_ms(failures: &mut u32) -> Span {
    let wait = RETRY_MS << (*failures).min(MAX_DOUBLINGS);
    *failures += 1;
    wait
}
