//! Interfaces between the shell and its adapters.
//!
//! The shell reaches the store, the upstream and other nodes only through
//! these traits. A call that waits for a result returns a boxed future, which
//! runs on the shell's thread; dropping the future cancels the call.

use std::pin::Pin;
use std::rc::Rc;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::control::Control as Message;
use lagoondyke_core::effect::StoreOp;
use lagoondyke_core::event::{Event, StoreOutcome};
use lagoondyke_core::id::{Fence, NodeAddr, Shard};

use crate::message::{Call, Reply};

/// A boxed future that runs on the shell's thread, hence is not `Send`.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// Receives an event and processes it before it returns, unless the shell is
/// already processing another event.
pub type OnEvent = Rc<dyn Fn(Event)>;

/// The object store.
pub trait Store {
    /// Performs one operation. A failure is an outcome, not an error.
    fn call(&self, op: StoreOp) -> Local<StoreOutcome>;
}

/// A request to send to the upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request with its headers and body.
    pub call: Rc<Call>,
    /// The key's shard and its fencing token; `None` for services that are not
    /// partitioned by key.
    pub fence: Option<(Shard, Fence)>,
    /// The caller's deadline.
    pub deadline: Millis,
    /// W3C `traceparent` of this hop; `None` if the request is not traced.
    pub trace: Option<String>,
}

/// The upstream beside this node.
pub trait Upstream {
    /// Sends a request and returns the answer. Dropping the future cancels the
    /// request at the upstream.
    fn run(&self, dispatch: Dispatch) -> Local<Reply>;

    /// Installs the shards' fencing tokens at the upstream, valid until
    /// `until`. They replace the previous grant as a whole. Requests under a
    /// token that is not installed yet wait for its installation.
    fn grant(&self, shards: Vec<(Shard, Fence)>, until: Millis);

    /// Starts to report `Event::UpstreamDown` and `Event::UpstreamUp`. A
    /// crash is reported before the failures of the requests that it cut
    /// off, so that the reducer still has them in flight when it learns of
    /// the crash.
    fn watch(&self, on_event: OnEvent);
}

/// A request to forward to a peer.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Address of the peer.
    pub to: NodeAddr,
    /// The request with its headers and body.
    pub call: Rc<Call>,
    /// The caller's deadline.
    pub deadline: Millis,
    /// W3C `traceparent` of this hop; `None` if the request is not traced.
    pub trace: Option<String>,
}

/// Connections to other nodes, for forwarded requests and configuration
/// documents.
pub trait Peers {
    /// Forwards a request and returns the peer's answer. Dropping the future
    /// cancels the request at the peer.
    fn forward(&self, forward: Forward) -> Local<Reply>;

    /// Fetches the operator's configuration document and its store version;
    /// `None` if the peer does not answer.
    fn fetch_config(
        &self,
        from: NodeAddr,
        operator: String,
    ) -> Local<Option<(u64, Vec<u8>)>>;
}

/// The socket for control datagrams to other nodes.
pub trait Control {
    /// Sends a datagram without waiting. It is dropped if the socket cannot
    /// take it.
    fn send(&self, to: NodeAddr, message: &Message);
}
