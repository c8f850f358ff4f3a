//! Parses the command line.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The load and experiment tool of heatherhinge.
///
/// Exit status: 0 when everything ran and the share of errors is within its bound, 1 when the
/// command line is wrong, 2 when the tool failed, and 3 when the run had more errors than
/// --max-bad-permille allows.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Sends open-loop load over HTTP and reports latencies from the intended send times
    #[bpaf(command)]
    Run(#[bpaf(external(run_options))] RunOptions),
    /// Compares decisions in virtual time, with the same arrivals and seeds for each
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment))] Experiment),
}

/// Options of a run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct RunOptions {
    /// Profile, an INI file such as profiles/vatuwaqa.ini
    #[bpaf(argument("FILE"))]
    pub(crate) profile: PathBuf,
    #[bpaf(external)]
    pub(crate) goal: Goal,
    /// Also sends every second request directly to this target and reports the added time
    #[bpaf(argument("IP:PORT"))]
    pub(crate) compare_direct: Option<SocketAddr>,
    /// Availability zone sent in requests for addresses
    #[bpaf(argument("NAME"))]
    pub(crate) zone: Option<String>,
    /// Seed of the arrivals
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Factor applied to all rates of the profile
    #[bpaf(argument("NUMBER"), fallback(1.0), display_fallback)]
    pub(crate) rate_factor: f64,
    /// Length of the run in seconds
    #[bpaf(argument("S"), fallback(10.0), display_fallback)]
    pub(crate) duration_s: f64,
    /// Most requests of the run
    #[bpaf(argument("COUNT"), fallback(1_000_000), display_fallback)]
    pub(crate) max_requests: u64,
    /// Most requests in flight; further ones are counted as not sent
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    pub(crate) max_in_flight: usize,
    /// Largest share of requests without a good response, in thousandths
    #[bpaf(argument("PERMILLE"), fallback(1_000), display_fallback)]
    pub(crate) max_bad_permille: u64,
    #[bpaf(external)]
    pub(crate) output: Output,
}

/// Destination of the load.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Goal {
    /// Sends to this address only, such as a target
    Direct {
        /// Sends to this address only, such as a target
        #[bpaf(argument("IP:PORT"))]
        direct: SocketAddr,
    },
    /// Requests addresses from these entry hosts and spreads the load over them
    Entry {
        /// Entry host to request addresses from; may be repeated
        #[bpaf(
            argument("IP:PORT"),
            some("--direct or at least one --entry is needed")
        )]
        entry: Vec<SocketAddr>,
    },
}

/// Output files, besides the Markdown on standard output.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Output {
    /// Writes the results as JSON
    #[bpaf(argument("FILE"))]
    pub(crate) json: Option<PathBuf>,
    /// Writes a plot as SVG
    #[bpaf(argument("FILE"))]
    pub(crate) svg: Option<PathBuf>,
}

/// The experiments.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Experiment {
    /// Compares the policies for choosing a target
    #[bpaf(command)]
    Policy(#[bpaf(external(experiment_options))] ExperimentOptions),
    /// Compares retry budgets with immediate retries and with no retries, in an outage
    #[bpaf(command)]
    Retry(#[bpaf(external(experiment_options))] ExperimentOptions),
}

/// Options of an experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ExperimentOptions {
    /// Seed of arrivals, service times and choices
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Virtual time of each case in seconds, at least 6
    #[bpaf(argument("S"), fallback(12), display_fallback)]
    pub(crate) duration_s: u64,
    #[bpaf(external)]
    pub(crate) output: Output,
}

impl RunOptions {
    pub(crate) fn duration(&self) -> eyre::Result<Duration> {
        Duration::try_from_secs_f64(self.duration_s)
            .map_err(|error| eyre::eyre!("load: --duration-s: {error}"))
    }
}

pub(crate) fn parse() -> Command {
    command().run()
}
