//! The retry budgets of a node: one for each service.
//!
//! The deployment limits, for each service, the arrivals beyond the first of
//! each request over all nodes: a share of the requests for the service, and a
//! slack. Each node keeps within its part of both, so that the sum holds without
//! messages: the share is taken of the requests that arrive at the node, and the
//! slack is divided by the number of nodes.
//!
//! The load that it answers: an upstream service that sheds much of what it
//! gets, beside others that shed nothing.

use std::collections::HashMap;

use crate::request::retry::RetryBudget;

/// Percentage of the allowed share that is used. Retried requests make calls of
/// their own, which count as retries as well.
const SHARE_USE_PERCENT: f64 = 50.0;

/// Most retries that a node may send at once to a service.
const MAX_BURST_COUNT: f64 = 10.0;

/// Part of the slack that a node uses at most, however few nodes there are.
const MAX_SLACK_RATIO: f64 = 0.05;

/// Retry budgets by service.
#[derive(Debug)]
pub(super) struct Retries {
    percent: u32,
    slack: f64,
    burst: u32,
    budgets: HashMap<String, RetryBudget>,
}

impl Retries {
    /// Budgets for `share` of the requests for a service, and `slack` retries
    /// more over all nodes.
    pub(super) fn new(share: f64, slack: f64) -> Self {
        let percent = (share * SHARE_USE_PERCENT).round() as u32;
        let budgets = HashMap::new();
        let mut retries = Self { percent, slack, burst: 0, budgets };
        retries.set_node_count(1);
        retries
    }

    /// Divides the slack among this many nodes.
    pub(super) fn set_node_count(&mut self, count: usize) {
        let part = self.slack / (count.max(1) as f64);
        let most = (self.slack * MAX_SLACK_RATIO).clamp(1.0, MAX_BURST_COUNT);
        let burst = part.min(most).max(1.0) as u32;
        if burst == self.burst {
            return;
        }
        self.burst = burst;
        for budget in self.budgets.values_mut() {
            budget.set_burst(burst);
        }
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let new = RetryBudget::new(self.percent, self.burst);
        self.budgets.entry(service.to_owned()).or_insert(new)
    }

    /// Adds the credit for a request for `service` that arrived at this node.
    pub(super) fn deposit(&mut self, service: &str) {
        self.budget(service).deposit();
    }

    /// Takes the credit for sending a request to `service` once more; returns
    /// false if there is too little.
    pub(super) fn try_withdraw(&mut self, service: &str) -> bool {
        self.budget(service).try_withdraw()
    }
}
