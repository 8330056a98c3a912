//! The HTTP client for the upstream local to this node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode, header};
use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::event::{CallOutcome, Outcome};
use lagoondyke_core::fleet::grant_calls::UpstreamCall;
use lagoondyke_core::verdict::{Reason, Refusal};
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::clock;
use crate::fleet::message::{Answer, Call, INTERNAL_PREFIX, Reply};
use crate::fleet::pool::{Exchange, Pool};
use crate::fleet::ports::{AnswerMeta, Dialect, DispatchMeta};
use crate::http::{ExchangeError, Response, request_line};
use crate::message::{is_passed_on, remove_connection_headers};
use crate::wire::put_header;

/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Most memory for the answers that are being read.
const MAX_ANSWERS_MEMORY: usize = 24 * 1024 * 1024;

/// Longest idle time after which a connection is reused for a request that is
/// not idempotent. The upstream may have closed an idle connection, and such a
/// request must not be repeated once it is lost.
const MAX_NON_IDEMPOTENT_IDLE_MS: u64 = 300;

/// Longest idle time after which a connection is reused for an idempotent
/// request.
const MAX_IDEMPOTENT_IDLE_MS: u64 = 4_000;

/// Number of answers to earlier requests that are skipped before the request
/// counts as lost.
const MAX_SKIPPED_ANSWER_COUNT: usize = 3;

/// Longest idle time after which a connection is reused for a call about keys.
/// Such calls are made about once a second, and may be repeated.
const MAX_CALL_IDLE_MS: u64 = 4_000;

/// Largest body of the answer to a call about keys.
const MAX_CALL_ANSWER_BYTES: usize = 64 * 1024;

/// Most memory for the answers to such calls that are being read.
const MAX_CALL_ANSWERS_MEMORY: usize = 1024 * 1024;

/// A client of the upstream. Clones share its connections.
#[derive(Clone)]
pub struct UpstreamClient {
    addr: SocketAddr,
    pool: Pool,
    /// Connections for calls about keys. An upstream may answer nothing more
    /// on a connection for requests.
    calls: Pool,
    dialect: Rc<dyn Dialect>,
}

impl std::fmt::Debug for UpstreamClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamClient")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// How a request is sent to the upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Name of the upstream that is to run the request.
    pub upstream: String,
    /// Time left until the request must have ended.
    pub timeout_ms: u64,
    /// Service of the VM where the request arrived.
    pub origin: String,
    /// Name of the client account, if the request has one.
    pub account: Option<String>,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
}

/// A call to the upstream about the keys that it holds.
#[derive(Clone, Debug)]
pub struct KeyCall {
    /// Name of the upstream that is to be called.
    pub upstream: String,
    /// The call.
    pub call: UpstreamCall,
    /// When the call is given up; it must not arrive later.
    pub expires: Millis,
    /// Until when a connection may be opened for it.
    pub connect_until: Millis,
}

