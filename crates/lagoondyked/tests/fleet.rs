//! Node processes of a fleet, against stand-ins of the platform.

use std::path::PathBuf;

use lagoondyke_platform_standin::soak::{Findings, Plan, run};
use lagoondyke_standin::block_on;

fn run_soak(seed: u64, seconds: u64, nodes: usize, direct: bool) -> Findings {
    let plan = Plan {
        seed,
        seconds,
        nodes,
        direct,
        program: PathBuf::from(env!("CARGO_BIN_EXE_lagoondyked")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
    };
    block_on(run(plan)).expect("a soak needs processes and addresses")
}

/// Guards against faults that only show in real processes: a route from caller
/// to upstream that does not work, and answers or refusals that are wrong.
#[test]
fn a_fleet_serves_and_keeps_its_promises_under_faults() {
    let findings = run_soak(1, 5, 4, false);
    assert!(findings.violations.is_empty(), "{:?}", findings.violations);
    assert!(findings.answered > 0);
}

/// Guards against two owners and lost promises in real processes where keys
/// are granted in calls, some of which are unanswered and applied late.
#[test]
fn a_fleet_that_grants_keys_in_calls_keeps_its_promises_under_faults() {
    let findings = run_soak(2, 5, 4, true);
    assert!(findings.violations.is_empty(), "{:?}", findings.violations);
    assert!(findings.answered > 0);
}

/// Guards against a harmful request that is cleared by the answer to the same
/// request of another service, or whose crash a late announcement hides: with
/// this seed it once crashed ten upstreams.
#[test]
fn a_harmful_request_with_a_harmless_twin_crashes_few_upstreams() {
    let findings = run_soak(9300, 12, 5, false);
    assert!(findings.violations.is_empty(), "{:?}", findings.violations);
}
