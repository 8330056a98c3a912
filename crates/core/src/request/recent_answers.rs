//! Memory of the requests that an upstream has answered lately.
//!
//! A frequent harmless request is in flight at every crash of an upstream. One
//! like it that was answered shortly before shows that it is not the cause.

use crate::clock::Millis;
use crate::id::Fingerprint;

/// How long an answer keeps a request from becoming a suspect.
const ANSWER_RETENTION_MS: u64 = 60_000;

/// Number of places in the table; each takes 24 bytes.
const TABLE_LEN: usize = 4_096;

/// The requests that were answered lately.
#[derive(Clone, Debug)]
pub(crate) struct RecentAnswers {
    /// Requests with the time of their answer. The fingerprint modulo the
    /// length is the index; a newer request overwrites an older one.
    table: Vec<Option<(Fingerprint, Millis)>>,
}

impl RecentAnswers {
    /// A memory without answers.
    pub(crate) fn new() -> Self {
        Self { table: vec![None; TABLE_LEN] }
    }

    /// Records that a request was answered.
    pub(crate) fn record(&mut self, request: Fingerprint, now: Millis) {
        self.table[index_of(request)] = Some((request, now));
    }

    /// Whether a request was answered so recently that it is no suspect.
    pub(crate) fn contains(&self, request: Fingerprint, now: Millis) -> bool {
        self.table[index_of(request)].is_some_and(|(answered, at)| {
            answered == request && now.since(at) <= ANSWER_RETENTION_MS
        })
    }
}

fn index_of(request: Fingerprint) -> usize {
    request.0 as usize % TABLE_LEN
}
