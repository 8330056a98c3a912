//! Client accounts: who may send requests, and what upstreams are told.

use lagoondyke_core::fleet::account::{
    Account, AccountError, Accounts, KeyDigest,
};
use lagoondyke_core::fleet::config::{Config, Route};
use lagoondyke_core::fleet::effect::Effect;
use lagoondyke_core::verdict::{Reason, Verdict};

use crate::ownership::SETTLE_MS;
use crate::requests::{Harness, refusal};
use crate::support::Simulation;

/// Keys of the accounts "a" and "b".
const KEYS: [KeyDigest; 2] = [KeyDigest(1), KeyDigest(u128::MAX)];

fn accounts() -> Accounts {
    let mut accounts = Accounts::default();
    for (name, priority, key) in
        [("a", Some(0), KEYS[0]), ("b", None, KEYS[1])]
    {
        let name = name.to_owned();
        accounts.add(Account { name, priority }, [key]).expect("an account");
    }
    accounts
}

/// A node whose routes need a key, but for those that `open` says.
fn harness(open: bool) -> Harness {
    let mut harness = Harness::new();
    let mut config = crate::requests::config();
    config.version += 1;
    config.accounts = accounts();
    for route in config.hosts.values_mut().flatten() {
        route.open = open;
    }
    harness.apply_config(config);
    harness.gossip(1, "s");
    harness
}

/// The account and priority under which a request is forwarded.
fn forwarded(out: &[Effect]) -> Option<(Option<&str>, u8)> {
    out.iter().find_map(|effect| match effect {
        Effect::Forward { order, .. } => {
            Some((order.account.as_deref(), order.priority))
        }
        _ => None,
    })
}

/// Guards against requests that run without a key, or with one that no account
/// holds.
#[test]
fn a_request_without_a_known_key_is_refused() {
    let mut harness = harness(false);
    for credential in [None, Some(KeyDigest(2))] {
        harness.credential = credential;
        let out = harness.caller_request("/s/", None);
        let refused = refusal(&out).expect("a refusal");
        assert_eq!(refused.reason, Reason::UnknownKey);
        assert_eq!(refused.verdict, Verdict::NotRun);
        assert_eq!(refused.reason.status(), 401);
    }
}

/// Guards against an upstream that is told another account than the one that
/// holds the key, and against a priority of the route that goes before that of
/// the account.
#[test]
fn a_request_runs_for_the_account_that_holds_its_key() {
    let mut harness = harness(false);
    let out = Harness::new_with_peer().caller_request("/s/", None);
    let route = forwarded(&out).expect("the request is forwarded");
    assert_eq!(route.0, None);
    for (key, expected) in
        [(KEYS[0], (Some("a"), 0)), (KEYS[1], (Some("b"), route.1))]
    {
        harness.credential = Some(key);
        let out = harness.caller_request("/s/", None);
        assert_eq!(forwarded(&out), Some(expected));
    }
}

/// Guards against a route without keys that asks for one.
#[test]
fn an_open_route_needs_no_key() {
    let mut harness = harness(true);
    for credential in [None, Some(KeyDigest(2)), Some(KEYS[0])] {
        harness.credential = credential;
        let out = harness.caller_request("/s/", None);
        assert!(matches!(forwarded(&out), Some((None, _))));
    }
}

/// Guards against a key that still works after a version has taken it away.
#[test]
fn a_key_that_was_taken_away_is_refused() {
    let mut harness = harness(false);
    harness.credential = Some(KEYS[1]);
    assert!(forwarded(&harness.caller_request("/s/", None)).is_some());
    let mut config = crate::requests::config();
    config.version += 2;
    let account = Account { name: "a".to_owned(), priority: None };
    config.accounts.add(account, [KEYS[0]]).expect("an account");
    harness.apply_config(config);
    let out = harness.caller_request("/s/", None);
    let refused = refusal(&out).map(|refusal| refusal.reason);
    assert_eq!(refused, Some(Reason::UnknownKey));
}

