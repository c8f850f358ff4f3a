//! The binary `heatherhinge-sizing`: measures what control costs one entry host.

use bpaf::Bpaf;
use heatherhinge_sizing::{Point, Size, Sweep, memory, memory_table, points_table, steps_table};
use serde::Serialize;
use std::path::{Path, PathBuf};

/// Measures what control costs one entry host, in virtual time and without sockets.
///
/// Markdown goes to standard output. Counts and bytes depend only on the size; times depend on
/// the machine and are medians.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Measures one size
    #[bpaf(command)]
    At {
        #[bpaf(external(size))]
        size: Size,
        /// Writes the results as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Varies hosts, targets and services in turn and fits lines
    #[bpaf(command)]
    Sweep {
        #[bpaf(external(size))]
        size: Size,
        /// Writes the results as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Measures the resident memory of the parts of one host and the bytes of single messages
    #[bpaf(command)]
    Memory {
        #[bpaf(external(size))]
        size: Size,
        /// Writes the results as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
}

fn size() -> impl bpaf::Parser<Size> {
    use bpaf::{Parser, construct, long};
    let number = |name: &'static str, help: &'static str, fallback: usize| {
        long(name)
            .help(help)
            .argument::<usize>("COUNT")
            .guard(|count| (1..=60_000).contains(count), "must be 1 to 60000")
            .fallback(fallback)
            .display_fallback()
    };
    let hosts = number("hosts", "Entry hosts", Size::DESIGN.hosts);
    let targets = number("targets", "Targets of all services", Size::DESIGN.targets);
    let services = number("services", "Services", Size::DESIGN.services);
    construct!(Size {
        hosts,
        targets,
        services
    })
}

fn main() -> eyre::Result<()> {
    match options().run() {
        Options::At { size, json } => {
            let point = Point::measure(size)?;
            println!("{}", points_table(std::slice::from_ref(&point)));
            println!("{}", steps_table(&point));
            write_json(json.as_deref(), &point)
        }
        Options::Sweep { size, json } => {
            let mut sweeps = Vec::new();
            for (dimension, sizes) in Size::sweeps(size) {
                let points = sizes.into_iter().map(Point::measure);
                let sweep = Sweep::new(dimension, points.collect::<eyre::Result<_>>()?);
                println!("{}", sweep.to_markdown());
                sweeps.push(sweep);
            }
            write_json(json.as_deref(), &sweeps)
        }
        Options::Memory { size, json } => {
            let parts = memory::measure(size)?;
            println!("{}", memory_table(&parts));
            write_json(json.as_deref(), &parts)
        }
    }
}

fn write_json<T: Serialize>(file: Option<&Path>, value: &T) -> eyre::Result<()> {
    if let Some(file) = file {
        std::fs::write(file, serde_json::to_vec_pretty(value)?)?;
    }
    Ok(())
}
