//! Commands and their arguments.

use heatherhinge_types::Name;
use std::net::SocketAddr;
use std::path::PathBuf;

/// One run of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invocation {
    /// Whether the result is printed as one JSON object.
    pub is_json: bool,
    /// The command.
    pub command: Command,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Makes a signing key.
    KeyNew {
        /// File for the key, which must not exist yet.
        out: PathBuf,
        /// Id of the key, or `None` for one derived from the public key.
        id: Option<Name>,
    },
    /// Checks the text of a bundle.
    BundleCheck {
        /// The text.
        file: PathBuf,
        /// Entry hosts to ask for the bundle in force; may be empty.
        entries: Vec<SocketAddr>,
    },
    /// Signs the text of a bundle.
    BundleSign {
        /// The text.
        file: PathBuf,
        /// The file of the signing key.
        key: PathBuf,
        /// File for the envelope.
        out: PathBuf,
    },
    /// Submits an envelope.
    BundleSubmit {
        /// The envelope.
        envelope: PathBuf,
        /// Entry hosts to ask, in order.
        entries: Vec<SocketAddr>,
    },
    /// Shows which bundle each host has in force.
    BundleStatus {
        /// Entry hosts to ask.
        entries: Vec<SocketAddr>,
    },
    /// Lists the moves that are done, rolled back or late.
    Report {
        /// Entry hosts to ask, in order.
        entries: Vec<SocketAddr>,
    },
    /// Explains a request or a move from the records of the hosts.
    Explain {
        /// What to explain.
        subject: Subject,
        /// Entry hosts to ask.
        entries: Vec<SocketAddr>,
    },
    /// Explains a request from the log files of hosts.
    ExplainLog {
        /// Id of the request.
        id: Name,
        /// Log files, with one JSON object per line.
        files: Vec<PathBuf>,
    },
    /// Shows the state of the fleet as one host sees it.
    Status {
        /// Entry hosts to ask, in order.
        entries: Vec<SocketAddr>,
    },
}

/// The subject of an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request, by its id.
    Request(Name),
    /// A move, by its id.
    Move(Name),
}
