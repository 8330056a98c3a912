//! Which idempotency keys ran at this process.
//!
//! A scope, `incarnation.generation`, names the part of one process's memory
//! in which a run is recorded. A record belongs to the generation that was
//! current when its request was admitted, which is never older than the
//! request's own scope. Memory is bounded by forgetting the oldest
//! generation as a whole; from then on requests with a scope of that
//! generation are answered `may-have-run`, so a forgotten record never lets
//! a request run twice.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::id::{Fingerprint, Incarnation, Ticket};
//! use lagoondyke_core::request::dedupe::{
//!     Ask, Dedupe, End, Limits, Opened,
//! };
//!
//! let mut table = Dedupe::new(Incarnation(7), Limits::default());
//! let mut out = Vec::new();
//! let scope = table.scope().to_owned();
//! let mut ask = Ask {
//!     id: Ask::id("token", None, None),
//!     fingerprint: Fingerprint(1),
//!     ticket: Ticket(1),
//! };
//! assert_eq!(table.open(ask, Some(&scope), &mut out), Opened::Run);
//! table.close(ask, End::Answered { size: 100 }, &mut out);
//! ask.ticket = Ticket(2);
//! let again = table.open(ask, Some(&scope), &mut out);
//! assert_eq!(again, Opened::Replay { of: Ticket(1) });
//! ```

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::Xxh3;

use crate::effect::Effect;
use crate::id::{Fingerprint, Incarnation, KeyHash, Ticket};
use crate::verdict::{Reason, Refusal};

/// Suggested pause before a repeat of a request in flight, in milliseconds.
const RETRY_AFTER: u32 = 100;

/// Bytes counted for a kept answer besides its body: headers and the table
/// entry in the shell.
const ANSWER_HEAD: usize = 512;

/// Bounds on the memory of a [`Dedupe`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most records. At about 100 bytes each, the default takes 13 MB and
    /// lasts 100 s at 1,300 recorded requests a second.
    pub records: usize,
    /// Generations that the records are divided among.
    pub generations: usize,
    /// Most bytes of kept answers.
    pub bytes: usize,
    /// Largest body of a kept answer, in bytes.
    pub answer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 128 * 1024,
            generations: 8,
            bytes: 16 * 1024 * 1024,
            answer: 16 * 1024,
        }
    }
}

/// A request that asks to run under an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Identity of the idempotency key; see [`Ask::id`].
    pub id: u128,
    /// Identity of the request's content.
    pub fingerprint: Fingerprint,
    /// The request.
    pub ticket: Ticket,
}

impl Ask {
    /// Identity of an idempotency key: the same key of another partner, or
    /// for another routing key, is another one.
    ///
    /// # Example
    ///
    /// ```
    /// use lagoondyke_core::request::dedupe::Ask;
    ///
    /// let plain = Ask::id("a", None, None);
    /// assert_ne!(plain, Ask::id("a", Some("b"), None));
    /// assert_ne!(plain, Ask::id("b", None, None));
    /// ```
    #[must_use]
    pub fn id(
        token: &str,
        partner: Option<&str>,
        key: Option<KeyHash>,
    ) -> u128 {
        let mut hash = Xxh3::new();
        let partner = partner.unwrap_or_default();
        hash.update(&key.unwrap_or_default().0.to_le_bytes());
        hash.update(&(partner.len() as u64).to_le_bytes());
        hash.update(partner.as_bytes());
        hash.update(token.as_bytes());
        hash.digest128()
    }
}

/// What to do with a request that has an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Opened {
    /// Run it; [`Dedupe::close`] must follow.
    Run,
    /// Give the kept answer of an earlier request.
    Replay {
        /// The earlier request.
        of: Ticket,
    },
    /// Refuse it.
    Refuse(Refusal),
}

/// How a request with an idempotency key ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With an answer.
    Answered {
        /// Size of its body in bytes.
        size: usize,
    },
    /// Without having run.
    NotRun,
    /// Without an answer, and it may have run.
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    fingerprint: Fingerprint,
    ticket: Ticket,
    generation: u32,
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    InFlight,
    /// The answer is kept and counts for this many bytes.
    Kept(usize),
    /// It ran and its answer is not kept.
    Ran,
    /// It may have run.
    Unknown,
}