/// How a request that was sent to the upstream ended.
#[derive(Debug)]
pub struct DispatchResult {
    /// The answer or refusal for the sender of the request.
    pub reply: Reply,
    /// What the reducer needs: the status or refusal, and what the upstream
    /// says of itself.
    pub outcome: Outcome,
    /// Whether the upstream refuses connections.
    pub down: bool,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, dialect: Rc<dyn Dialect>) -> Self {
        let pool =
            Pool::new(CONNECT_TIMEOUT, MAX_ANSWER_BYTES, MAX_ANSWERS_MEMORY);
        let calls = Pool::new(
            CONNECT_TIMEOUT,
            MAX_CALL_ANSWER_BYTES,
            MAX_CALL_ANSWERS_MEMORY,
        );
        Self { addr, pool, calls, dialect }
    }

    /// Calls the upstream about the keys that it holds. A call that is given
    /// up is cancelled by a reset of its connection.
    pub async fn call(&self, call: &KeyCall) -> CallOutcome {
        let left_ms = call.expires.since(clock::since_boot());
        let run = self.try_call(call);
        match timeout(Duration::from_millis(left_ms), run).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(ExchangeError::Unsent)) => CallOutcome::Unsent,
            Ok(Err(_)) | Err(_) => CallOutcome::Unknown,
        }
    }

    async fn try_call(
        &self,
        call: &KeyCall,
    ) -> Result<CallOutcome, ExchangeError> {
        loop {
            let idle = self.calls.reuse(self.addr, MAX_CALL_IDLE_MS).await;
            let mut exchange = if let Some(exchange) = idle {
                exchange
            } else {
                let left = call.connect_until.since(clock::since_boot());
                if left == 0 {
                    return Err(ExchangeError::Unsent);
                }
                let connect = self.calls.connect(self.addr);
                timeout(Duration::from_millis(left), connect)
                    .await
                    .map_err(|_| ExchangeError::Unsent)??
            };
            // The process may have been suspended since the call was decided
            // on.
            if clock::since_boot() >= call.expires {
                return Err(ExchangeError::Unsent);
            }
            let fresh = exchange.fresh;
            let mut head = bytes::BytesMut::new();
            let body =
                self.dialect.put_call(&mut head, &call.upstream, &call.call);
            let put = |out: &mut bytes::BytesMut| out.extend_from_slice(&head);
            match exchange.send(&Method::POST, body, put).await {
                Err(ExchangeError::Unsent) if !fresh => {}
                Err(error) => return Err(error),
                Ok(response) => {
                    let Response { status, headers, .. } = &response;
                    let outcome = self.dialect.call_outcome(*status, headers);
                    exchange.finish(response.keep_alive);
                    return Ok(outcome);
                }
            }
        }
    }

    /// Has the upstream run a request. Dropping the future cancels the request
    /// there. When the upstream turns out to be down, all idle connections
    /// to it are closed.
    pub async fn run(
        &self,
        call: Rc<Call>,
        dispatch: Dispatch,
    ) -> DispatchResult {
        let result = self.exchange(&call, &dispatch).await;
        let lost = matches!(
            result,
            Err(ExchangeError::Lost | ExchangeError::Truncated)
        );
        let mut down = matches!(result, Err(ExchangeError::Unsent));
        if lost {
            down = self.refuses_connections().await;
        }
        if down {
            self.pool.clear(self.addr);
        }
        let (reply, condition) = match result {
            Ok((response, meta)) => {
                // Another upstream may have the address.
                let condition = (!meta.misdirected).then_some(meta.condition);
                (reply_of(response, &meta), condition)
            }
            Err(error) => (Err(refusal_of(&error)), None),
        };
        let result = match &reply {
            Ok(answer) => Ok(answer.status.as_u16()),
            Err(refusal) => Err(refusal.clone()),
        };
        let outcome = Outcome { result, load: None, condition };
        DispatchResult { reply, outcome, down }
    }

    async fn exchange(
        &self,
        call: &Call,
        dispatch: &Dispatch,
    ) -> Result<(Response, AnswerMeta), ExchangeError> {
        let max_idle_ms = if dispatch.idempotent {
            MAX_IDEMPOTENT_IDLE_MS
        } else {
            MAX_NON_IDEMPOTENT_IDLE_MS
        };
        loop {
            let mut exchange = self.pool.open(self.addr, max_idle_ms).await?;
            let fresh = exchange.fresh;
            let head = |out: &mut bytes::BytesMut| {
                self.put_request_head(out, call, dispatch);
            };
            let body = call.body.clone();
            match exchange.send(&call.method, body, head).await {
                Err(ExchangeError::Unsent) if !fresh => {}
                Err(error) => return Err(error),
                Ok(first) => return self.receive(call, first, exchange).await,
            }
        }
    }

    /// Returns the answer to `call`, which is `first` or a later one. Skips
    /// answers that name another request.
    async fn receive(
        &self,
        call: &Call,
        first: Response,
        mut exchange: Exchange,
    ) -> Result<(Response, AnswerMeta), ExchangeError> {
        let mut response = first;
        for _ in 0..MAX_SKIPPED_ANSWER_COUNT {
            let meta =
                self.dialect.answer_meta(response.status, &response.headers);
            let is_stale =
                meta.id.as_ref().is_some_and(|id| *id != call.meta.id);
            if !is_stale {
                // A refusal need not name its request. If the upstream writes
                // it once more, it must not refuse the next one.
                let refused = meta.not_run || meta.misdirected;
                exchange.finish(response.keep_alive && !refused);
                return Ok((response, meta));
            }
            response = exchange.receive_next().await?;
        }
        Err(ExchangeError::Lost)
    }

    fn put_request_head(
        &self,
        out: &mut bytes::BytesMut,
        call: &Call,
        dispatch: &Dispatch,
    ) {
        request_line(out, &call.method, &call.path);
        for (name, value) in &call.headers {
            let internal = name.as_str().starts_with(INTERNAL_PREFIX);
            if internal || !is_passed_on(name) || self.dialect.replaces(name) {
                continue;
            }
            put_header(out, name.as_str(), value.as_bytes());
        }
        let meta = DispatchMeta {
            upstream: &dispatch.upstream,
            timeout_ms: dispatch.timeout_ms,
            origin: &dispatch.origin,
            account: dispatch.account.as_deref(),
        };
        self.dialect.put_dispatch_meta(out, meta);
    }

    /// Whether the upstream refuses a new connection. A time-out is not taken
    /// for a refusal.
    async fn refuses_connections(&self) -> bool {
        let connect = TcpStream::connect_addr(self.addr);
        matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Err(_)))
    }
}