/// Guards against a key that two accounts hold, and against a version that is
/// refused as it takes an account's last key away.
#[test]
fn ambiguous_accounts_are_refused() {
    let account =
        |name: &str| Account { name: name.to_owned(), ..Account::default() };
    let (a, c) = ("a".to_owned(), "c".to_owned());
    let added = accounts().add(account("c"), [KeyDigest(5), KEYS[0]]);
    assert_eq!(added, Err(AccountError::KeyTwice(a.clone(), c.clone())));
    let added = accounts().add(account("c"), [KeyDigest(5); 2]);
    assert_eq!(added, Err(AccountError::KeyTwice(c.clone(), c)));
    assert_eq!(accounts().add(account("c"), []), Ok(()));
    let mut twice = accounts();
    twice.add(account("a"), [KeyDigest(5)]).expect("an account");
    assert_eq!(twice.check_names(), Err(AccountError::NameTwice(a)));
}

/// Guards against accounts that are lost when a configuration is passed on to
/// another node, and against a document without them that earlier builds do not
/// read.
#[test]
fn accounts_are_passed_on_with_the_configuration() {
    let config = Config { accounts: accounts(), ..Config::default() };
    let text = serde_json::to_string(&config).expect("JSON");
    assert_eq!(serde_json::from_str::<Config>(&text).ok(), Some(config));
    let plain = serde_json::to_string(&Config::default()).expect("JSON");
    assert!(!plain.contains("accounts"));
    let plain = serde_json::to_string(&Route::default()).expect("JSON");
    assert!(!plain.contains("open"));
}

/// Time after which a key that was taken away is refused by every node.
const REVOKE_MS: u64 = 5_000;

/// Guards against a key that was taken away and still works at a node that is
/// cut off, frozen, restarted or turned away by the store.
#[test]
fn no_node_serves_by_a_configuration_that_may_be_replaced() {
    let mut refused = 0;
    for seed in 0..20 {
        let mut sim = Simulation::with_accounts(6, seed, REVOKE_MS);
        sim.run(SETTLE_MS);
        for version in 2..12 {
            let index = sim.random(6) as usize;
            match sim.random(6) {
                0 => sim.set_connected(index, false),
                1 => sim.set_store_denied(index, true),
                2 => sim.pause_node(index, 7_000),
                3 => {
                    sim.kill_node(index);
                    sim.start_node_in(index, 300);
                }
                4 => sim.store_faults.down = true,
                _ => sim.answer_delay = 4_000,
            }
            sim.publish_config(version);
            for _ in 0..900 {
                sim.run(10);
                let stale = sim.stale_nodes(REVOKE_MS);
                assert!(stale.is_empty(), "seed {seed}, {stale:?}");
                let served = (0..6).filter(|&node| sim.is_proved(node));
                refused += 6 - served.count();
            }
            sim.set_connected(index, true);
            sim.set_store_denied(index, false);
            sim.store_faults.down = false;
            sim.answer_delay = 1;
        }
    }
    assert!(refused > 0, "the disruptions have no effect");
}

/// Guards against nodes that refuse requests with keys although nothing is
/// wrong, and against one that the store turns away.
#[test]
fn all_nodes_serve_keys_while_one_node_reaches_the_store() {
    let mut sim = Simulation::with_accounts(6, 1, REVOKE_MS);
    sim.run(SETTLE_MS);
    for step in 0..400 {
        if step == 100 {
            sim.set_store_denied(4, true);
            sim.set_store_denied(5, true);
        }
        sim.run(50);
        for node in 0..6 {
            assert!(sim.is_proved(node), "{node} at {step}");
        }
    }
}

/// Guards against a node that refuses requests with keys where no deployment
/// asks for a proof.
#[test]
fn without_a_bound_no_proof_is_needed() {
    let mut harness = harness(false);
    harness.credential = Some(KEYS[0]);
    harness.now += 60_000;
    harness.gossip(1, "s");
    let out = harness.caller_request("/s/", None);
    assert_eq!(forwarded(&out), Some((Some("a"), 0)));
}
