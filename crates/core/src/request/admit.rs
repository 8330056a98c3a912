//! How many requests an upstream runs at once.
//!
//! [`Limit`] is derived from what the node beside the upstream observes. It
//! begins at 1 and grows while it is used in full and latency stays near
//! its base. It judges requests in windows:
//! - Latency above twice the base cuts the limit. If the cut does not bring
//!   latency down, concurrency is not the cause (a noisy neighbour, say),
//!   and the latency is accepted as the new base.
//! - Latency far above the long-term floor means that the upstream turned
//!   cold, or something worse: the limit falls to 1 and grows slowly.
//! - Errors cut the limit under the same condition; shed requests cut it,
//!   and a crash sets it to 1.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::request::admit::{Limit, Sample};
//!
//! let mut limit = Limit::new(12, Millis(0));
//! assert_eq!(limit.value(), 1, "an upstream starts cold");
//! for ms in (0..400).step_by(5) {
//!     limit.used_in_full();
//!     limit.ended(Millis(ms), Sample::Answered, Millis(ms + 5));
//! }
//! assert!(limit.value() > 1);
//! limit.crashed(Millis(405));
//! assert_eq!(limit.value(), 1);
//! ```

use crate::clock::Millis;

/// Fewest answers in a window; fewer make the mean too noisy.
const WINDOW_ANSWERS: u32 = 8;

/// Shortest window while the upstream is warm, in milliseconds.
const WARM_WINDOW: u64 = 25;

/// Shortest window while the upstream is cold, in milliseconds. With one
/// step per window, 12 slots are reached in 1.1 s at the earliest.
const COLD_WINDOW: u64 = 100;

/// Growth per window while the upstream is warm.
const WARM_GROWTH: f64 = 1.5;

/// What a cut leaves of the limit.
const CUT: f64 = 0.7;

/// Latency, relative to the base, that cuts the limit.
const JUMP: f64 = 2.0;

/// Latency, relative to the floor, at which the upstream is held cold.
const COLD: f64 = 5.0;

/// Added to limits of latency, in milliseconds: the clock's resolution and
/// the scheduling of the VM show at this scale.
const SLACK: f64 = 2.0;

/// Share of errors in a window, beyond the accepted one, that cuts the limit.
const ERRORS: f64 = 0.1;

/// Share of errors that always cuts the limit. An upstream that collapsed
/// may fail as much after a cut as before.
const ERRORS_MAX: f64 = 0.5;

/// How fast the base and the floor follow a higher latency, per window.
const BASE_RISE: f64 = 0.02;
const FLOOR_RISE: f64 = 0.001;

/// Weight of a window that is below the base or the floor.
const FALL: f64 = 0.5;

/// How a request at the upstream ended, for the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// With an answer.
    Answered,
    /// With an answer that says that the upstream sheds load.
    Shed,
    /// With an error of the upstream or its connection.
    Failed,
    /// Cancelled before it ended.
    Cancelled,
}

/// The concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: f64,
    value: f64,
    /// The limit has not reached the slots since the last cold start.
    cold: bool,
    /// Latency that is normal at present, in milliseconds.
    base: Option<f64>,
    /// Latency that is normal in the long run, in milliseconds, learned
    /// while the upstream is warm.
    floor: Option<f64>,
    /// Recent mean latency, in milliseconds.
    mean: Option<f64>,
    /// Mean latency before the last window's cut.
    cut_at: Option<f64>,
    /// Share of errors that a cut does not cure.
    errors: f64,
    /// Share of errors before the last window's cut.
    errors_at: Option<f64>,
    window: Window,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    /// Requests that were dispatched earlier do not count.
    start: Millis,
    answers: u32,
    errors: u32,
    sum: u64,
    full: bool,
}

impl Window {
    fn new(start: Millis) -> Self {
        Self { start, answers: 0, errors: 0, sum: 0, full: false }
    }
}

