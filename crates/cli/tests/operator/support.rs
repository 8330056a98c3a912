//! A store and nodes in memory, with faults that the test sets.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use lagoondyke_cli::environment::{
    CallError, Environment, Nodes, Object, Store, StoreError, Timer,
};
use lagoondyke_core::status::{KeyLocation, Status};

/// Fault of the next call that it applies to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An update takes effect, but its answer is lost.
    AnswerLost,
    /// An update is lost on its way to the store.
    RequestLost,
    /// An update is delayed and takes effect after this many reads.
    Delayed(u32),
    /// Others write these values before an update.
    Race(Vec<Vec<u8>>),
    /// Others write these values after an update whose answer is lost.
    LostThenRace(Vec<Vec<u8>>),
    /// An update cannot connect to the store.
    Down,
    /// A read gets no answer.
    ReadFails,
}

/// A delayed update: the number of reads that precede it, the object's name,
/// the expected version and the value.
type DelayedUpdate = (u32, String, u64, Vec<u8>);

#[derive(Debug, Default)]
pub struct FakeStore {
    pub objects: RefCell<BTreeMap<String, Object>>,
    pub faults: RefCell<VecDeque<Fault>>,
    /// Number of calls of `update`.
    pub updates: Cell<u32>,
    /// Versions written by `update` calls.
    pub written: RefCell<Vec<u64>>,
    delayed: RefCell<Option<DelayedUpdate>>,
}

impl FakeStore {
    pub fn with(name: &str, value: &[u8], faults: &[Fault]) -> Self {
        let store = Self::default();
        store.write(name, value);
        store.faults.borrow_mut().extend(faults.iter().cloned());
        store
    }

    pub fn get(&self, name: &str) -> Object {
        self.objects.borrow()[name].clone()
    }

    /// Writes a value as another operator does.
    pub fn write(&self, name: &str, value: &[u8]) -> u64 {
        let mut objects = self.objects.borrow_mut();
        let version = objects.get(name).map_or(0, |o| o.version) + 1;
        let value = value.to_vec();
        objects.insert(name.to_owned(), Object { version, value });
        version
    }

    fn write_all(&self, name: &str, values: &[Vec<u8>]) {
        for value in values {
            self.write(name, value);
        }
    }

    fn commit(
        &self,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        let now = self.objects.borrow().get(name).map_or(0, |o| o.version);
        if now != expect {
            return Err(StoreError::Conflict);
        }
        let version = self.write(name, value);
        self.written.borrow_mut().push(version);
        Ok(version)
    }

    fn deliver_delayed(&self) {
        let mut delayed = self.delayed.borrow_mut();
        if let Some((reads, name, expect, value)) = delayed.take() {
            if reads > 0 {
                *delayed = Some((reads - 1, name, expect, value));
                return;
            }
            let _ = self.commit(&name, expect, &value);
        }
    }
}

impl Store for FakeStore {
    fn read(&self, name: &str) -> Result<Option<Object>, StoreError> {
        self.deliver_delayed();
        let mut faults = self.faults.borrow_mut();
        if faults.front() == Some(&Fault::ReadFails) {
            faults.pop_front();
            return Err(StoreError::ReadFailed("no answer in 5s".to_owned()));
        }
        Ok(self.objects.borrow().get(name).cloned())
    }

    fn update(
        &self,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        self.updates.set(self.updates.get() + 1);
        let lost = Err(StoreError::AnswerLost("no answer in 5s".to_owned()));
        let fault = self.faults.borrow_mut().pop_front();
        match fault {
            Some(Fault::Down) => Err(StoreError::NotSent("refused".into())),
            Some(Fault::RequestLost | Fault::ReadFails) => lost,
            Some(Fault::Delayed(reads)) => {
                let delayed = (reads, name.to_owned(), expect, value.to_vec());
                *self.delayed.borrow_mut() = Some(delayed);
                lost
            }
            Some(Fault::AnswerLost) => {
                let _ = self.commit(name, expect, value);
                lost
            }
            Some(Fault::LostThenRace(others)) => {
                let _ = self.commit(name, expect, value);
                self.write_all(name, &others);
                lost
            }
            Some(Fault::Race(others)) => {
                self.write_all(name, &others);
                self.commit(name, expect, value)
            }
            None => self.commit(name, expect, value),
        }
    }
}

/// Nodes whose statuses the test sets, and a clock that only `sleep`
/// advances.
#[derive(Debug, Default)]
pub struct FakeNodes {
    /// Answers by address and status query; the last one repeats. Nodes
    /// without answers refuse connections.
    pub answers: BTreeMap<SocketAddr, Vec<Result<Status, CallError>>>,
    pub located: KeyLocation,
    /// Peer addresses that accept connections.
    pub alive: Vec<SocketAddr>,
    /// Nodes that were asked to drain.
    pub drained: RefCell<Vec<SocketAddr>>,
    pub time: Cell<Duration>,
    /// Number of status queries so far.
    pub rounds: Cell<usize>,
}

impl Nodes for FakeNodes {
    fn statuses(
        &self,
        nodes: &[SocketAddr],
    ) -> Vec<Result<Status, CallError>> {
        let round = self.rounds.replace(self.rounds.get() + 1);
        let answer = |node| {
            let Some(list) = self.answers.get(node) else {
                return Err(CallError::NotSent("refused".to_owned()));
            };
            list[round.min(list.len() - 1)].clone()
        };
        nodes.iter().map(answer).collect()
    }

    fn locate(
        &self,
        _node: SocketAddr,
        _service: &str,
        _key: &str,
    ) -> Result<KeyLocation, CallError> {
        Ok(self.located.clone())
    }

    fn drain(&self, node: SocketAddr) -> Result<(), CallError> {
        self.drained.borrow_mut().push(node);
        Ok(())
    }

    fn accepts(&self, addr: SocketAddr) -> bool {
        self.alive.contains(&addr)
    }
}

impl Timer for FakeNodes {
    fn now(&self) -> Duration {
        self.time.get()
    }

    fn sleep(&self, duration: Duration) {
        self.time.set(self.time.get() + duration);
    }
}

pub fn environment<'a>(
    store: &'a FakeStore,
    nodes: &'a FakeNodes,
) -> Environment<'a> {
    Environment { store: Some(store), nodes, timer: nodes }
}

pub fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
