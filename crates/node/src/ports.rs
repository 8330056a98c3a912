//! The borders of the shell.
//!
//! The shell knows the store, the upstream, its peers and the control
//! datagrams only through these traits. Each call returns a boxed future
//! that runs on the shell's thread; dropping the future cancels the call.

use std::pin::Pin;
use std::rc::Rc;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::control::Control as Message;
use lagoondyke_core::effect::StoreOp;
use lagoondyke_core::event::{Event, StoreOutcome};
use lagoondyke_core::id::{Fence, NodeAddr, Shard};

use crate::message::{Call, Reply};

/// A future that runs on the shell's thread.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// Takes an event at once, before the caller continues.
pub type Report = Rc<dyn Fn(Event)>;

/// The object store.
pub trait Store {
    /// Performs one call.
    fn call(&self, op: StoreOp) -> Local<StoreOutcome>;
}

/// A request for the upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub call: Rc<Call>,
    /// Fence and shard, for services that are partitioned by key.
    pub fence: Option<(Shard, Fence)>,
    /// When the caller's deadline passes.
    pub deadline: Millis,
    /// W3C trace context of this hop.
    pub trace: Option<String>,
}

/// The upstream beside this node.
pub trait Upstream {
    /// Runs a request. Dropping the future cancels it at the upstream.
    fn run(&self, dispatch: Dispatch) -> Local<Reply>;

    /// Installs fences; replaces the previous grant as a whole. Requests
    /// under a fence that is not installed yet wait for it.
    fn grant(&self, shards: Vec<(Shard, Fence)>, until: Millis);

    /// Starts to report `Event::UpstreamDown` and `Event::UpstreamUp`. A
    /// crash is reported before the failures of requests that it cut off,
    /// so that the reducer still knows them as in flight.
    fn watch(&self, report: Report);
}

/// A request for a peer.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The receiver.
    pub to: NodeAddr,
    /// The request.
    pub call: Rc<Call>,
    /// When the caller's deadline passes.
    pub deadline: Millis,
    /// W3C trace context of this hop.
    pub trace: Option<String>,
}

/// Other nodes, for requests and documents.
pub trait Peers {
    /// Has a peer run a request. Dropping the future cancels it there.
    fn forward(&self, forward: Forward) -> Local<Reply>;

    /// Fetches the operator's document; `None` if the peer does not answer.
    fn fetch_config(
        &self,
        from: NodeAddr,
        operator: String,
    ) -> Local<Option<(u64, Vec<u8>)>>;
}

/// Other nodes, for control datagrams.
pub trait Control {
    /// Sends a datagram, or drops it if the socket cannot take it.
    fn send(&self, to: NodeAddr, message: &Message);
}