impl Limit {
    /// The limit of an upstream with `slots` slots that starts cold.
    #[must_use]
    pub fn new(slots: u16, now: Millis) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            value: 1.0,
            cold: true,
            base: None,
            floor: None,
            mean: None,
            cut_at: None,
            errors: 0.0,
            errors_at: None,
            window: Window::new(now),
        }
    }

    /// Requests that the upstream may run at once: 1 to its slots.
    #[must_use]
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Whether the upstream is held to be cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Recent mean latency in milliseconds, once it is known.
    #[must_use]
    pub fn latency(&self) -> Option<f64> {
        self.mean
    }

    /// Milliseconds in which `ahead` requests before a new one are expected
    /// to pass through the upstream.
    #[must_use]
    pub fn expected_wait(&self, ahead: usize) -> u64 {
        let latency = self.mean.unwrap_or(0.0);
        (ahead as f64 * latency / self.value) as u64
    }

    /// The least time in milliseconds in which the upstream answers at
    /// present; 0 while it is unknown.
    #[must_use]
    pub fn least_time(&self) -> u64 {
        self.base.map_or(0, |base| (base * 0.5) as u64)
    }

    /// As many requests as allowed are at the upstream. Only a limit that
    /// is used in full grows, since nothing else shows that the upstream
    /// can handle more.
    pub fn used_in_full(&mut self) {
        self.window.full = true;
    }

    /// A request that was dispatched at `started` ended.
    pub fn ended(&mut self, started: Millis, sample: Sample, now: Millis) {
        if started < self.window.start {
            return;
        }
        let age = now.since(started);
        match sample {
            Sample::Answered => self.count(age),
            Sample::Shed => {
                self.cut(now);
                return;
            }
            Sample::Failed => self.window.errors += 1,
            Sample::Cancelled => {
                // The answer would have taken longer still.
                if self.mean.is_some_and(|mean| age as f64 > mean) {
                    self.count(age);
                }
            }
        }
        let window = self.window;
        let shortest = if self.cold { COLD_WINDOW } else { WARM_WINDOW };
        let least = WINDOW_ANSWERS.max(2 * self.value as u32);
        let enough = window.answers + window.errors >= least;
        if enough && now.since(window.start) >= shortest {
            self.judge(now);
        }
    }

    /// Age in milliseconds from which a request at the upstream hints that
    /// the upstream turned cold; `None` while nothing is known.
    #[must_use]
    pub fn stall_age(&self) -> Option<u64> {
        let floor = self.floor.filter(|_| !self.cold)?;
        Some((COLD * floor + SLACK) as u64)
    }

    /// `old` of the `running` requests are older than [`Limit::stall_age`].
    /// A collapsed upstream may answer nothing, so that no window ends.
    /// Returns whether the upstream is held cold because of this.
    pub fn stalled(
        &mut self,
        old: usize,
        running: usize,
        now: Millis,
    ) -> bool {
        let cold = old >= 3 && old * 2 >= running;
        if cold {
            self.chill(now);
        }
        cold
    }

    /// The upstream crashed; it will come back cold.
    pub fn crashed(&mut self, now: Millis) {
        self.chill(now);
    }

    fn count(&mut self, age: u64) {
        self.window.answers += 1;
        self.window.sum += age;
        let mean = self.mean.get_or_insert(age as f64);
        *mean += (age as f64 - *mean) * 0.1;
    }

    fn chill(&mut self, now: Millis) {
        self.value = 1.0;
        self.cold = true;
        self.base = None;
        self.cut_at = None;
        self.errors = 0.0;
        self.errors_at = None;
        self.window = Window::new(now);
    }

    fn cut(&mut self, now: Millis) {
        self.value = (self.value * CUT).max(1.0);
        self.window = Window::new(now);
    }

    /// Ends a window.
    fn judge(&mut self, now: Millis) {
        let window = self.window;
        self.window = Window::new(now);
        if self.judge_errors(window, now) || window.answers == 0 {
            return;
        }
        let mean = window.sum as f64 / f64::from(window.answers);
        let far = |of: f64, times: f64| mean > times * of + SLACK;
        if !self.cold && self.floor.is_some_and(|floor| far(floor, COLD)) {
            self.chill(now);
            return;
        }
        let base = *self.base.get_or_insert(mean);
        let helped = self.cut_at.is_none_or(|before| mean < 0.9 * before);
        if far(base, JUMP) && helped {
            self.cut_at = Some(mean);
            self.cut(now);
            return;
        }
        if far(base, JUMP) {
            self.base = Some(mean);
        }
        self.cut_at = None;
        self.learn(mean);
        if window.full {
            self.grow();
        }
    }

    /// Cuts the limit if errors rose and cutting may help.
    fn judge_errors(&mut self, window: Window, now: Millis) -> bool {
        let total = f64::from(window.answers + window.errors);
        let share = f64::from(window.errors) / total;
        let helped = self.errors_at.is_none_or(|before| share < 0.9 * before);
        if share > ERRORS_MAX || share > self.errors + ERRORS && helped {
            self.errors_at = Some(share);
            self.cut(now);
            return true;
        }
        if share > self.errors + ERRORS {
            self.errors = share;
        }
        self.errors_at = None;
        self.errors += (share - self.errors).min(0.0) * FALL;
        false
    }

    fn learn(&mut self, mean: f64) {
        let follow = |old: Option<f64>, rise: f64| {
            let old = old.unwrap_or(mean);
            let weight = if mean < old { FALL } else { rise };
            Some(old + (mean - old) * weight)
        };
        self.base = follow(self.base, BASE_RISE);
        if self.value >= self.slots {
            self.cold = false;
        }
        // A cold upstream's latency is not normal in the long run.
        if !self.cold {
            self.floor = follow(self.floor, FLOOR_RISE);
        }
    }

    fn grow(&mut self) {
        let next = if self.cold {
            self.value + 1.0
        } else {
            (self.value * WARM_GROWTH).max(self.value + 1.0)
        };
        self.value = next.min(self.slots);
    }
}
