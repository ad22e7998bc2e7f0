//! The process of a stand-in server, which can be stopped and continued as by SIGSTOP and SIGCONT.

use std::pin::pin;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::task::Poll;

use bytes::Bytes;
use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::{Mutex, OwnedMutexGuard, watch};
use tokio::time::Instant;

/// The process of one incarnation of a server; clones share it.
#[derive(Clone, Debug)]
pub struct ServerProcess {
    state: Arc<watch::Sender<ProcessState>>,
    /// Held by a call that begins, and while the process is stopped. Calls get it in their order.
    turn: Arc<Mutex<()>>,
    /// The turn while the process is stopped.
    stopped_turn: Arc<std::sync::Mutex<Option<OwnedMutexGuard<()>>>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    Running,
    Stopped,
    Ended,
}

/// A call that has arrived at a server.
#[derive(Debug)]
pub struct ArrivedCall {
    /// All but the body.
    pub head: Parts,
    /// The body if it was read.
    body: Bytes,
    /// When the call arrived, from which the time of a grant counts.
    pub arrived_at: Instant,
    /// The body if it was not read; dropping it early would close the connection.
    _unread: Option<Incoming>,
}

impl Default for ServerProcess {
    fn default() -> Self {
        Self {
            state: Arc::new(watch::Sender::new(ProcessState::Running)),
            turn: Arc::default(),
            stopped_turn: Arc::default(),
        }
    }
}

impl ServerProcess {
    /// Stops the process: calls that arrive wait, and nothing is answered.
    ///
    /// Does nothing unless the process runs.
    pub async fn suspend(&self) {
        if self.is_running() {
            let turn = Arc::clone(&self.turn).lock_owned().await;
            let mut stopped_turn = self.lock_stopped_turn();
            if self.set_state(ProcessState::Running, ProcessState::Stopped) {
                *stopped_turn = Some(turn);
            }
        }
    }

    /// Continues the process: the calls that wait are carried out in the order of their arrival.
    ///
    /// Does nothing unless the process is stopped.
    pub fn resume(&self) {
        if self.set_state(ProcessState::Stopped, ProcessState::Running) {
            self.pass_turn();
        }
    }

    /// Ends the process; the calls that wait are lost.
    pub fn end(&self) {
        self.state.send_replace(ProcessState::Ended);
        self.pass_turn();
    }

    /// Waits until the process runs, forever if it has ended.
    pub async fn running(&self) {
        self.reach(ProcessState::Running).await;
    }

    /// Carries out a call after all that arrived before it have begun, while the process runs.
    ///
    /// The call begins with the first poll of its future. If it had to wait, a caller that gives up
    /// meanwhile does not undo it; otherwise it ends when its caller gives up.
    pub async fn carry_out<F>(&self, call: F) -> F::Output
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let turn = Arc::clone(&self.turn).lock_owned();
        if self.is_running() {
            let answer = begin(turn.await, call).await;
            self.running().await;
            return answer;
        }
        let process = self.clone();
        let carried_out = tokio::spawn(async move {
            let answered = async {
                let answer = begin(turn.await, call).await;
                process.running().await;
                answer
            };
            tokio::select! {
                biased;
                () = process.reach(ProcessState::Ended) => None,
                answer = answered => Some(answer),
            }
        });
        match carried_out.await {
            Ok(Some(answer)) => answer,
            // An ended process answers nothing.
            _ => std::future::pending().await,
        }
    }

    /// Sets the state if it is `from`, and returns whether it was.
    fn set_state(&self, from: ProcessState, to: ProcessState) -> bool {
        self.state.send_if_modified(|state| {
            let is_set = *state == from;
            if is_set {
                *state = to;
            }
            is_set
        })
    }

    async fn reach(&self, state: ProcessState) {
        // The sender is part of this process, so the channel stays open.
        drop(self.state.subscribe().wait_for(|current| *current == state).await);
    }

    fn is_running(&self) -> bool {
        *self.state.borrow() == ProcessState::Running
    }

    fn pass_turn(&self) {
        *self.lock_stopped_turn() = None;
    }

    fn lock_stopped_turn(&self) -> MutexGuard<'_, Option<OwnedMutexGuard<()>>> {
        self.stopped_turn.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Begins a call in its turn, and goes on with it when the turn has passed to the next one.
async fn begin<F: Future>(turn: OwnedMutexGuard<()>, call: F) -> F::Output {
    let mut call = pin!(call);
    let begun = futures::poll!(call.as_mut());
    drop(turn);
    match begun {
        Poll::Ready(answer) => answer,
        Poll::Pending => call.await,
    }
}

impl ArrivedCall {
    /// Reads a call, its body only if its path starts with `order_prefix`.
    pub async fn read(request: Request<Incoming>, order_prefix: &str) -> Self {
        let (head, body) = request.into_parts();
        let (body, unread) = if head.uri.path().starts_with(order_prefix) {
            (web::read_body(Request::new(body)).await, None)
        } else {
            (Bytes::new(), Some(body))
        };
        Self { head, body, arrived_at: Instant::now(), _unread: unread }
    }

    /// Returns the JSON body, or null if it cannot be parsed.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}
