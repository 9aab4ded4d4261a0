//! Probability that a task crashes its workers, derived from the losses that it was involved in.
//!
//! The losses are explained together: an explanation names one cause for each, a task on the worker
//! or a spontaneous crash. It is the more likely, the fewer tasks it takes to crash workers and the
//! better the ages at which they do so agree. The probability of a task is the share of the
//! explanations under which it crashes its workers. So a task that crashes its workers late explains
//! a loss at the age of its earlier ones better than a task that happens to start at that moment,
//! and a loss that has another cause no longer counts against the tasks next to it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pond_proto::Span;
use pond_proto::job::TaskName;

use super::hypothesis::{Likelihood, Weights};
use crate::evidence::{Exposure, Loss};

/// Factor by which the odds of the judged job are lower than those of the jobs next to it, which are
/// assumed to crash workers more readily: in doubt a loss has another cause.
const PRESUMPTION: f64 = 1.0 / 20.0;

/// Prior of the rate of spontaneous crashes: one crash in this much worker time, in milliseconds.
const PRIOR_EXPOSURE_MS: f64 = 60_000.0;

/// Maximum number of sets of losses that a task is considered to have caused; the most likely are
/// kept. It limits the time of a judgement.
const MAX_ATTRIBUTIONS: usize = 64;

/// Maximum number of partial sums over the explanations; the most likely are kept. It limits the
/// time of a judgement.
const MAX_SUMS: usize = 512;

/// Share of the likeliest partial sum below which another one is left out.
const NEGLIGIBLE: f64 = 1e-9;

/// Minimum rate of spontaneous crashes, per millisecond.
const MIN_PER_MS: f64 = 1e-12;

/// Rate of worker losses that no start explains, as seen by one leader.
#[derive(Debug, Default)]
pub struct Rate {
    /// Number of losses that no start explains.
    losses: u32,
}

impl Rate {
    /// Records the loss of a worker on which nothing had just started.
    pub fn record(&mut self) {
        self.losses += 1;
    }

    /// Returns the rate of spontaneous crashes of a worker per millisecond, given the number of
    /// workers and for how long they were observed, in milliseconds.
    pub fn per_ms(&self, workers: usize, observed_ms: Span) -> f64 {
        let exposure_ms = workers as f64 * observed_ms as f64 + PRIOR_EXPOSURE_MS;
        f64::from(self.losses + 1) / exposure_ms
    }
}

/// What a suspect was observed to do at a loss.
type Observation = (usize, Likelihood);

/// What is known of a task: for how long workers have survived runs of it since, and by the index
/// of each loss, the time for which the worker is known to have survived it and the additional time
/// for which it may have done so, all in milliseconds.
type History = (Span, Vec<(usize, Span, Span)>);

/// Tasks of one job with the same history: the same losses at the same ages.
struct Suspect {
    job: u64,
    /// The history of these tasks.
    history: History,
    /// The histories of all tasks of the job. Jobs with the same histories are equally probable.
    of_job: Rc<BTreeSet<History>>,
    prior: Weights,
    /// By the index of the loss, in ascending order.
    observations: Vec<Observation>,
}

impl Suspect {
    /// Returns by what suspects are ordered. Only jobs that are equally probable have equal keys.
    fn key(&self) -> (&History, &BTreeSet<History>) {
        (&self.history, &self.of_job)
    }

    /// Returns the losses that the suspect was involved in.
    fn losses(&self) -> Set {
        self.observations.iter().fold(EMPTY, |set, (loss, _)| set | 1 << loss)
    }

    /// Returns the rate at which a suspect of a single loss caused it, per millisecond.
    fn single_per_ms(&self) -> f64 {
        let crash = |(_, likelihood): &Observation| self.prior.times(&likelihood.crash).sum();
        self.observations.iter().map(crash).sum::<f64>() / self.uninvolved().sum()
    }

    /// Returns the weights of the hypotheses if the suspect caused none of the losses.
    fn uninvolved(&self) -> Weights {
        let survive =
            |weights: Weights, (_, likelihood): &Observation| weights.times(&likelihood.survival);
        self.observations.iter().fold(self.prior, survive)
    }

