//! Adaptive limit on the requests that run at an upstream at once.
//!
//! [`ConcurrencyLimit`] is derived from latencies and errors as the node
//! beside the upstream observes them. It starts at 1 and grows while it is
//! fully used and latency stays near its baseline. Requests are evaluated in
//! windows:
//! - Mean latency above twice the baseline decreases the limit. If the
//!   decrease does not bring latency down, concurrency is not the cause (it
//!   may be a noisy neighbour), and the latency is accepted as the new
//!   baseline.
//! - Mean latency far above the long-term floor means that the upstream turned
//!   cold, or something worse: the limit falls to 1 and grows slowly.
//! - Errors decrease the limit under the same condition; requests that the
//!   upstream sheds decrease it, and a crash sets it to 1.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::request::concurrency::{ConcurrencyLimit, Sample};
//!
//! let mut limit = ConcurrencyLimit::new(12, Millis(0));
//! assert_eq!(limit.value(), 1, "an upstream starts cold");
//! for ms in (0..400).step_by(5) {
//!     limit.mark_saturated();
//!     limit.record(Millis(ms), Sample::Answered, Millis(ms + 5));
//! }
//! assert!(limit.value() > 1);
//! limit.record_crash(Millis(405));
//! assert_eq!(limit.value(), 1);
//! ```

use crate::clock::Millis;

/// Fewest requests in a window; with fewer the mean is too noisy.
const MIN_WINDOW_REQUEST_COUNT: u32 = 8;

/// Shortest window while the upstream is warm.
const MIN_WARM_WINDOW_MS: u64 = 25;

/// Shortest window while the upstream is cold. With one step per window, 12
/// slots are reached in 1.1 s at the earliest.
const MIN_COLD_WINDOW_MS: u64 = 100;

/// Factor by which the limit grows per window while the upstream is warm.
const WARM_GROWTH_RATIO: f64 = 1.5;

/// Factor by which a decrease multiplies the limit.
const DECREASE_RATIO: f64 = 0.7;

/// Mean latency, relative to the baseline, above which the limit is decreased.
const OVERLOAD_LATENCY_RATIO: f64 = 2.0;

/// Latency, relative to the floor, above which the upstream is considered
/// cold.
const COLD_LATENCY_RATIO: f64 = 5.0;

/// Added to latency thresholds: the clock's resolution and the scheduling of
/// the VM show at this scale.
const LATENCY_SLACK_MS: f64 = 2.0;

/// Ratio of errors in a window, beyond the accepted ratio, above which the
/// limit is decreased.
const OVERLOAD_ERROR_RATIO: f64 = 0.1;

/// Ratio of errors above which the limit is always decreased. An upstream that
/// collapsed may fail as many requests after a decrease as before.
const COLLAPSE_ERROR_RATIO: f64 = 0.5;

/// Weight of a window whose mean latency is above the baseline or the floor.
/// The floor follows more slowly.
const BASELINE_RISE_RATIO: f64 = 0.02;
const FLOOR_RISE_RATIO: f64 = 0.001;

/// Weight of a window that is below the baseline or the floor, or below the
/// accepted ratio of errors.
const BASELINE_FALL_RATIO: f64 = 0.5;

/// How a request at the upstream ended, as input of the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// The upstream answered.
    Answered,
    /// The upstream answered that it sheds load (429 or 503).
    Shed,
    /// The upstream answered with another 5xx status, or gave no answer.
    Failed,
    /// This node cancelled the request before it ended.
    Cancelled,
}

