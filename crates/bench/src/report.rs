//! Reports of experiments: measured figures, their bounds, and a text table.

use std::fmt::Write as _;

use serde::Serialize;

/// Bound that a figure must satisfy for its experiment to pass.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// At most this value.
    Most(f64),
    /// At least this value.
    Least(f64),
}

impl Bound {
    fn holds(self, value: f64) -> bool {
        match self {
            Self::Most(limit) => value <= limit,
            Self::Least(limit) => value >= limit,
        }
    }
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The measured value, in `unit`.
    pub value: f64,
    /// Unit of the value, the baseline and the bound; empty for counts and
    /// ratios.
    pub unit: &'static str,
    /// The same figure measured with callers that send to the upstreams
    /// directly, if the experiment has such a baseline.
    pub baseline: Option<f64>,
    /// The bound from the design page; figures without one are only
    /// reported.
    pub bound: Option<Bound>,
    /// Whether the bound holds; true without a bound.
    pub ok: bool,
}

impl Figure {
    /// The value divided by the baseline, if there is a baseline above 0.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        self.baseline.filter(|&b| b > 0.0).map(|b| self.value / b)
    }
}

/// The result of one experiment or of one `run` of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment, or `run`.
    pub experiment: String,
    /// Seed of the random choices, to repeat them.
    pub seed: u64,
    /// Measured figures in the order in which they were added.
    pub figures: Vec<Figure>,
    /// Remarks for the reader, such as what could not be measured.
    pub notes: Vec<String>,
}

impl Report {
    /// An empty report.
    #[must_use]
    pub fn new(experiment: impl Into<String>, seed: u64) -> Self {
        Self {
            experiment: experiment.into(),
            seed,
            figures: Vec::new(),
            notes: Vec::new(),
        }
    }

    fn push(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        baseline: Option<f64>,
        bound: Option<Bound>,
    ) {
        let ok = bound.is_none_or(|b| b.holds(value));
        let name = name.into();
        self.figures.push(Figure { name, value, unit, baseline, bound, ok });
    }

    /// Adds a figure without a bound.
    pub fn add_figure(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
    ) {
        self.push(name, value, unit, None, None);
    }

    /// Adds a figure that is compared with a baseline.
    pub fn add_compared(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        baseline: f64,
    ) {
        self.push(name, value, unit, Some(baseline), None);
    }

    /// Adds a figure with a bound.
    pub fn add_bounded(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: Bound,
    ) {
        self.push(name, value, unit, None, Some(bound));
    }

    /// Adds a figure with a baseline and a bound.
    pub fn add_compared_bounded(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        baseline: f64,
        bound: Bound,
    ) {
        self.push(name, value, unit, Some(baseline), Some(bound));
    }

    /// Adds a note, printed below the figures.
    pub fn add_note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    /// Whether all figures are within their bounds.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.figures.iter().all(|f| f.ok)
    }

    /// The figures and notes as a text table for the terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = String::new();
        let title = format!("{} (seed {})", self.experiment, self.seed);
        let _ = writeln!(text, "{title}");
        let _ = writeln!(
            text,
            "{:<40} {:>10} {:<6} {:>10} {:>6}  bound",
            "figure", "value", "unit", "baseline", "ratio"
        );
        for f in &self.figures {
            let baseline = f.baseline.map_or(String::new(), format_value);
            let ratio = f.ratio().map_or(String::new(), |r| format!("{r:.2}"));
            let bound = match f.bound {
                None => String::new(),
                Some(Bound::Most(b)) => format!("<= {}", format_value(b)),
                Some(Bound::Least(b)) => format!(">= {}", format_value(b)),
            };
            let fail = if f.ok { "" } else { "  FAILED" };
            let line = format!(
                "{:<40} {:>10} {:<6} {:>10} {:>6}  {bound}{fail}",
                f.name,
                format_value(f.value),
                f.unit,
                baseline,
                ratio
            );
            let _ = writeln!(text, "{}", line.trim_end());
        }
        for note in &self.notes {
            let _ = writeln!(text, "note: {note}");
        }
        text
    }
}

/// Formats whole numbers without decimals and others with three.
fn format_value(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e12 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
