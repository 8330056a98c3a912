//! Deduplication of requests by idempotency key, within one process.
//!
//! A scope, `incarnation.generation`, names the part of one process's memory
//! in which a run is recorded. A record belongs to the generation that was
//! current when its request was admitted, which is never older than the
//! request's own scope. Memory is bounded by evicting the oldest generation as
//! a whole; from then on requests with a scope of that generation are answered
//! `may-have-run`, so an evicted record never lets a request run twice.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::id::{Fingerprint, Incarnation, Ticket};
//! use lagoondyke_core::request::dedupe::{
//!     Completion, Decision, DedupeRequest, DedupeTable, Limits,
//! };
//!
//! let mut table = DedupeTable::new(Incarnation(7), Limits::default());
//! let mut out = Vec::new();
//! let scope = table.scope().to_owned();
//! let mut request = DedupeRequest {
//!     id: DedupeRequest::id("token", None, None),
//!     fingerprint: Fingerprint(1),
//!     ticket: Ticket(1),
//! };
//! assert_eq!(table.begin(request, Some(&scope), &mut out), Decision::Run);
//! table.complete(
//!     request,
//!     Completion::Answered { body_bytes: 100 },
//!     &mut out,
//! );
//! request.ticket = Ticket(2);
//! let again = table.begin(request, Some(&scope), &mut out);
//! assert_eq!(again, Decision::Replay { of: Ticket(1) });
//! ```

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::Xxh3;

use crate::effect::Effect;
use crate::id::{Fingerprint, Incarnation, KeyHash, Ticket};
use crate::verdict::{Reason, Refusal};

/// `retry_after` in the refusal of a repeat while the first request is in
/// flight.
const RETRY_AFTER_MS: u32 = 100;

/// Bytes counted for a kept answer besides its body: headers and the table
/// entry in the shell.
const ANSWER_OVERHEAD_BYTES: usize = 512;

/// Bounds on the memory of a [`DedupeTable`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Limit on records. At about 100 bytes each, the default takes 13 MB and
    /// lasts 100 s at 1,300 recorded requests a second.
    pub records: usize,
    /// Number of generations that the records are divided among.
    pub generations: usize,
    /// Limit on the total size of kept answers, in bytes.
    pub kept_bytes: usize,
    /// Largest body of an answer that is kept, in bytes.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 128 * 1024,
            generations: 8,
            kept_bytes: 16 * 1024 * 1024,
            answer_bytes: 16 * 1024,
        }
    }
}

/// A request that carries an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DedupeRequest {
    /// Hash of the idempotency key; see [`DedupeRequest::id`].
    pub id: u128,
    /// Hash of the request's content; a repeat must have the same one.
    pub fingerprint: Fingerprint,
    /// The request's ticket, under which the shell keeps its answer.
    pub ticket: Ticket,
}

impl DedupeRequest {
    /// Hash of an idempotency key. The same key of another partner, or for
    /// another routing key, is a different one.
    ///
    /// # Example
    ///
    /// ```
    /// use lagoondyke_core::request::dedupe::DedupeRequest;
    ///
    /// let plain = DedupeRequest::id("a", None, None);
    /// assert_ne!(plain, DedupeRequest::id("a", Some("b"), None));
    /// assert_ne!(plain, DedupeRequest::id("b", None, None));
    /// ```
    #[must_use]
    pub fn id(
        idempotency_key: &str,
        partner: Option<&str>,
        key: Option<KeyHash>,
    ) -> u128 {
        let mut hash = Xxh3::new();
        let partner = partner.unwrap_or_default();
        hash.update(&key.unwrap_or_default().0.to_le_bytes());
        hash.update(&(partner.len() as u64).to_le_bytes());
        hash.update(partner.as_bytes());
        hash.update(idempotency_key.as_bytes());
        hash.digest128()
    }
}