/// The concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    value: f64,
    /// The limit has not reached the slots since the last cold start.
    cold: bool,
    /// Latency that is normal at present, in milliseconds; `None` since a cold
    /// start until the first window ends.
    baseline: Option<f64>,
    /// Latency that is normal in the long run, in milliseconds. Learned only
    /// while the upstream is warm.
    floor: Option<f64>,
    /// Recent mean latency, in milliseconds.
    mean: Option<f64>,
    /// Mean latency of the last window, in milliseconds, if that window
    /// decreased the limit.
    prior_latency: Option<f64>,
    /// Ratio of errors that remains despite a decrease, and is accepted.
    accepted_errors: f64,
    /// Ratio of errors of the last window, if they decreased the limit.
    prior_errors: Option<f64>,
    window: Window,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    /// Requests that were dispatched earlier do not count.
    start: Millis,
    answers: u32,
    errors: u32,
    sum: u64,
    saturated: bool,
}

impl Window {
    fn new(start: Millis) -> Self {
        Self { start, answers: 0, errors: 0, sum: 0, saturated: false }
    }
}

impl ConcurrencyLimit {
    /// The limit of an upstream with `slots` slots that starts cold.
    #[must_use]
    pub fn new(slots: u16, now: Millis) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            value: 1.0,
            cold: true,
            baseline: None,
            floor: None,
            mean: None,
            prior_latency: None,
            accepted_errors: 0.0,
            prior_errors: None,
            window: Window::new(now),
        }
    }

    /// Requests that the upstream may run at once: 1 to its slots.
    #[must_use]
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Whether the upstream is considered cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Recent mean latency; `None` before the first answer.
    #[must_use]
    pub fn mean_latency_ms(&self) -> Option<f64> {
        self.mean
    }

    /// Time in which `ahead` requests before a new one are expected to pass
    /// through the upstream.
    #[must_use]
    pub fn expected_wait_ms(&self, ahead: usize) -> u64 {
        let latency = self.mean.unwrap_or(0.0);
        (ahead as f64 * latency / self.value) as u64
    }

    /// Least time that the upstream is expected to take for an answer at
    /// present: half of the baseline, or 0 while that is unknown.
    #[must_use]
    pub fn min_latency_ms(&self) -> u64 {
        self.baseline.map_or(0, |baseline| (baseline * 0.5) as u64)
    }

    /// Notes that as many requests as allowed are at the upstream. Only a
    /// limit that is fully used grows, since nothing else shows that the
    /// upstream can handle more.
    pub fn mark_saturated(&mut self) {
        self.window.saturated = true;
    }

    /// Records the end of a request that was dispatched at `started`.
    pub fn record(&mut self, started: Millis, sample: Sample, now: Millis) {
        if started < self.window.start {
            return;
        }
        let age = now.since(started);
        match sample {
            Sample::Answered => self.record_latency(age),
            Sample::Shed => {
                self.decrease(now);
                return;
            }
            Sample::Failed => self.window.errors += 1,
            Sample::Cancelled => {
                // The answer would have taken at least this long.
                if self.mean.is_some_and(|mean| age as f64 > mean) {
                    self.record_latency(age);
                }
            }
        }
        let window = self.window;
        let shortest =
            if self.cold { MIN_COLD_WINDOW_MS } else { MIN_WARM_WINDOW_MS };
        let needed = MIN_WINDOW_REQUEST_COUNT.max(2 * self.value as u32);
        let enough = window.answers + window.errors >= needed;
        if enough && now.since(window.start) >= shortest {
            self.evaluate_window(now);
        }
    }

    /// Age above which a request at the upstream suggests that the upstream
    /// turned cold; `None` while the upstream is cold or the floor is unknown.
    #[must_use]
    pub fn stall_age_ms(&self) -> Option<u64> {
        let floor = self.floor.filter(|_| !self.cold)?;
        Some((COLD_LATENCY_RATIO * floor + LATENCY_SLACK_MS) as u64)
    }

    /// Reports that `old` of the `running` requests are older than
    /// [`ConcurrencyLimit::stall_age_ms`]. This is checked apart from windows
    /// because a collapsed upstream may answer nothing, so that no window
    /// ends. Returns whether the upstream is considered cold because of this.
    pub fn report_stalled(
        &mut self,
        old: usize,
        running: usize,
        now: Millis,
    ) -> bool {
        let cold = old >= 3 && old * 2 >= running;
        if cold {
            self.restart_cold(now);
        }
        cold
    }

    /// Records a crash of the upstream, which will come back cold.
    pub fn record_crash(&mut self, now: Millis) {
        self.restart_cold(now);
    }

    fn record_latency(&mut self, age: u64) {
        self.window.answers += 1;
        self.window.sum += age;
        let mean = self.mean.get_or_insert(age as f64);
        *mean += (age as f64 - *mean) * 0.1;
    }

    fn restart_cold(&mut self, now: Millis) {
        self.value = 1.0;
        self.cold = true;
        self.baseline = None;
        self.prior_latency = None;
        self.accepted_errors = 0.0;
        self.prior_errors = None;
        self.window = Window::new(now);
    }

    fn decrease(&mut self, now: Millis) {
        self.value = (self.value * DECREASE_RATIO).max(1.0);
        self.window = Window::new(now);
    }

    /// Ends the current window and adjusts the limit.
    fn evaluate_window(&mut self, now: Millis) {
        let window = self.window;
        self.window = Window::new(now);
        if self.evaluate_errors(window, now) || window.answers == 0 {
            return;
        }
        let mean = window.sum as f64 / f64::from(window.answers);
        let is_above =
            |of: f64, times: f64| mean > times * of + LATENCY_SLACK_MS;
        if !self.cold
            && self
                .floor
                .is_some_and(|floor| is_above(floor, COLD_LATENCY_RATIO))
        {
            self.restart_cold(now);
            return;
        }
        let baseline = *self.baseline.get_or_insert(mean);
        let helped =
            self.prior_latency.is_none_or(|before| mean < 0.9 * before);
        if is_above(baseline, OVERLOAD_LATENCY_RATIO) && helped {
            self.prior_latency = Some(mean);
            self.decrease(now);
            return;
        }
        if is_above(baseline, OVERLOAD_LATENCY_RATIO) {
            self.baseline = Some(mean);
        }
        self.prior_latency = None;
        self.update_baselines(mean);
        if window.saturated {
            self.increase();
        }
    }

    /// Decreases the limit if errors rose and a decrease may help. Returns
    /// whether it did.
    fn evaluate_errors(&mut self, window: Window, now: Millis) -> bool {
        let total = f64::from(window.answers + window.errors);
        let share = f64::from(window.errors) / total;
        let helped =
            self.prior_errors.is_none_or(|before| share < 0.9 * before);
        if share > COLLAPSE_ERROR_RATIO
            || share > self.accepted_errors + OVERLOAD_ERROR_RATIO && helped
        {
            self.prior_errors = Some(share);
            self.decrease(now);
            return true;
        }
        if share > self.accepted_errors + OVERLOAD_ERROR_RATIO {
            self.accepted_errors = share;
        }
        self.prior_errors = None;
        self.accepted_errors +=
            (share - self.accepted_errors).min(0.0) * BASELINE_FALL_RATIO;
        false
    }

    fn update_baselines(&mut self, mean: f64) {
        let follow = |old: Option<f64>, rise: f64| {
            let old = old.unwrap_or(mean);
            let weight = if mean < old { BASELINE_FALL_RATIO } else { rise };
            Some(old + (mean - old) * weight)
        };
        self.baseline = follow(self.baseline, BASELINE_RISE_RATIO);
        if self.value >= self.slots {
            self.cold = false;
        }
        // A cold upstream's latency is not normal in the long run.
        if !self.cold {
            self.floor = follow(self.floor, FLOOR_RISE_RATIO);
        }
    }

    fn increase(&mut self) {
        let next = if self.cold {
            self.value + 1.0
        } else {
            (self.value * WARM_GROWTH_RATIO).max(self.value + 1.0)
        };
        self.value = next.min(self.slots);
    }
}