/// Decides whether an answer is passed on or becomes a refusal.
fn reply_of(mut response: Response, meta: &AnswerMeta) -> Reply {
    if meta.misdirected {
        let detail = "the upstream is another one or does not hold the key";
        return Err(Refusal::new(Reason::Fenced, detail));
    }
    if meta.not_run {
        let detail = "the upstream did not run the request";
        let mut refusal = Refusal::new(Reason::Shed, detail);
        refusal.retry_after = Some(SHED_RETRY_AFTER_MS);
        return Err(refusal);
    }
    let is_encoded = response.headers.contains_key(header::CONTENT_ENCODING);
    if response.status.is_success() && (is_encoded || !meta.from_upstream) {
        let detail = "the answer does not come from the upstream";
        return Err(Refusal::new(Reason::AnswerCut, detail));
    }
    // Callers take these statuses as a guarantee that the request has not
    // run, which this answer does not give.
    let means_not_run = matches!(
        response.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if means_not_run {
        let detail = "the answer does not say whether the request has run";
        return Err(Refusal::new(Reason::ConnectionLost, detail));
    }
    remove_connection_headers(&mut response.headers);
    let Response { status, headers, body, .. } = response;
    Ok(Answer { status, headers, body })
}

/// Delay suggested to a caller whose request the upstream did not run: about
/// the run time of a request.
const SHED_RETRY_AFTER_MS: u32 = 250;

fn refusal_of(error: &ExchangeError) -> Refusal {
    match error {
        ExchangeError::Unsent => {
            let detail = "no connection to the upstream could be made";
            Refusal::new(Reason::ConnectFailed, detail)
        }
        ExchangeError::Lost => {
            let detail = "the connection to the upstream was lost";
            Refusal::new(Reason::ConnectionLost, detail)
        }
        ExchangeError::Truncated => {
            let detail = "the upstream's answer ended before its end";
            Refusal::new(Reason::AnswerCut, detail)
        }
        ExchangeError::Malformed(what) => {
            let detail = format!("the upstream's answer is unusable: {what}");
            Refusal::new(Reason::AnswerCut, detail)
        }
    }
}