    /// Returns the sets of losses that the suspect may have caused.
    fn attributions(&self, default_per_ms: &[f64]) -> Attributions {
        let mut partial = vec![(EMPTY, self.prior, 1.0)];
        let mut omitted = self.prior.scaled(0.0);
        for (loss, likelihood) in &self.observations {
            let caused = |weights: Weights| {
                weights.times(&likelihood.crash).scaled(1.0 / default_per_ms[*loss])
            };
            let survived = |weights: Weights| weights.times(&likelihood.survival);
            let weigh = |set: Set, weights: Weights| (set, weights, weights.sum());
            let extend = |(set, weights, _): (Set, Weights, f64)| {
                [weigh(set, survived(weights)), weigh(set | 1 << loss, caused(weights))]
            };
            omitted = survived(omitted).plus(&caused(omitted));
            partial = partial.into_iter().flat_map(extend).collect();
            partial.sort_by(|(_, _, a), (_, _, b)| b.total_cmp(a));
            let excess = partial.split_off(partial.len().min(MAX_ATTRIBUTIONS));
            omitted = excess.iter().fold(omitted, |sum, (_, weights, _)| sum.plus(weights));
        }
        let uninvolved = self.uninvolved().sum();
        let involved = partial.into_iter().filter(|(set, ..)| *set != EMPTY);
        Attributions {
            likely: involved.map(|(set, _, sum)| (set, sum / uninvolved)).collect(),
            omitted: omitted.total() / uninvolved,
        }
    }
}

/// A set of losses, a bit each by index.
type Set = u32;

const EMPTY: Set = 0;

/// Sets of losses that a suspect may have caused, with the odds of each against the default causes
/// of these losses.
struct Attributions {
    /// The likeliest first.
    likely: Vec<(Set, f64)>,
    /// Sum of the odds of the sets that were left out.
    omitted: f64,
}

/// Sum of the weights of the explanations that attribute the same losses to tasks, relative to the
/// weight of the one in which all losses have their default causes.
struct Sum {
    explained: Set,
    weight: f64,
    /// The part of the weight under which no task of each judged job crashes its workers.
    innocent: Vec<f64>,
}

/// What several losses, of which the newest is judged, reveal about the jobs on the last worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Posterior {
    /// Probability of each job, from 0 to 1, that one of its tasks crashes its workers.
    pub probabilities: BTreeMap<u64, f64>,
    /// Number of losses that were explained together.
    pub losses: usize,
    /// Largest number of partial sums over the explanations.
    pub sums: usize,
    /// Share of the explanations that was left out, from 0 to 1, as an estimate.
    pub omitted: f64,
}

