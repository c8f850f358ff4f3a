//! Parses the command line of the stand-in.

use crate::Listen;
use bpaf::{OptionParser, Parser, construct, long};
use std::net::{Ipv4Addr, SocketAddr};

/// Options of one stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Addresses to listen on.
    pub listen: Listen,
    /// Name of the only table.
    pub table: String,
    /// Name of the only bucket, which must be neither `admin` nor `hosts`.
    pub bucket: String,
    /// Initial age of the host list that is served, in milliseconds; 0 serves the current list.
    pub list_lag_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: Listen::Together(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            table: "heatherhinge".to_owned(),
            bucket: "heatherhinge".to_owned(),
            list_lag_ms: 0,
        }
    }
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<Options> {
    let listen = listen();
    let table = long("table-name")
        .help("Name of the only table; calls that name another table are rejected")
        .argument("NAME")
        .fallback("heatherhinge".to_owned())
        .display_fallback();
    let bucket = long("bucket")
        .help("Name of the only bucket of the object store; neither admin nor hosts")
        .argument("NAME")
        .guard(
            |name: &String| {
                !matches!(name.as_str(), "" | "admin" | "hosts")
                    && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
            },
            "the bucket name must consist of letters, digits and hyphens, and must not be admin or hosts",
        )
        .fallback("heatherhinge".to_owned())
        .display_fallback();
    let list_lag_ms = long("list-lag-ms")
        .help("Age of the host list that is served, in milliseconds; POST /admin/faults changes it")
        .argument("MS")
        .fallback(0)
        .display_fallback();
    construct!(Options {
        listen,
        table,
        bucket,
        list_lag_ms
    })
    .to_options()
    .descr("Stand-in for the platform's table service, object store and host list.")
    .footer("It listens on loopback addresses only and keeps everything in memory.")
}

fn listen() -> impl Parser<Listen> {
    let together = long("listen")
        .help("Address shared by all services, for example 127.0.0.1:8100")
        .argument("ADDR")
        .map(Listen::Together);
    let table = long("table-listen")
        .help("Address of the table service")
        .argument("ADDR");
    let objects = long("objects-listen")
        .help("Address of the object store")
        .argument("ADDR");
    let list = long("list-listen")
        .help("Address of the host list")
        .argument("ADDR");
    let apart = construct!(Listen::Apart {
        table,
        objects,
        list
    });
    construct!([together, apart])
}
