//! Starts a stand-in, accepts its connections and serves them.

use crate::faults::DropConnection;
use crate::state::State;
use crate::{
    Counts, FaultSettings, Options, TargetGroup, admin, list_service, object_service, table_service,
};
use axum::Router;
use axum::body::Body;
use axum::response::Response;
use eyre::{WrapErr, ensure};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tower::Service;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Addresses to listen on; port 0 lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listen {
    /// All services share one address.
    Together(SocketAddr),
    /// Each service has its own address; each address accepts admin calls.
    Apart {
        /// Address of the table service.
        table: SocketAddr,
        /// Address of the object store.
        objects: SocketAddr,
        /// Address of the host list.
        list: SocketAddr,
    },
}

/// A running stand-in. Dropping it closes its listeners and connections.
#[derive(Debug)]
pub struct RunningPlatform {
    /// Address on which the table service listens.
    pub table_addr: SocketAddr,
    /// Address on which the object store listens.
    pub objects_addr: SocketAddr,
    /// Address on which the host list listens.
    pub list_addr: SocketAddr,
    state: Arc<State>,
    tasks: JoinSet<()>,
}

impl RunningPlatform {
    /// Replaces the faults of the services that the settings name.
    pub fn set_faults(&self, settings: FaultSettings) {
        admin::apply_faults(&self.state, settings);
    }

    /// Adds, changes or removes entries of the host list.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid label or address; nothing is registered then.
    pub fn register(&self, groups: &[TargetGroup]) -> Result<(), String> {
        admin::register_groups(&self.state, groups)
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns when no listener runs any more.
    pub async fn stopped(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts a stand-in and returns once it listens on all addresses.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or is not a loopback address.
pub async fn spawn(options: &Options) -> eyre::Result<RunningPlatform> {
    let state = Arc::new(State::new(
        &options.table,
        &options.bucket,
        options.list_lag_ms,
    ));
    let table = table_service::routes();
    let objects = object_service::routes(&options.bucket);
    let list = list_service::routes();
    let mut tasks = JoinSet::new();
    let mut listen = async |addr, routes: Router<Arc<State>>| {
        let router = routes.merge(admin::routes()).with_state(Arc::clone(&state));
        listen_on(addr, router, &mut tasks).await
    };
    let (table_addr, objects_addr, list_addr) = match options.listen {
        Listen::Together(addr) => {
            let addr = listen(addr, table.merge(objects).merge(list)).await?;
            (addr, addr, addr)
        }
        Listen::Apart {
            table: table_addr,
            objects: objects_addr,
            list: list_addr,
        } => (
            listen(table_addr, table).await?,
            listen(objects_addr, objects).await?,
            listen(list_addr, list).await?,
        ),
    };
    Ok(RunningPlatform {
        table_addr,
        objects_addr,
        list_addr,
        state,
        tasks,
    })
}

async fn listen_on(
    addr: SocketAddr,
    router: Router,
    tasks: &mut JoinSet<()>,
) -> eyre::Result<SocketAddr> {
    ensure!(
        addr.ip().is_loopback(),
        "cannot listen on {addr}: not a loopback address"
    );
    let listener = TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("cannot listen on {addr}"))?;
    let bound = listener.local_addr()?;
    tasks.spawn(accept(listener, router));
    Ok(bound)
}

async fn accept(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, router.clone()));
                }
                Err(error) => {
                    // Running out of file descriptors is temporary; the delay keeps the loop from spinning.
                    tracing::warn!(%error, "standin-platform: accepting a connection failed; trying again");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, router: Router) {
    let service = service_fn(move |request| handle_request(router.clone(), request));
    // Not logged: a connection that a fault closes ends with an error.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Handles one request; an error closes the connection without a response.
async fn handle_request(
    mut router: Router,
    request: hyper::Request<Incoming>,
) -> Result<Response, std::io::Error> {
    // Runs the call in its own task, so that a write whose caller has given up still takes effect.
    let call = tokio::spawn(async move { router.call(request.map(Body::new)).await });
    let response = match call.await {
        Ok(Ok(response)) => response,
        Ok(Err(never)) => match never {},
        Err(error) => return Err(std::io::Error::other(error)),
    };
    if response.extensions().get::<DropConnection>().is_some() {
        return Err(std::io::Error::other("connection closed by a fault"));
    }
    Ok(response)
}