impl Posterior {
    /// Explains losses, which are ordered by time. `outlived_ms` returns for how long workers have
    /// survived runs of a task since, in milliseconds.
    ///
    /// A suspect of a single loss only adds to the rate of its default cause. The other suspects are
    /// added one by one to sums over the explanations by the losses explained so far, so
    /// explanations that differ only in which of several suspects caused a loss are counted together.
    pub fn new(losses: &[&Loss], outlived_ms: impl Fn(TaskName) -> Span) -> Posterior {
        let Some((newest, earlier)) = losses.split_last() else { return Posterior::default() };
        let jobs: BTreeSet<u64> =
            newest.exposures.iter().map(|exposure| exposure.task.job).collect();
        let mut suspects = suspects(losses, outlived_ms);
        // The order decides which explanations are left out, so it must not depend on job ids.
        suspects.sort_by(|a, b| a.key().cmp(&b.key()));
        let of_job = |job: u64| suspects.iter().filter(move |suspect| suspect.job == job);
        let is_single = |suspect: &Suspect| {
            suspect.observations.len() == 1
                && (!jobs.contains(&suspect.job) || of_job(suspect.job).count() == 1)
        };
        let (single, mut several): (Vec<&Suspect>, Vec<&Suspect>) =
            suspects.iter().partition(|suspect| is_single(suspect));
        let default_per_ms = default_per_ms(losses, &single);
        several.sort_by_key(|suspect| suspect.observations.first().map(|(loss, _)| *loss));
        let newest_set = 1 << earlier.len();
        let judged = several.iter().map(|suspect| suspect.job).filter(|job| jobs.contains(job));
        let mut sums = Sums::new(judged.collect());
        for (index, suspect) in several.iter().enumerate() {
            let later = several[index + 1..].iter().map(|suspect| suspect.losses());
            let open = later.fold(newest_set, |sets, set| sets | set);
            sums.add(suspect, &default_per_ms, open);
        }
        let innocence = |job: u64| {
            sums.innocence(job).unwrap_or_else(|| {
                let caused_per_ms: f64 = of_job(job).map(Suspect::single_per_ms).sum();
                let innocence: f64 =
                    of_job(job).map(|suspect| suspect.uninvolved().innocence()).product();
                let caused = sums.unexplained(newest_set) * caused_per_ms;
                innocence * (1.0 - caused / default_per_ms[earlier.len()])
            })
        };
        // Jobs with the same histories differ only by the explanations that are left out.
        let alike = |job: u64| {
            let histories = of_job(job).next().map(|suspect| &suspect.of_job);
            let same = jobs.iter().filter(move |other| {
                of_job(**other).next().map(|suspect| &suspect.of_job) == histories
            });
            same.copied().collect::<Vec<u64>>()
        };
        let judge = |job: u64| {
            let alike = alike(job);
            let innocences = alike.iter().map(|job| innocence(*job));
            let innocence = (innocences.sum::<f64>() / alike.len() as f64).clamp(0.0, 1.0);
            let guilt = (1.0 - innocence) * PRESUMPTION;
            guilt / (guilt + innocence)
        };
        Posterior {
            probabilities: jobs.iter().map(|job| (*job, judge(*job))).collect(),
            losses: losses.len(),
            sums: sums.largest,
            omitted: sums.omitted / (sums.total() + sums.omitted),
        }
    }
}

/// Returns the rate at which each loss had its default cause, per millisecond: a spontaneous crash
/// or a suspect of this loss only.
fn default_per_ms(losses: &[&Loss], single: &[&Suspect]) -> Vec<f64> {
    let mut rates: Vec<f64> =
        losses.iter().map(|loss| loss.spontaneous_per_ms.max(MIN_PER_MS)).collect();
    for suspect in single {
        for (loss, _) in &suspect.observations {
            rates[*loss] += suspect.single_per_ms();
        }
    }
    rates
}

/// Sums over all explanations by the losses that suspects caused.
struct Sums {
    /// The jobs whose innocence is followed, which are on the last worker.
    judged: Vec<u64>,
    kept: Vec<Sum>,
    /// Largest number of sums that were kept.
    largest: usize,
    /// Weight of the explanations that were left out, which is assumed to grow like that of the
    /// others as suspects are added.
    omitted: f64,
}

impl Sums {
    /// Creates the sums over explanations by default causes alone.
    fn new(judged: BTreeSet<u64>) -> Sums {
        let innocent = vec![1.0; judged.len()];
        let kept = vec![Sum { explained: EMPTY, weight: 1.0, innocent }];
        Sums { judged: judged.into_iter().collect(), kept, largest: 1, omitted: 0.0 }
    }

    /// Adds a suspect: it may have caused any losses that are not explained yet. Only losses in
    /// `open` are distinguished further.
    fn add(&mut self, suspect: &Suspect, default_per_ms: &[f64], open: Set) {
        let attributions = suspect.attributions(default_per_ms);
        let judged = self.judged.iter().position(|job| *job == suspect.job);
        let innocence = suspect.uninvolved().innocence();
        let before = self.total();
        let least = self.kept.iter().map(|sum| sum.weight).fold(0.0, f64::max) * NEGLIGIBLE;
        let mut extended: BTreeMap<Set, Sum> = BTreeMap::new();
        let mut omitted = 0.0;
        for (rank, sum) in self.kept.iter().enumerate() {
            let innocence = judged.map(|index| (index, innocence));
            record(&mut extended, sum, sum.explained & open, 1.0, innocence);
            omitted += sum.weight * attributions.omitted;
            let innocence = judged.map(|index| (index, 0.0));
            let unexplained =
                |(_, (caused, _)): &(usize, &(Set, f64))| caused & sum.explained == EMPTY;
            for (index, (caused, odds)) in
                attributions.likely.iter().enumerate().filter(unexplained)
            {
                // Unlikely combinations of unlikely sums are left out to save time.
                match index < MAX_SUMS / (rank + 1) && sum.weight * odds >= least {
                    true => {
                        let explained = (sum.explained | caused) & open;
                        record(&mut extended, sum, explained, *odds, innocence);
                    }
                    false => omitted += sum.weight * odds,
                }
            }
        }
        self.kept = extended.into_values().collect();
        self.kept.sort_by(|a, b| b.weight.total_cmp(&a.weight));
        let excess = self.kept.split_off(self.kept.len().min(MAX_SUMS));
        omitted += excess.iter().map(|sum| sum.weight).sum::<f64>();
        self.largest = self.largest.max(self.kept.len());
        self.omitted = self.omitted * self.total() / before + omitted;
    }

