//! The check of the rule OWNER: two servers that are up hold the same keys for
//! over half a second.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use lagoondyke_standin::time::sleep_ms;

use crate::fleet::Deployment;

/// Time for which two servers may hold the same keys.
const LIMIT_MS: u64 = 500;

const SAMPLE_MS: u64 = 10;

/// Overlaps of the keys that servers hold.
#[derive(Debug, Default)]
pub struct Overlaps {
    /// Longest time, keys, and when it began, by the pair of servers.
    longest: RefCell<BTreeMap<(String, String), (u64, u16, u16, u64)>>,
}

impl Overlaps {
    /// Watches the servers until the deployment is dropped.
    pub fn watch(deployment: &Rc<Deployment>) -> Rc<Self> {
        let overlaps = Rc::new(Self::default());
        let (own, deployment) = (Rc::clone(&overlaps), Rc::clone(deployment));
        monoio::spawn(async move { own.run(&deployment).await });
        overlaps
    }

    async fn run(&self, deployment: &Deployment) {
        // When each overlap that goes on began.
        let mut since: BTreeMap<(String, String, u16, u16), u64> =
            BTreeMap::new();
        loop {
            let now = deployment.record.now();
            let mut present = BTreeMap::new();
            let servers: Vec<_> = deployment
                .machines
                .iter()
                .map(|machine| Rc::clone(&machine.server.borrow()))
                .filter(|server| server.is_up())
                .collect();
            for (index, one) in servers.iter().enumerate() {
                for other in &servers[index + 1..] {
                    for a in one.holds() {
                        for b in other.holds() {
                            let first = a.first.max(b.first);
                            let last = a.last.min(b.last);
                            if first > last {
                                continue;
                            }
                            let key = (
                                one.options.id.clone(),
                                other.options.id.clone(),
                                first,
                                last,
                            );
                            let begin =
                                since.get(&key).copied().unwrap_or(now);
                            present.insert(key, begin);
                        }
                    }
                }
            }
            for (key, begin) in &present {
                let (one, other, first, last) = key.clone();
                let span = now - begin;
                let mut longest = self.longest.borrow_mut();
                let best = longest.entry((one, other)).or_insert((0, 0, 0, 0));
                if span >= best.0 {
                    *best = (span, first, last, *begin);
                }
            }
            since = present;
            sleep_ms(SAMPLE_MS).await;
        }
    }

    /// Overlaps of over half a second, for the record.
    pub fn broken(&self) -> Vec<String> {
        let longest = self.longest.borrow();
        let mut found = Vec::new();
        for ((one, other), (span, first, last, begin)) in longest.iter() {
            if *span > LIMIT_MS {
                found.push(format!(
                    "OWNER: {one} and {other} both hold keys {first}-{last} \
                     for {span} ms, from {begin}"
                ));
            }
        }
        found
    }
}