/// What to do with a request that carries an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run it; [`DedupeTable::complete`] must follow.
    Run,
    /// Send the kept answer of an earlier request.
    Replay {
        /// Ticket of the earlier request.
        of: Ticket,
    },
    /// Refuse it: its scope is missing or unknown, its key belongs to another
    /// request, or an earlier request with the key is in flight or has no kept
    /// answer.
    Refuse(Refusal),
}

/// How a request with an idempotency key ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The upstream answered.
    Answered {
        /// Size of the answer's body.
        body_bytes: usize,
    },
    /// The request did not run.
    NotRun,
    /// The request ended without an answer and may have run.
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
    /// The answer is kept, and counts for this many bytes.
    Kept(usize),
    /// The request ran and its answer is not kept.
    Ran,
    /// The request may have run.
    Unknown,
}

/// Records of the requests with idempotency keys that this process admitted.
#[derive(Debug)]
pub struct DedupeTable {
    incarnation: Incarnation,
    limits: Limits,
    records: HashMap<u128, Record>,
    /// Ids of the records by generation, the oldest first; never empty.
    generations: VecDeque<Vec<u128>>,
    /// Number of the oldest generation.
    oldest: u32,
    /// Kept answers in the order of completion. An item whose record is gone
    /// or changed is skipped.
    kept: VecDeque<(u128, Ticket)>,
    kept_bytes: usize,
    scope: String,
}

/// Parses a scope into its process and generation; `None` if it is malformed.
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
/// issued it, so the request did not run under it.
#[must_use]
pub fn malformed_scope() -> Refusal {
    let detail = "Idempotency-Scope is not of the form number.number";
    Refusal::new(Reason::BadRequest, detail)
}