    /// Returns the weight of the explanations that are kept.
    fn total(&self) -> f64 {
        self.kept.iter().map(|sum| sum.weight).sum()
    }

    /// Returns the probability that no task of a job crashes its workers; `None` if the innocence of
    /// the job is not followed.
    fn innocence(&self, job: u64) -> Option<f64> {
        let index = self.judged.iter().position(|other| *other == job)?;
        let innocent: f64 = self.kept.iter().map(|sum| sum.innocent[index]).sum();
        Some(innocent / self.total())
    }

    /// Returns the probability that these losses had their default causes.
    fn unexplained(&self, losses: Set) -> f64 {
        let unexplained = self.kept.iter().filter(|sum| sum.explained & losses == EMPTY);
        unexplained.map(|sum| sum.weight).sum::<f64>() / self.total()
    }
}

/// Adds a sum, multiplied by the odds of an attribution, to that over explanations of the losses in
/// `explained`. `innocence` holds the index of the job that the losses are attributed to, if it is
/// judged, and the probability that its suspect is innocent.
fn record(
    sums: &mut BTreeMap<Set, Sum>,
    sum: &Sum,
    explained: Set,
    odds: f64,
    innocence: Option<(usize, f64)>,
) {
    let none = || Sum { explained, weight: 0.0, innocent: vec![0.0; sum.innocent.len()] };
    let to = sums.entry(explained).or_insert_with(none);
    to.weight += sum.weight * odds;
    for (index, (to, weight)) in to.innocent.iter_mut().zip(&sum.innocent).enumerate() {
        let innocence = innocence.filter(|(judged, _)| *judged == index);
        *to += weight * odds * innocence.map_or(1.0, |(_, innocence)| innocence);
    }
}

/// Groups the tasks of the losses into suspects.
fn suspects(losses: &[&Loss], outlived_ms: impl Fn(TaskName) -> Span) -> Vec<Suspect> {
    let mut exposures: BTreeMap<TaskName, Vec<(usize, &Exposure)>> = BTreeMap::new();
    for (index, loss) in losses.iter().enumerate() {
        for exposure in &loss.exposures {
            exposures.entry(exposure.task).or_default().push((index, exposure));
        }
    }
    let mut histories: BTreeMap<u64, BTreeMap<History, Vec<Observation>>> = BTreeMap::new();
    for (task, exposures) in exposures {
        let history = exposures
            .iter()
            .map(|(loss, exposure)| (*loss, exposure.survived_ms, exposure.unobserved_ms));
        let key = (outlived_ms(task), history.collect());
        let observe = |(loss, exposure): &(usize, &Exposure)| (*loss, Likelihood::new(exposure));
        let of_job = histories.entry(task.job).or_default();
        of_job.entry(key).or_insert_with(|| exposures.iter().map(observe).collect());
    }
    let mut suspects = Vec::new();
    for (job, histories) in histories {
        let of_job: Rc<BTreeSet<History>> = Rc::new(histories.keys().cloned().collect());
        suspects.extend(histories.into_iter().map(|(history, observations)| Suspect {
            job,
            prior: Weights::new(of_job.len(), history.0),
            of_job: Rc::clone(&of_job),
            history,
            observations,
        }));
    }
    suspects
}
