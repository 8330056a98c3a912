//! The HTTP server for readiness checks, announcements and metrics, which
//! have addresses of their own. Each address serves all three.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use lagoondyke_core::fleet::upstream::Grant;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_http::common::request::RequestHead;

use crate::fleet::ports::UpstreamMessage;
use crate::fleet::shell::Shell;
use crate::run::accept;
use crate::wire::{
    Conn, keeps_alive, put_header, put_number, request_framing,
};

/// Time allowed to receive a request head, counted from the last response,
/// and the same again for its body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body of a request.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Time allowed for the answer to an announcement. The upstream waits for a
/// second.
const GRANT_TIMEOUT: Duration = Duration::from_millis(800);

const METRICS_PATH: &str = "/metrics";

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
        let head = timeout(IDLE_TIMEOUT, conn.request_head()).await;
        let Ok(Ok(Some(head))) = head else { return };
        let Ok(framing) = request_framing(&head.headers) else { return };
        let body =
            timeout(IDLE_TIMEOUT, conn.body(framing, MAX_BODY_BYTES)).await;
        let Ok(Ok(body)) = body else { return };
        let keep_alive = keeps_alive(head.version, &head.headers);
        let (status, body) = respond(shell, &head, &body).await;
        let out = conn.out();
        let reason = status.canonical_reason().unwrap_or("Unknown");
        let line = format!("HTTP/1.1 {} {reason}\r\n", status.as_str());
        out.extend_from_slice(line.as_bytes());
        put_header(out, "content-type", media_type(&head).as_bytes());
        put_number(out, "content-length", body.len() as u64);
        if !keep_alive {
            put_header(out, "connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&body);
        if conn.flush().await.is_err() || !keep_alive {
            return;
        }
    }
}

fn media_type(head: &RequestHead) -> &'static str {
    if head.uri.path() == METRICS_PATH {
        "text/plain"
    } else {
        "application/json"
    }
}

async fn respond(
    shell: &Shell,
    head: &RequestHead,
    body: &[u8],
) -> (StatusCode, Bytes) {
    let path = head.uri.path_and_query();
    let path = path.map_or("/", http::uri::PathAndQuery::as_str);
    if shell.dialect().is_readiness_path(path) {
        let ready = shell.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return (status, Bytes::new());
    }
    if path == METRICS_PATH {
        return (StatusCode::OK, shell.render_metrics().into());
    }
    match shell.dialect().decode_message(path, body) {
        None => (StatusCode::NOT_FOUND, Bytes::new()),
        Some(Ok(message)) => handle_message(shell, message).await,
        Some(Err(error)) => {
            shell.notice_log().malformed("announcement", &error);
            (StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

async fn handle_message(
    shell: &Shell,
    message: UpstreamMessage,
) -> (StatusCode, Bytes) {
    let announcement = match message {
        UpstreamMessage::Left(id) => {
            return match shell.report_exit(id).await {
                Ok(true) => (StatusCode::OK, Bytes::from_static(b"{}")),
                _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            };
        }
        UpstreamMessage::Announcement(announcement) => announcement,
    };
    let grant = timeout(GRANT_TIMEOUT, shell.announce(*announcement)).await;
    let grant: Grant = match grant {
        Ok(Ok(grant)) => grant,
        _ => return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    (StatusCode::OK, shell.dialect().encode_grant(&grant))
}
