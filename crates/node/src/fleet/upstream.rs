//! Requests for the upstream beside this node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{StatusCode, header};
use lagoondyke_core::fleet::event::Outcome;
use lagoondyke_core::verdict::{Reason, Refusal};
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::fleet::message::{Answer, Call, PREFIX, Reply};
use crate::fleet::pool::{Exchange, Pool};
use crate::fleet::ports::{Dialect, Marks, Sent};
use crate::http::{ExchangeError, Response, request_line};
use crate::message::{is_passed_on, remove_connection_headers};
use crate::wire::put_header;

/// Time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Largest answer, in bytes.
const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// Idle time after which a connection is not used again for a request that
/// must not be repeated, in milliseconds: the upstream may have closed it.
const REUSE_ONCE: u64 = 300;

/// The same for other requests.
const REUSE: u64 = 4_000;

/// Answers to earlier requests that are skipped before the connection is
/// given up.
const SKIPPED_MAX: usize = 3;

/// A client of the upstream.
#[derive(Clone)]
pub struct Upstream {
    addr: SocketAddr,
    pool: Pool,
    dialect: Rc<dyn Dialect>,
}

impl std::fmt::Debug for Upstream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Upstream")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// What goes with a request for the upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Name of the upstream that is to run it.
    pub upstream: String,
    /// Milliseconds left until the request must have ended.
    pub budget: u64,
    /// The service of the VM where the request came in.
    pub origin: String,
    /// The request may safely run more than once.
    pub idempotent: bool,
}

/// How a request at the upstream ended.
#[derive(Debug)]
pub struct Ran {
    /// The reply.
    pub reply: Reply,
    /// What the reducer is told.
    pub outcome: Outcome,
    /// The upstream refuses connections.
    pub down: bool,
}

impl Upstream {
    /// A client of the upstream at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, dialect: Rc<dyn Dialect>) -> Self {
        let pool = Pool::new(CONNECT_LIMIT, ANSWER_MAX);
        Self { addr, pool, dialect }
    }

    /// Runs a request. Dropping the future cancels it at the upstream.
    pub async fn run(&self, call: Rc<Call>, dispatch: Dispatch) -> Ran {
        let result = self.exchange(&call, &dispatch).await;
        let lost = matches!(
            result,
            Err(ExchangeError::Lost | ExchangeError::Truncated)
        );
        let mut down = matches!(result, Err(ExchangeError::Unsent));
        if lost {
            down = self.is_refused().await;
        }
        if down {
            self.pool.clear(self.addr);
        }
        let (reply, cold_ms) = match result {
            Ok((response, marks)) => {
                let cold_ms = marks.cold_ms;
                (reply(response, &marks), cold_ms)
            }
            Err(error) => (Err(refusal(&error)), None),
        };
        let result = match &reply {
            Ok(answer) => Ok(answer.status.as_u16()),
            Err(refusal) => Err(refusal.clone()),
        };
        let outcome = Outcome { result, load: None, cold_ms };
        Ran { reply, outcome, down }
    }

    async fn exchange(
        &self,
        call: &Call,
        dispatch: &Dispatch,
    ) -> Result<(Response, Marks), ExchangeError> {
        let age = if dispatch.idempotent { REUSE } else { REUSE_ONCE };
        loop {
            let mut open = self.pool.open(self.addr, age).await?;
            let fresh = open.fresh;
            let head = |out: &mut bytes::BytesMut| {
                self.head(out, call, dispatch);
            };
            let body = call.body.clone();
            match open.send(&call.method, body, head).await {
                Err(ExchangeError::Unsent) if !fresh => {}
                Err(error) => return Err(error),
                Ok(response) => return self.take(call, response, open).await,
            }
        }
    }

    /// Skips answers to earlier requests.
    async fn take(
        &self,
        call: &Call,
        first: Response,
        mut open: Exchange,
    ) -> Result<(Response, Marks), ExchangeError> {
        let mut response = first;
        for _ in 0..SKIPPED_MAX {
            let marks = self.dialect.marks(response.status, &response.headers);
            let other =
                marks.id.as_ref().is_some_and(|id| *id != call.asked.id);
            if !other {
                open.finish(response.keep_alive);
                return Ok((response, marks));
            }
            response = open.again().await?;
        }
        Err(ExchangeError::Lost)
    }

    fn head(
        &self,
        out: &mut bytes::BytesMut,
        call: &Call,
        dispatch: &Dispatch,
    ) {
        request_line(out, &call.method, &call.path);
        for (name, value) in &call.headers {
            let own = name.as_str().starts_with(PREFIX);
            if own || !is_passed_on(name) || self.dialect.replaces(name) {
                continue;
            }
            put_header(out, name.as_str(), value.as_bytes());
        }
        let sent = Sent {
            upstream: &dispatch.upstream,
            budget: dispatch.budget,
            origin: &dispatch.origin,
        };
        self.dialect.sent(out, sent);
    }

    /// Whether the upstream refuses connections.
    async fn is_refused(&self) -> bool {
        let connect = TcpStream::connect_addr(self.addr);
        matches!(timeout(CONNECT_LIMIT, connect).await, Ok(Err(_)))
    }
}

/// The reply that an answer stands for.
fn reply(mut response: Response, marks: &Marks) -> Reply {
    if marks.misdirected {
        let detail = "the upstream is another one or does not hold the key";
        return Err(Refusal::new(Reason::Fenced, detail));
    }
    if marks.refused {
        let detail = "the upstream did not run the request";
        let mut refusal = Refusal::new(Reason::Shed, detail);
        refusal.retry_after = Some(RETRY_SHED);
        return Err(refusal);
    }
    let encoded = response.headers.contains_key(header::CONTENT_ENCODING);
    if response.status.is_success() && (encoded || !marks.genuine) {
        let detail = "the answer does not come from the upstream";
        return Err(Refusal::new(Reason::AnswerCut, detail));
    }
    // These statuses promise that the request has not run.
    let promise = matches!(
        response.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if promise {
        let detail = "the answer does not say whether the request has run";
        return Err(Refusal::new(Reason::ConnectionLost, detail));
    }
    remove_connection_headers(&mut response.headers);
    let Response { status, headers, body, .. } = response;
    Ok(Answer { status, headers, body })
}

/// Time after which a caller that the upstream refused may come back, in
/// milliseconds: about the time of a request.
const RETRY_SHED: u32 = 250;

fn refusal(error: &ExchangeError) -> Refusal {
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
