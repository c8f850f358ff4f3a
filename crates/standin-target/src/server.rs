//! Accepts the connections of a target and serves them until it crashes or is dropped.

use crate::body::NotifyingBody;
use crate::handler::router;
use crate::worker::{ListenerState, Worker};
use crate::{CounterSnapshot, Execution, Faults, TargetConfig};
use axum::Router;
use axum::body::Body;
use axum::response::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tower::Service;

/// Interval between attempts to listen again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// A running target. Dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Target {
    worker: Arc<Worker>,
    addr: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Target {
    /// Starts a target and returns once it listens.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the target cannot listen on the address.
    pub async fn bind(config: TargetConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(config.addr).await?;
        let addr = listener.local_addr()?;
        let worker = Worker::new(config, addr.port());
        let accept_task = tokio::spawn(accept_loop(Arc::clone(&worker), listener, addr));
        Ok(Self {
            worker,
            addr,
            accept_task,
        })
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the settings that the target was started with.
    #[must_use]
    pub fn config(&self) -> &TargetConfig {
        &self.worker.config
    }

    /// Replaces the faults in force, as `POST /admin/faults` does.
    pub fn set_faults(&self, faults: Faults) {
        self.worker.set_faults(faults);
    }

    /// Returns a copy of the execution log, in the order of the starts.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.worker.log.all()
    }

    /// Returns the current values of the counters.
    #[must_use]
    pub fn counters(&self) -> CounterSnapshot {
        self.worker.counters.snapshot()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.accept_task.abort();
        // Ends the connections, whose tasks are not children of the accept task.
        self.worker
            .listener_state
            .send_modify(|listener_state| listener_state.generation += 1);
    }
}

async fn accept_loop(worker: Arc<Worker>, mut listener: TcpListener, addr: SocketAddr) {
    let routes = router(Arc::clone(&worker));
    let mut listener_state = worker.listener_state.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    // Cloned here, so that the task also sees a crash that happens before it runs.
                    let connection = serve(Arc::clone(&worker), routes.clone(), stream, listener_state.clone());
                    tokio::spawn(connection);
                }
            }
            changed = listener_state.changed() => {
                if changed.is_err() {
                    return;
                }
                drop(listener);
                let down_ms = listener_state.borrow_and_update().down_ms;
                tokio::time::sleep(Duration::from_millis(down_ms)).await;
                listener = listen_again(addr).await;
            }
        }
    }
}

/// Listens on the port again, with retries because another process may hold it for a moment.
async fn listen_again(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

async fn serve(
    worker: Arc<Worker>,
    routes: Router,
    stream: TcpStream,
    mut listener_state: watch::Receiver<ListenerState>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let done = Arc::new(Notify::new());
    let service = service_fn(|request: http::Request<Incoming>| {
        handle_request(routes.clone(), request, Arc::clone(&done))
    });
    let builder = Builder::new(TokioExecutor::new());
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            // An error means that the target was dropped, which ends the connection as well.
            _ = listener_state.changed() => return,
            () = done.notified() => {
                // The response head is already written and did not announce the close.
                if worker.faults().close_after_answer {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Handles one request and notifies `done` when the connection has read the whole response body.
async fn handle_request(
    mut routes: Router,
    request: http::Request<Incoming>,
    done: Arc<Notify>,
) -> Result<Response, Infallible> {
    let response = routes.call(request.map(Body::new)).await?;
    Ok(response.map(|inner| Body::new(NotifyingBody { inner, done })))
}