impl DedupeTable {
    /// An empty table for the process `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            generations: VecDeque::from([Vec::new()]),
            oldest: 0,
            kept: VecDeque::new(),
            kept_bytes: 0,
            scope: format!("{incarnation}.0"),
        }
    }

    /// The scope that new requests are told to use.
    #[must_use]
    pub fn scope(&self) -> &str {
        &self.scope
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table holds no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides about a request that carries an idempotency key. A request that
    /// was told to run may ask again until it is completed.
    pub fn begin(
        &mut self,
        request: DedupeRequest,
        scope: Option<&str>,
        out: &mut Vec<Effect>,
    ) -> Decision {
        if let Err(refusal) = self.check_scope(scope) {
            return Decision::Refuse(refusal);
        }
        if let Some(record) = self.records.get(&request.id) {
            return self.decide_repeat(*record, request);
        }
        self.rotate_generations(out);
        let state = State::InFlight;
        let DedupeRequest { id, fingerprint, ticket } = request;
        let generation = self.current_generation();
        let record = Record { fingerprint, ticket, generation, state };
        self.records.insert(id, record);
        if let Some(ids) = self.generations.back_mut() {
            ids.push(id);
        }
        Decision::Run
    }

    /// Records how a request ended that was told to run. `Effect::KeepAnswer`
    /// tells the shell to keep the answer.
    pub fn complete(
        &mut self,
        request: DedupeRequest,
        completion: Completion,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&request.id) else { return };
        if record.ticket != request.ticket {
            return;
        }
        match completion {
            Completion::MayHaveRun => record.state = State::Unknown,
            Completion::NotRun => {
                self.records.remove(&request.id);
                // Refusals at admission come right after `begin`; they must
                // not fill generations. Other ids stay in the generation, and
                // are skipped when it is evicted.
                let ids = self.generations.back_mut();
                if let Some(ids) = ids
                    && ids.last() == Some(&request.id)
                {
                    ids.pop();
                }
            }
            Completion::Answered { body_bytes }
                if body_bytes > self.limits.answer_bytes =>
            {
                record.state = State::Ran;
            }
            Completion::Answered { body_bytes } => {
                let bytes = body_bytes + ANSWER_OVERHEAD_BYTES;
                record.state = State::Kept(bytes);
                self.kept_bytes += bytes;
                self.kept.push_back((request.id, request.ticket));
                out.push(Effect::KeepAnswer { ticket: request.ticket });
                self.evict_answers(out);
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
                if incarnation == self.incarnation
                    && self.remembers(generation)
                {
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

    fn remembers(&self, generation: u32) -> bool {
        let age = generation.checked_sub(self.oldest);
        age.is_some_and(|age| (age as usize) < self.generations.len())
    }

    fn decide_repeat(
        &self,
        record: Record,
        request: DedupeRequest,
    ) -> Decision {
        if record.fingerprint != request.fingerprint {
            let detail = "the idempotency key belongs to another request";
            return Decision::Refuse(self.refusal(Reason::BadRequest, detail));
        }
        let (reason, detail) = match record.state {
            State::InFlight if record.ticket == request.ticket => {
                return Decision::Run;
            }
            State::Kept(_) => return Decision::Replay { of: record.ticket },
            State::InFlight => {
                let detail =
                    "a request with this idempotency key is in flight";
                let mut refusal = self.refusal(Reason::InProgress, detail);
                refusal.retry_after = Some(RETRY_AFTER_MS);
                return Decision::Refuse(refusal);
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
        Decision::Refuse(self.refusal(reason, detail))
    }

    fn refusal(&self, reason: Reason, detail: &str) -> Refusal {
        let mut refusal = Refusal::new(reason, detail);
        refusal.scope = Some(self.scope.clone());
        refusal
    }

    /// Begins a new generation when the current one is full, and evicts the
    /// oldest one when there are too many.
    fn rotate_generations(&mut self, out: &mut Vec<Effect>) {
        let max_len = (self.limits.records / self.limits.generations).max(1);
        if self.generations.back().is_some_and(|g| g.len() < max_len) {
            return;
        }
        self.generations.push_back(Vec::with_capacity(max_len));
        if self.generations.len() > self.limits.generations {
            self.evict_generation(out);
        }
        self.scope =
            format!("{}.{}", self.incarnation, self.current_generation());
    }

    fn current_generation(&self) -> u32 {
        self.oldest + self.generations.len() as u32 - 1
    }

    fn evict_generation(&mut self, out: &mut Vec<Effect>) {
        let ids = self.generations.pop_front().unwrap_or_default();
        let generation = self.oldest;
        self.oldest += 1;
        for id in ids {
            // A key that did not run at first and was sent again has its
            // record in a later generation.
            let Some(record) = self.records.get(&id).copied() else {
                continue;
            };
            if record.generation != generation {
                continue;
            }
            self.records.remove(&id);
            let State::Kept(bytes) = record.state else { continue };
            self.kept_bytes -= bytes;
            out.push(Effect::DropAnswer { ticket: record.ticket });
        }
        // Removes the evicted answers from the front, so that the list stays
        // as short as the records.
        while let Some(&(id, ticket)) = self.kept.front() {
            if self.answer_bytes(id, ticket).is_some() {
                return;
            }
            self.kept.pop_front();
        }
    }

    /// Drops the oldest answers while they take too much memory. Their records
    /// stay, so that scopes remain valid.
    fn evict_answers(&mut self, out: &mut Vec<Effect>) {
        while self.kept_bytes > self.limits.kept_bytes {
            let Some((id, ticket)) = self.kept.pop_front() else { return };
            let Some(bytes) = self.answer_bytes(id, ticket) else { continue };
            self.kept_bytes -= bytes;
            if let Some(record) = self.records.get_mut(&id) {
                record.state = State::Ran;
            }
            out.push(Effect::DropAnswer { ticket });
        }
    }

    fn answer_bytes(&self, id: u128, ticket: Ticket) -> Option<usize> {
        let record = self.records.get(&id)?;
        match record.state {
            State::Kept(bytes) if record.ticket == ticket => Some(bytes),
            _ => None,
        }
    }
}
