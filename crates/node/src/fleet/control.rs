//! The addresses for readiness, announcements and metrics.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use lagoondyke_core::fleet::event::Event;
use lagoondyke_core::fleet::upstream::Grant;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_http::common::request::RequestHead;

use crate::fleet::ports::Announced;
use crate::fleet::shell::Shell;
use crate::run::accept;
use crate::wire::{
    Conn, keeps_alive, put_header, put_number, request_framing,
};

/// Idle time of a connection.
const IDLE: Duration = Duration::from_secs(30);

/// Largest announcement, in bytes.
const BODY_MAX: usize = 256 * 1024;

/// Time for the answer to an announcement. The upstream waits for a second.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Serves connections until the process ends.
pub fn listen(listener: TcpListener, shell: &Shell) {
    let shell = shell.clone();
    monoio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let shell = shell.clone();
            monoio::spawn(async move { serve(stream, &shell).await });
        }
    });
}

async fn serve(stream: TcpStream, shell: &Shell) {
    let mut conn = Conn::new(stream);
    loop {
        let head = timeout(IDLE, conn.request_head()).await;
        let Ok(Ok(Some(head))) = head else { return };
        let Ok(framing) = request_framing(&head.headers) else { return };
        let body = timeout(IDLE, conn.body(framing, BODY_MAX)).await;
        let Ok(Ok(body)) = body else { return };
        let keep = keeps_alive(head.version, &head.headers);
        let (status, body) = answer(shell, &head, &body).await;
        let out = conn.out();
        let reason = status.canonical_reason().unwrap_or("Unknown");
        let line = format!("HTTP/1.1 {} {reason}\r\n", status.as_str());
        out.extend_from_slice(line.as_bytes());
        put_header(out, "content-type", media(&head).as_bytes());
        put_number(out, "content-length", body.len() as u64);
        if !keep {
            put_header(out, "connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&body);
        if conn.flush().await.is_err() || !keep {
            return;
        }
    }
}

fn media(head: &RequestHead) -> &'static str {
    if head.uri.path() == METRICS { "text/plain" } else { "application/json" }
}

async fn answer(
    shell: &Shell,
    head: &RequestHead,
    body: &[u8],
) -> (StatusCode, Bytes) {
    let path = head.uri.path_and_query();
    let path = path.map_or("/", http::uri::PathAndQuery::as_str);
    if shell.dialect().is_ready(path) {
        let ready = shell.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return (status, Bytes::new());
    }
    if path == METRICS {
        return (StatusCode::OK, shell.render().into());
    }
    match shell.dialect().announced(path, body) {
        None => (StatusCode::NOT_FOUND, Bytes::new()),
        Some(Ok(announced)) => announce(shell, announced).await,
        Some(Err(error)) => {
            shell.notices().malformed("announcement", &error);
            (StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

async fn announce(shell: &Shell, announced: Announced) -> (StatusCode, Bytes) {
    let said = match announced {
        Announced::Left(id) => {
            shell.post(Event::UpstreamLeft { id });
            return (StatusCode::OK, Bytes::from_static(b"{}"));
        }
        Announced::State(said) => said,
    };
    let grant = timeout(ANSWER_LIMIT, shell.announce(*said)).await;
    let grant: Grant = match grant {
        Ok(Ok(grant)) => grant,
        _ => return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    (StatusCode::OK, shell.dialect().granted(&grant))
}
