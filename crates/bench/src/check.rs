//! Comparison of what callers were told with what upstreams ran.

use std::collections::{BTreeMap, HashMap};

use lagoondyke_standin::upstream::{Outcome, Run};

use crate::load::{Sample, Told};

/// The runs of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The upstream's name.
    pub name: String,
    /// Its runs.
    pub runs: Vec<Run>,
    /// When its processes were killed, in milliseconds of
    /// `CLOCK_MONOTONIC`: runs without an end ended then.
    pub kills: Vec<u64>,
}

impl Record {
    /// When a run ended, `u64::MAX` if it still runs.
    fn end(&self, run: &Run) -> u64 {
        let killed = self.kills.iter().copied().filter(|&k| k >= run.start);
        run.end.unwrap_or_else(|| killed.min().unwrap_or(u64::MAX))
    }
}

/// What contradicts the guarantees.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Keys that ran at two upstreams at once, or at one with an older
    /// fence after another ran the shard with a newer one.
    pub owners: usize,
    /// Requests that must not run twice and did.
    pub doubles: usize,
    /// Answered requests that no upstream completed.
    pub missing: usize,
    /// Requests refused as not-run that ran.
    pub untrue: usize,
}

/// Finds what contradicts the guarantees. Request `n` has the id
/// `<tag>-<n>`; runs of other ids are ignored. Two owners are looked for
/// only if `keyed`.
#[must_use]
pub fn faults(
    records: &[Record],
    samples: &[Sample],
    tag: &str,
    keyed: bool,
) -> Faults {
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in records.iter().flat_map(|r| &r.runs) {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut faults = Faults::default();
    for sample in samples {
        let id = format!("{tag}-{}", sample.n);
        let runs = by_id.get(&*id).map_or(&[][..], |r| r);
        let completed = runs.iter().any(|r| r.outcome == Outcome::Completed);
        faults.doubles += usize::from(sample.post && runs.len() > 1);
        faults.missing +=
            usize::from(sample.told == Told::Answered && !completed);
        faults.untrue +=
            usize::from(sample.told == Told::NotRun && !runs.is_empty());
    }
    if keyed {
        faults.owners = two_owners(records, samples, tag);
    }
    faults
}

/// A run and where it ran.
#[derive(Clone, Copy, Debug)]
struct Placed<'a> {
    upstream: usize,
    run: &'a Run,
    end: u64,
}

fn two_owners(records: &[Record], samples: &[Sample], tag: &str) -> usize {
    let mut keys: HashMap<String, u32> = HashMap::new();
    for sample in samples {
        keys.insert(format!("{tag}-{}", sample.n), sample.key);
    }
    let mut by_key: BTreeMap<u32, Vec<Placed<'_>>> = BTreeMap::new();
    for (upstream, record) in records.iter().enumerate() {
        for run in &record.runs {
            let Some(&key) = keys.get(&run.id) else { continue };
            let end = record.end(run);
            by_key.entry(key).or_default().push(Placed { upstream, run, end });
        }
    }
    by_key.into_values().filter_map(|mut r| overlap(&mut r)).count()
}

/// Some if two of one key's runs contradict a single owner.
fn overlap(runs: &mut [Placed<'_>]) -> Option<()> {
    runs.sort_by_key(|p| (p.run.start, p.end));
    // Of the runs so far, the latest end at each upstream and the newest
    // fence of each shard, with its upstream.
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
        let Some((shard, fence)) = fenced(p.run) else { continue };
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

fn fenced(run: &Run) -> Option<(u16, (u32, u32))> {
    let (epoch, sequence) = run.fence.split_once('.')?;
    let fence = (epoch.parse().ok()?, sequence.parse().ok()?);
    Some((run.shard?, fence))
}

/// Longest time for which a key was not served, in milliseconds: from the
/// intended time of a request for the key to the key's next answer, or to
/// the end of the load if there was none.
#[must_use]
pub fn longest_unserved(samples: &[Sample]) -> f64 {
    let mut answers: HashMap<u32, Vec<u64>> = HashMap::new();
    let mut end = 0;
    for sample in samples {
        end = end.max(sample.done);
        if sample.told == Told::Answered {
            answers.entry(sample.key).or_default().push(sample.done);
        }
    }
    for times in answers.values_mut() {
        times.sort_unstable();
    }
    let mut longest = 0;
    for sample in samples {
        let times = answers.get(&sample.key).map_or(&[][..], |t| t);
        let next = times.partition_point(|&t| t < sample.due);
        let next = times.get(next).copied().unwrap_or(end);
        longest = longest.max(next.saturating_sub(sample.due));
    }
    longest as f64 / 1_000.0
}

/// Start of the last run among `records` at or after `from`, in
/// milliseconds after it; 0 if there is none.
#[must_use]
pub fn last_start<'a>(
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

/// Largest number of runs at one upstream divided by the mean.
#[must_use]
pub fn imbalance(records: &[Record]) -> f64 {
    let counts: Vec<_> = records.iter().map(|r| r.runs.len()).collect();
    let most = counts.iter().max().copied().unwrap_or(0) as f64;
    let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
    if mean > 0.0 { most / mean } else { 0.0 }
}
