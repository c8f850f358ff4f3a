//! What an entry host needs of the platform that it runs on.

use heatherhinge_orders::{Order, OrderKey, TargetEntry};
use heatherhinge_steering::{MoveReport, ReportedState, TableUpdate};
use heatherhinge_types::Name;
use http::HeaderName;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

/// A table of the platform's store that hosts keep a copy of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredTable {
    /// Orders of operators.
    Orders,
    /// Registrations of targets.
    Targets,
}

impl fmt::Display for StoredTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Orders => "orders",
            Self::Targets => "targets",
        })
    }
}

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it refused, or it could not be reached.
    Unavailable(String),
    /// No answer came; a write may have taken effect, or may do so later.
    OutcomeUnknown(String),
    /// The store no longer has the history that a watch asked for.
    HistoryLost,
    /// The answer cannot be read.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "the store is not available: {cause}"),
            Self::OutcomeUnknown(cause) => write!(f, "the store did not answer: {cause}"),
            Self::HistoryLost => f.write_str("the store no longer has the history asked for"),
            Self::Malformed(cause) => write!(f, "the store's answer cannot be read: {cause}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A row that cannot be used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedRow(pub String);

impl fmt::Display for MalformedRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for MalformedRow {}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written and has this version.
    Written(u64),
    /// The condition did not hold.
    Conflict,
}

/// Names of the headers between callers, entry hosts and targets.
#[derive(Clone, Debug)]
pub struct WireHeaders {
    /// Id of one attempt of a caller; targets echo it.
    pub request_id: HeaderName,
    /// Time left in milliseconds.
    pub deadline_ms: HeaderName,
    /// Signature of a target on its answer.
    pub signature: HeaderName,
    /// Id of the only target that may run a request.
    pub expected_target: HeaderName,
    /// Load report of a target.
    pub load: HeaderName,
    /// States that a target did not run the request.
    pub not_run: HeaderName,
    /// Id of the target that answers.
    pub target_id: HeaderName,
    /// How much longer a target stays cold, in milliseconds.
    pub cold_ms: HeaderName,
}

/// The platform: its store and the encoding of everything that it says.
///
/// Implementations translate and decide nothing.
pub trait Platform: Send + Sync + 'static {
    /// Reads a whole table.
    fn read(
        &self,
        table: StoredTable,
    ) -> impl Future<Output = Result<TableUpdate, StoreError>> + Send;

    /// Reads what changed after a version; waits for a change for up to `wait_ms`.
    fn watch(
        &self,
        table: StoredTable,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<TableUpdate, StoreError>> + Send;

    /// Registers this host's address for other hosts.
    fn put_host(
        &self,
        host: &Name,
        peer_addr: SocketAddr,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists the registered addresses of hosts.
    fn read_hosts(&self) -> impl Future<Output = Result<Vec<SocketAddr>, StoreError>> + Send;

    /// Reads the report of a service's move.
    fn read_report(
        &self,
        service: &Name,
    ) -> impl Future<Output = Result<Option<MoveReport>, StoreError>> + Send;

    /// Writes the report of a move if the row has the expected version, 0 for no row.
    fn write_report(
        &self,
        service: &Name,
        to: &Name,
        state: ReportedState,
        expected_version: u64,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Says what an order's row is about, or `None` if the key is none that hosts know.
    fn order_key(&self, key: &Name) -> Option<OrderKey>;

    /// Decodes the row of an order.
    ///
    /// # Errors
    ///
    /// Says which field cannot be used; the order before stays in force.
    fn order(&self, key: &OrderKey, content: &[u8]) -> Result<Order, MalformedRow>;

    /// Decodes the registration of a target.
    ///
    /// # Errors
    ///
    /// Says which field cannot be used; such a row names no target.
    fn target(&self, key: &Name, content: &[u8]) -> Result<TargetEntry, MalformedRow>;

    /// Returns whether two registrations of a target say the same but for its sign of life.
    fn is_same_target(&self, before: &[u8], after: &[u8]) -> bool;

    /// Returns the names of headers.
    fn headers(&self) -> &WireHeaders;
}
