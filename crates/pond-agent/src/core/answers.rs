//! What the agent makes of its worker's answers.

use std::collections::BTreeSet;

use pond_proto::fleet::{EndRow, RunRow};
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::{Core, Observation, Output};
use crate::run::{Phase, Run};
use crate::worker::{Answer, Call, Refusal, Reply};

/// Starts without an answer after which a run is given up: with the time for each answer and the
/// waits between, about 3 s.
const START_TRIES: u32 = 3;

/// Time before a call without an answer is made again, in milliseconds; twice as long each time, so
/// that a dead worker costs little.
const AGAIN_MS: Span = 200;

/// The waiting time is doubled this often at most, so it stays below two seconds.
const MOST_DOUBLINGS: u32 = 3;

/// Time before the next call to stop a run that a list still shows after its confirmed stop, in
/// milliseconds: a stop takes a fifth of a second, so this is ample.
const GOES_ON_MS: Span = 500;

/// For so long after its last list a worker's other answers and its registrations take its clock
/// further, in milliseconds: about the longest lease. Some lists in a row without an answer are no
/// reason to give up what runs; after this, control counts a lease from the last clock that it knows and
/// places the runs elsewhere.
const UNREAD_MS: Span = 6_000;

/// A worker's answers overtake each other by less than this on its clock, in milliseconds. A clock that has fallen by
/// more is that of a worker that has started again.
const CLOCK_BACK_MS: u64 = 500;

/// Time before the next list while ends wait to be settled, in milliseconds: they would make the
/// worker answer at once. It is about the time of a commit.
const UNSETTLED_WAIT_MS: Span = 60;

impl Core {
    /// The worker answered a call that was made with this fencing token, or did not.
    pub fn answer(
        &mut self,
        now: Millis,
        incarnation: &str,
        token: u64,
        list_id: u64,
        call: &Call,
        answer: Answer,
    ) {
        if answer.reply == Reply::Refused(Refusal::Fenced) {
            // Another has called with a higher one; calls with this one are refused for good.
            self.fenced = self.fenced.max(token);
        }
        if self.incarnation() != Some(incarnation) {
            return self.claim_answer(now, incarnation, list_id, answer);
        }
        match answer.reply {
            Reply::OtherLife => return self.other_worker(now),
            Reply::Restarted => return self.new_life(now, ""),
            Reply::NotSent if self.has_left(now) => return self.new_life(now, ""),
            _ => {}
        }
        self.note_alive(now, &answer.reply);
        let clock_ms = answer.clock_ms.unwrap_or(0);
        let failed = matches!(answer.reply, Reply::Unknown | Reply::NotSent);
        if failed || (clock_ms > 0 && clock_ms + CLOCK_BACK_MS < self.clock_ms) {
            self.doubt(call);
        }
        self.note_clock(now, clock_ms);
        match call {
            Call::Start { run, .. } => self.start_answer(now, *run, &answer.reply),
            Call::Stop { run } => self.stop_answer(now, *run, &answer.reply),
            Call::List { .. } => self.look_answer(now, list_id, answer),
            Call::Pace { run, percent } => self.pace_answer(*run, *percent, &answer.reply),
        }
    }

    /// The worker lives, or nobody takes calls at its address. A worker that is down is of no use until it is
    /// back: without the second it would be given work until then, all in vain.
    fn note_alive(&mut self, now: Millis, reply: &Reply) {
        match reply {
            Reply::Unknown => {}
            Reply::NotSent => {
                self.news |= !self.refused;
                self.refused = true;
            }
            _ => {
                let due = |at: Millis| self.alive < at && at <= now;
                self.news |= self.refused;
                self.news |= self.runs.values().filter_map(Run::tell_at).any(due);
                self.refused = false;
                self.alive = now;
            }
        }
    }

