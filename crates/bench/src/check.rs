//! Checks of the guarantees: compares what callers learned about their
//! requests with the runs that upstreams recorded.

use std::collections::{BTreeMap, HashMap};

use lagoondyke_standin::upstream::{Outcome, Run};

use crate::load::{CallOutcome, Sample};

/// The recorded runs of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Name of the upstream.
    pub name: String,
    /// Its runs, in the order of their starts.
    pub runs: Vec<Run>,
    /// When its processes were killed or crashed, in milliseconds of
    /// `CLOCK_MONOTONIC`. A run without a recorded end ended at the first of
    /// these after its start.
    pub kill_times: Vec<u64>,
}

impl Record {
    /// When `run` ended, in milliseconds of `CLOCK_MONOTONIC`; `u64::MAX`
    /// if it has not.
    fn end(&self, run: &Run) -> u64 {
        let later_kills =
            self.kill_times.iter().copied().filter(|&k| k >= run.start);
        run.end.unwrap_or_else(|| later_kills.min().unwrap_or(u64::MAX))
    }
}

/// Number of violations of each guarantee.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Violations {
    /// Keys with two owners: runs at two upstreams overlapped, or one
    /// upstream ran the key with an older fence after another ran it with a
    /// newer fence of the same shard.
    pub owner_conflicts: usize,
    /// Requests that ran more than once although they must not.
    pub duplicate_runs: usize,
    /// Requests that were answered although no upstream completed a run.
    pub missing_runs: usize,
    /// Requests that were refused as not-run although they ran.
    pub false_refusals: usize,
}

/// Counts violations of the guarantees. Request `n` has the id
/// `<id_prefix>-<n>`; runs with other ids are ignored. Conflicts of owners
/// are looked for only if `keyed`, as other services have no owners.
#[must_use]
pub fn find_violations(
    records: &[Record],
    samples: &[Sample],
    id_prefix: &str,
    keyed: bool,
) -> Violations {
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in records.iter().flat_map(|r| &r.runs) {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut violations = Violations::default();
    for sample in samples {
        let id = format!("{id_prefix}-{}", sample.number);
        let runs = by_id.get(&*id).map_or(&[][..], |r| r);
        let completed = runs.iter().any(|r| r.outcome == Outcome::Completed);
        violations.duplicate_runs +=
            usize::from(sample.is_post && runs.len() > 1);
        violations.missing_runs +=
            usize::from(sample.outcome == CallOutcome::Answered && !completed);
        violations.false_refusals += usize::from(
            sample.outcome == CallOutcome::NotRun && !runs.is_empty(),
        );
    }
    if keyed {
        violations.owner_conflicts =
            count_conflicts(records, samples, id_prefix);
    }
    violations
}

/// A run, the index of its upstream, and its end even if the upstream was
/// killed during it.
#[derive(Clone, Copy, Debug)]
struct PlacedRun<'a> {
    upstream: usize,
    run: &'a Run,
    end: u64,
}

/// Number of keys that had two owners.
fn count_conflicts(
    records: &[Record],
    samples: &[Sample],
    id_prefix: &str,
) -> usize {
    let mut keys: HashMap<String, u32> = HashMap::new();
    for sample in samples {
        keys.insert(format!("{id_prefix}-{}", sample.number), sample.key);
    }
    let mut by_key: BTreeMap<u32, Vec<PlacedRun<'_>>> = BTreeMap::new();
    for (upstream, record) in records.iter().enumerate() {
        for run in &record.runs {
            let Some(&key) = keys.get(&run.id) else { continue };
            let end = record.end(run);
            by_key.entry(key).or_default().push(PlacedRun {
                upstream,
                run,
                end,
            });
        }
    }
    by_key.into_values().filter_map(|mut r| find_conflict(&mut r)).count()
}

/// Returns `Some` if two runs of one key show that it had two owners.
fn find_conflict(runs: &mut [PlacedRun<'_>]) -> Option<()> {
    runs.sort_by_key(|p| (p.run.start, p.end));
    // Of the runs seen so far: the latest end at each upstream, and for each
    // shard the newest fence with its upstream.
    let mut ends: BTreeMap<usize, u64> = BTreeMap::new();
    let mut fences: BTreeMap<u16, ((u32, u32), usize)> = BTreeMap::new();
    for p in runs.iter() {
        for (&upstream, &end) in &ends {
            if upstream != p.upstream && end > p.run.start {
                return Some(());
            }
        }
        let end = ends.entry(p.upstream).or_default();
        *end = p.end.max(*end);
        let Some((shard, fence)) = shard_fence(p.run) else { continue };
        let newest = fences.entry(shard).or_insert((fence, p.upstream));
        if fence < newest.0 && newest.1 != p.upstream {
            return Some(());
        }
        if fence >= newest.0 {
            *newest = (fence, p.upstream);
        }
    }
    None
}

/// The shard and the fence of a run, if it has both.
fn shard_fence(run: &Run) -> Option<(u16, (u32, u32))> {
    let (epoch, sequence) = run.fence.split_once('.')?;
    let fence = (epoch.parse().ok()?, sequence.parse().ok()?);
    Some((run.shard?, fence))
}

/// Longest time for which a key was not served: from the intended send time
/// of a request for the key to the next answer to any request for it, or to
/// the end of the load if there was none.
#[must_use]
pub fn longest_unserved_ms(samples: &[Sample]) -> f64 {
    let mut answers: HashMap<u32, Vec<u64>> = HashMap::new();
    let mut end = 0;
    for sample in samples {
        end = end.max(sample.done_us);
        if sample.outcome == CallOutcome::Answered {
            answers.entry(sample.key).or_default().push(sample.done_us);
        }
    }
    for times in answers.values_mut() {
        times.sort_unstable();
    }
    let mut longest = 0;
    for sample in samples {
        let times = answers.get(&sample.key).map_or(&[][..], |t| t);
        let next = times.partition_point(|&t| t < sample.due_us);
        let next = times.get(next).copied().unwrap_or(end);
        longest = longest.max(next.saturating_sub(sample.due_us));
    }
    longest as f64 / 1_000.0
}

/// Start of the last run among `records` between `from` and `until`, both
/// included, relative to `from`; 0 if there is none. Times are in
/// milliseconds of `CLOCK_MONOTONIC`.
#[must_use]
pub fn last_start_ms<'a>(
    records: impl IntoIterator<Item = &'a Record>,
    from: u64,
    until: u64,
) -> u64 {
    let mut last = from;
    for run in records.into_iter().flat_map(|r| &r.runs) {
        if run.start <= until {
            last = last.max(run.start);
        }
    }
    last - from
}

/// Largest number of runs at one upstream divided by the mean over all
/// upstreams; 0 without runs.
#[must_use]
pub fn imbalance(records: &[Record]) -> f64 {
    let counts: Vec<_> = records.iter().map(|r| r.runs.len()).collect();
    let max = counts.iter().max().copied().unwrap_or(0) as f64;
    let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
    if mean > 0.0 { max / mean } else { 0.0 }
}