/// The idempotency keys that ran at this process.
#[derive(Debug)]
pub struct Dedupe {
    incarnation: Incarnation,
    limits: Limits,
    records: HashMap<u128, Record>,
    /// Records by generation, the oldest first; never empty.
    generations: VecDeque<Vec<u128>>,
    /// Number of the oldest generation.
    oldest: u32,
    /// Kept answers in the order of their arrival. An entry whose record is
    /// gone or changed is skipped.
    kept: VecDeque<(u128, Ticket)>,
    bytes: usize,
    scope: String,
}

/// The process and generation that a scope names, if it is well-formed.
///
/// # Example
///
/// ```
/// use lagoondyke_core::id::Incarnation;
/// use lagoondyke_core::request::dedupe::parse_scope;
///
/// assert_eq!(parse_scope("7.2"), Some((Incarnation(7), 2)));
/// assert_eq!(parse_scope("7"), None);
/// ```
#[must_use]
pub fn parse_scope(scope: &str) -> Option<(Incarnation, u32)> {
    let (incarnation, generation) = scope.split_once('.')?;
    let incarnation = Incarnation(incarnation.parse().ok()?);
    Some((incarnation, generation.parse().ok()?))
}

/// The refusal of a scope that [`parse_scope`] does not accept. No process
/// gave it out, so the request did not run under it.
#[must_use]
pub fn malformed_scope() -> Refusal {
    let detail = "Idempotency-Scope is not of the form number.number";
    Refusal::new(Reason::BadRequest, detail)
}

