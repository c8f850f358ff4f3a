//! `heatherhinge-entryd`: the daemon of an entry host.

use bpaf::Bpaf;
use eyre::WrapErr;
use heatherhinge_entryd::EntryHost;
use heatherhinge_settings::{EntrySettings, LogFormat};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

/// Serves callers as one entry host of heatherhinge.
///
/// SIGTERM and SIGINT begin a planned stop: callers are no longer sent here, requests in flight
/// are finished, and the partitions of the host are handed to the others.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file in INI form; docs/settings.md lists its fields
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings file, print every problem and exit
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match EntrySettings::open(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(1);
        }
    };
    if options.check {
        println!("{}: no problems", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherhinge-entryd: {error:#}");
            ExitCode::from(1)
        }
    }
}

fn run(settings: EntrySettings) -> eyre::Result<()> {
    start_log(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .wrap_err("the runtime cannot be started")?;
    runtime.block_on(async {
        let host = EntryHost::spawn(settings).await?;
        let (mut terminate, mut interrupt) = (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("entryd: a planned stop begins");
        host.stop().await;
        tracing::info!("entryd: stopped");
        Ok(())
    })
}

fn start_log(settings: &EntrySettings) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(settings.log_level.as_str())?;
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false);
    let started = match settings.log_format {
        LogFormat::Text => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
    started.map_err(|error| eyre::eyre!("the log cannot be started: {error}"))
}