    /// The worker may be down, or have started again under its id: nothing is started or acknowledged until a list that
    /// is asked for from now on is from the same life.
    fn doubt(&mut self, call: &Call) {
        self.doubted = Some(self.looks);
        // A list that failed is asked for again in any case, less and less often.
        if !matches!(call, Call::List { .. }) && self.checking.is_none() {
            self.checking = Some(self.request_list(0));
        }
    }

    /// A start that is surely not carried out, or was tried often enough, becomes a stop.
    fn start_answer(&mut self, now: Millis, name: RunName, reply: &Reply) {
        let Some(run) = self.runs.get_mut(&name).filter(|run| !run.stops()) else { return };
        run.calling = false;
        let Phase::Starting { tries, .. } = &mut run.phase else { return };
        if *reply == Reply::NotSent {
            run.sent = run.sent.saturating_sub(1);
        }
        match reply {
            Reply::Done => {
                run.phase = Phase::Running;
                run.is_there(now);
            }
            Reply::Unknown | Reply::NotSent | Reply::Refused(Refusal::Unwell)
                if *tries + 1 < START_TRIES =>
            {
                *tries += 1;
                run.due = now + wait_again_ms(&mut run.fails);
            }
            // An earlier call without an answer may still be carried out, so it is stopped first.
            _ => run.stop(now),
        }
    }

    /// A confirmed stop is followed by a list, which tells what there was to stop.
    fn stop_answer(&mut self, now: Millis, name: RunName, reply: &Reply) {
        let looks = self.looks;
        let Some(run) = self.runs.get_mut(&name) else { return };
        run.calling = false;
        if run.phase != Phase::Stopping {
            return;
        }
        if *reply == Reply::Done {
            run.phase = Phase::Stopped { list_id: looks };
            self.request_list(0);
        } else {
            run.due = now + wait_again_ms(&mut run.fails);
        }
    }

    fn pace_answer(&mut self, name: RunName, percent: u32, reply: &Reply) {
        let Some(run) = self.runs.get_mut(&name).filter(|run| !run.stops()) else { return };
        run.calling = false;
        if *reply == Reply::Done {
            run.pace = Some(percent);
        }
    }

    /// The worker told its clock. Control counts leases by it, so it goes on only while lists are read:
    /// runs of which nothing can be read any more are given up.
    pub(super) fn note_clock(&mut self, now: Millis, clock_ms: u64) {
        if now.since(self.listed) < UNREAD_MS {
            self.read_clock(now, clock_ms);
        }
    }

    fn read_clock(&mut self, now: Millis, clock_ms: u64) {
        if clock_ms > self.clock_ms {
            self.clock_ms = clock_ms;
            self.clocked = now;
        }
    }

    pub(super) fn look_answer(&mut self, now: Millis, list_id: u64, answer: Answer) {
        if self.looking == Some(list_id) {
            self.looking = None;
        }
        if self.checking == Some(list_id) {
            self.checking = None;
        }
        let acknowledged = self.acknowledging.filter(|(carrier, _)| *carrier == list_id);
        if acknowledged.is_some() {
            self.acknowledging = None;
        }
        let lives = !matches!(answer.reply, Reply::Unknown | Reply::NotSent);
        for run in self.runs.values_mut().filter(|run| lives && run.awaits == Some(list_id)) {
            run.awaits = None;
            run.due = now;
        }
        let Reply::Listed { runs, ends } = answer.reply else {
            self.look_due = now + wait_again_ms(&mut self.look_fails);
            return;
        };
        self.read_clock(now, answer.clock_ms.unwrap_or(0));
        self.look_fails = 0;
        self.listed = now;
        self.answered = true;
        self.doubted = self.doubted.filter(|doubted| list_id <= *doubted);
        self.acknowledged = acknowledged.map_or(self.acknowledged, |(_, committed)| committed);
        for end in ends {
            if end.number <= self.committed {
                self.note_repeated(&end);
            } else if !self.ends.contains_key(&end.number) {
                self.runs.remove(&end.run);
                self.ends.insert(end.number, end);
                self.news = true;
            }
        }
        let listed: BTreeSet<RunName> = runs.iter().map(|row| row.run).collect();
        self.take_rows(now, list_id, runs);
        self.find_unstarted(list_id, &listed);
        self.drop_vanished(list_id);
        self.settle_doubts();
        self.pace(now);
        let quiet = self.ends.is_empty() && self.committed == self.acknowledged;
        let wait = if quiet { 0 } else { UNSETTLED_WAIT_MS };
        self.look_due = now + wait;
    }