impl Dedupe {
    /// An empty table of a process.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            generations: VecDeque::from([Vec::new()]),
            oldest: 0,
            kept: VecDeque::new(),
            bytes: 0,
            scope: format!("{incarnation}.0"),
        }
    }

    /// The scope for new requests.
    #[must_use]
    pub fn scope(&self) -> &str {
        &self.scope
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides about a request that carries an idempotency key. A request
    /// that was told to run may ask again until it is closed.
    pub fn open(
        &mut self,
        ask: Ask,
        scope: Option<&str>,
        out: &mut Vec<Effect>,
    ) -> Opened {
        if let Err(refusal) = self.check_scope(scope) {
            return Opened::Refuse(refusal);
        }
        if let Some(record) = self.records.get(&ask.id) {
            return self.repeat(*record, ask);
        }
        self.make_room(out);
        let state = State::InFlight;
        let Ask { id, fingerprint, ticket } = ask;
        let generation = self.current();
        let record = Record { fingerprint, ticket, generation, state };
        self.records.insert(id, record);
        if let Some(ids) = self.generations.back_mut() {
            ids.push(id);
        }
        Opened::Run
    }

    /// Records how a request ended that was told to run. An answer that is
    /// to be kept is announced by `Effect::KeepAnswer`.
    pub fn close(&mut self, ask: Ask, end: End, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&ask.id) else { return };
        if record.ticket != ask.ticket {
            return;
        }
        match end {
            End::MayHaveRun => record.state = State::Unknown,
            End::NotRun => {
                self.records.remove(&ask.id);
                // Refusals at admission come right after `open`; they must
                // not fill generations. Other places stay, and are skipped
                // when the generation is forgotten.
                let ids = self.generations.back_mut();
                if let Some(ids) = ids
                    && ids.last() == Some(&ask.id)
                {
                    ids.pop();
                }
            }
            End::Answered { size } if size > self.limits.answer => {
                record.state = State::Ran;
            }
            End::Answered { size } => {
                let bytes = size + ANSWER_HEAD;
                record.state = State::Kept(bytes);
                self.bytes += bytes;
                self.kept.push_back((ask.id, ask.ticket));
                out.push(Effect::KeepAnswer { ticket: ask.ticket });
                self.trim_answers(out);
            }
        }
    }

    fn check_scope(&self, scope: Option<&str>) -> Result<(), Refusal> {
        let (reason, detail) = match scope.map(parse_scope) {
            None => (
                Reason::ScopeRequired,
                "a request with an idempotency key needs the header \
                 Idempotency-Scope",
            ),
            Some(None) => return Err(malformed_scope()),
            Some(Some((incarnation, generation))) => {
                if incarnation == self.incarnation && self.holds(generation) {
                    return Ok(());
                }
                (
                    Reason::ScopeUnknown,
                    "the record of this idempotency scope is gone; check \
                     whether the request ran, then use a new key",
                )
            }
        };
        Err(self.refusal(reason, detail))
    }

    fn holds(&self, generation: u32) -> bool {
        let age = generation.checked_sub(self.oldest);
        age.is_some_and(|age| (age as usize) < self.generations.len())
    }

    fn repeat(&self, record: Record, ask: Ask) -> Opened {
        if record.fingerprint != ask.fingerprint {
            let detail = "the idempotency key belongs to another request";
            return Opened::Refuse(self.refusal(Reason::BadRequest, detail));
        }
        let (reason, detail) = match record.state {
            State::InFlight if record.ticket == ask.ticket => {
                return Opened::Run;
            }
            State::Kept(_) => return Opened::Replay { of: record.ticket },
            State::InFlight => {
                let detail =
                    "a request with this idempotency key is in flight";
                let mut refusal = self.refusal(Reason::InProgress, detail);
                refusal.retry_after = Some(RETRY_AFTER);
                return Opened::Refuse(refusal);
            }
            State::Ran => (
                Reason::AlreadyRan,
                "the request ran before and its answer is not kept",
            ),
            State::Unknown => (
                Reason::AlreadyRan,
                "an earlier attempt ended without an answer and may have run",
            ),
        };
        Opened::Refuse(self.refusal(reason, detail))
    }

    fn refusal(&self, reason: Reason, detail: &str) -> Refusal {
        let mut refusal = Refusal::new(reason, detail);
        refusal.scope = Some(self.scope.clone());
        refusal
    }

    /// Begins a new generation when the current one is full, and forgets
    /// the oldest one when there are too many.
    fn make_room(&mut self, out: &mut Vec<Effect>) {
        let most = (self.limits.records / self.limits.generations).max(1);
        if self.generations.back().is_some_and(|g| g.len() < most) {
            return;
        }
        self.generations.push_back(Vec::with_capacity(most));
        if self.generations.len() > self.limits.generations {
            self.forget_oldest(out);
        }
        self.scope = format!("{}.{}", self.incarnation, self.current());
    }

    fn current(&self) -> u32 {
        self.oldest + self.generations.len() as u32 - 1
    }

    fn forget_oldest(&mut self, out: &mut Vec<Effect>) {
        let ids = self.generations.pop_front().unwrap_or_default();
        let generation = self.oldest;
        self.oldest += 1;
        for id in ids {
            // A key that did not run at first and came again has its record
            // in a later generation.
            let Some(record) = self.records.get(&id).copied() else {
                continue;
            };
            if record.generation != generation {
                continue;
            }
            self.records.remove(&id);
            let State::Kept(bytes) = record.state else { continue };
            self.bytes -= bytes;
            out.push(Effect::DropAnswer { ticket: record.ticket });
        }
        // Removes what was just forgotten from the front, so that the list
        // stays as short as the records.
        while let Some(&(id, ticket)) = self.kept.front() {
            if self.kept_bytes(id, ticket).is_some() {
                return;
            }
            self.kept.pop_front();
        }
    }

    /// Drops the oldest answers while they take too much memory. Their
    /// records stay, so that scopes remain valid.
    fn trim_answers(&mut self, out: &mut Vec<Effect>) {
        while self.bytes > self.limits.bytes {
            let Some((id, ticket)) = self.kept.pop_front() else { return };
            let Some(bytes) = self.kept_bytes(id, ticket) else { continue };
            self.bytes -= bytes;
            if let Some(record) = self.records.get_mut(&id) {
                record.state = State::Ran;
            }
            out.push(Effect::DropAnswer { ticket });
        }
    }

    fn kept_bytes(&self, id: u128, ticket: Ticket) -> Option<usize> {
        let record = self.records.get(&id)?;
        match record.state {
            State::Kept(bytes) if record.ticket == ticket => Some(bytes),
            _ => None,
        }
    }
}