    /// Lists overlap, so settled ends come again; the run of such an end is known no more.
    fn note_repeated(&mut self, end: &EndRow) {
        let Some(incarnation) = self.incarnation().filter(|_| self.runs.contains_key(&end.run))
        else {
            return;
        };
        let (incarnation, run, number) = (incarnation.to_owned(), end.run, end.number);
        let committed = self.committed;
        let observation = Observation::EndRepeated { incarnation, run, number, committed };
        self.outputs.push(Output::Observed(observation));
    }

    /// A list may be older than an answer to a start, so it only adds. A run that is not known is
    /// told at once: nobody may want it any more, and only control can tell. (The next report would
    /// come up to 0.9 s later.)
    fn take_rows(&mut self, now: Millis, list_id: u64, rows: Vec<RunRow>) {
        for row in rows {
            let name = row.run;
            if self.ends.values().any(|end| end.run == name) {
                continue;
            }
            if !self.runs.contains_key(&name) {
                // A start that was given up may have been carried out late.
                self.unstarted.remove(&name);
                self.news = true;
            }
            let run = self.runs.entry(name).or_insert_with(|| {
                // Started through a former life of this agent, which may have slowed it down.
                Run { pace: None, ..Run::new(name, Phase::Running, None, now) }
            });
            match run.phase {
                Phase::Starting { .. } => run.phase = Phase::Running,
                // It still stops, or it was started after its stop: the stop is called again.
                Phase::Stopped { list_id: before } if before < list_id => {
                    run.phase = Phase::Stopping;
                    run.due = now + GOES_ON_MS;
                }
                _ => {}
            }
            run.seen = Some(self.looks);
            run.is_there(now);
            run.row = row;
        }
    }

    /// A run that was listed once, and that a list asked for since lacks, has ended; its end is settled
    /// if none is left to settle. A late list brings such a run back, and it would be reported for
    /// ever.
    fn drop_vanished(&mut self, list_id: u64) {
        if !self.ends.is_empty() {
            return;
        }
        let vanished = |_: &RunName, run: &mut Run| run.seen.is_some_and(|before| before < list_id);
        let vanished: Vec<RunName> =
            self.runs.extract_if(.., vanished).map(|(run, _)| run).collect();
        let committed = self.committed;
        for run in vanished {
            let incarnation = self.incarnation().unwrap_or_default().to_owned();
            let observation = Observation::RunVanished { incarnation, run, committed };
            self.outputs.push(Output::Observed(observation));
        }
    }

    /// Runs whose stop was confirmed before this list was asked for, and that neither run nor have
    /// ended, never started.
    fn find_unstarted(&mut self, list_id: u64, listed: &BTreeSet<RunName>) {
        let never = |(name, run): &(&RunName, &Run)| {
            let stopped =
                matches!(run.phase, Phase::Stopped { list_id: before } if before < list_id);
            stopped && run.seen.is_none() && !listed.contains(name)
        };
        let found: Vec<RunName> = self.runs.iter().filter(never).map(|(name, _)| *name).collect();
        for name in found {
            self.runs.remove(&name);
            self.unstarted.insert(name);
            self.news = true;
        }
    }
}

/// How long to wait after one more failed call, in milliseconds.
fn wait_again_ms(fails: &mut u32) -> Span {
    let wait = AGAIN_MS << (*fails).min(MOST_DOUBLINGS);
    *fails += 1;
    wait
}
