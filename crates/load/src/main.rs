//! The binary `heatherhinge-load`: runs load or an experiment and writes the reports.

mod options;

use heatherhinge_load::experiment::{Fleet, run_policy_experiment, run_retry_experiment};
use heatherhinge_load::plot::Plot;
use heatherhinge_load::profile::Profile;
use heatherhinge_load::run::{AddressList, Direct, HttpClient, RunLimits, RunReport};
use heatherhinge_load::run::{compare, run_load};
use heatherhinge_types::Name;
use options::{Command, Experiment, Goal, Output, RunOptions};
use serde::Serialize;
use std::process::ExitCode;

/// Exit code of a run with more errors than allowed.
const EXIT_TOO_MANY_ERRORS: u8 = 3;
/// Exit code if the tool itself failed.
const EXIT_FAILED: u8 = 2;

/// Shortest virtual time of an experiment in seconds; in shorter ones no time is counted before the
/// fault.
const MIN_DURATION_S: u64 = 6;
/// Names of the fleets in the order of the reports.
const FLEETS: [&str; 2] = [Fleet::VATUWAQA.name, Fleet::KOZHIKODE.name];

fn main() -> ExitCode {
    let result = match options::parse() {
        Command::Run(options) => run(&options),
        Command::Experiment(experiment) => run_experiment(&experiment),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_TOO_MANY_ERRORS),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs load and returns whether the share of errors is within its bound.
#[tokio::main]
async fn run(options: &RunOptions) -> eyre::Result<bool> {
    let profile = read_profile(options)?;
    if !(options.rate_factor.is_finite() && options.rate_factor > 0.0) {
        eyre::bail!("load: --rate-factor must be above 0");
    }
    let limits = RunLimits {
        duration: options.duration()?,
        max_requests: options.max_requests,
        max_in_flight: options.max_in_flight,
    };
    let seed_and_rate = (options.seed, options.rate_factor);
    match (&options.goal, options.compare_direct) {
        (Goal::Direct { direct }, None) => {
            let reports = run_load(&profile, Direct(*direct), seed_and_rate, limits, 1).await?;
            finish(options, &reports)
        }
        (Goal::Direct { direct }, Some(target)) => {
            let result = compare(&profile, Direct(*direct), target, seed_and_rate, limits).await?;
            finish_comparison(options, &result)
        }
        (Goal::Entry { .. }, None) => {
            let hosts = entry_hosts(options).await?;
            let reports = run_load(&profile, hosts, seed_and_rate, limits, 1).await?;
            finish(options, &reports)
        }
        (Goal::Entry { .. }, Some(target)) => {
            let hosts = entry_hosts(options).await?;
            let result = compare(&profile, hosts, target, seed_and_rate, limits).await?;
            finish_comparison(options, &result)
        }
    }
}

fn read_profile(options: &RunOptions) -> eyre::Result<Profile> {
    let file = Name::from(options.profile.display().to_string());
    let text = std::fs::read_to_string(&options.profile)
        .map_err(|error| eyre::eyre!("load: {file}: {error}"))?;
    Profile::parse(&file, &text).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(|p| format!("load: {p}")).collect();
        eyre::eyre!(lines.join("\n"))
    })
}

async fn entry_hosts(options: &RunOptions) -> eyre::Result<AddressList> {
    let seeds = match &options.goal {
        Goal::Entry { entry } => entry.clone(),
        Goal::Direct { direct } => vec![*direct],
    };
    AddressList::spawn(HttpClient::default(), seeds, options.zone.clone()).await
}

fn finish(options: &RunOptions, reports: &[RunReport]) -> eyre::Result<bool> {
    for report in reports {
        println!("{}", report.to_markdown());
    }
    write_json(&options.output, &reports)?;
    if let Some(path) = &options.output.svg {
        RunReport::plot(reports, &["all"]).write_svg(path)?;
    }
    Ok(is_within_error_bound(options, reports))
}

fn finish_comparison(
    options: &RunOptions,
    result: &heatherhinge_load::run::Comparison,
) -> eyre::Result<bool> {
    println!("{}", result.to_markdown());
    write_json(&options.output, result)?;
    let reports = [result.through.clone(), result.direct.clone()];
    if let Some(path) = &options.output.svg {
        RunReport::plot(&reports, &["through entry hosts", "directly"]).write_svg(path)?;
    }
    Ok(is_within_error_bound(options, &reports))
}

fn is_within_error_bound(options: &RunOptions, reports: &[RunReport]) -> bool {
    reports
        .iter()
        .all(|report| report.bad_permille() <= options.max_bad_permille)
}

fn run_experiment(experiment: &Experiment) -> eyre::Result<bool> {
    match experiment {
        Experiment::Policy(options) => {
            let report =
                run_policy_experiment(options.seed, options.duration_s.max(MIN_DURATION_S))?;
            println!("{}", report.to_markdown());
            write_json(&options.output, &report)?;
            write_plots(&options.output, FLEETS, |fleet| report.plot(fleet))?;
        }
        Experiment::Retry(options) => {
            let report =
                run_retry_experiment(options.seed, options.duration_s.max(MIN_DURATION_S))?;
            println!("{}", report.to_markdown());
            write_json(&options.output, &report)?;
            write_plots(&options.output, FLEETS, |fleet| report.plot(fleet))?;
        }
    }
    Ok(true)
}

/// Writes one plot per fleet, with the name of the fleet in the file name.
fn write_plots(
    output: &Output,
    fleets: [&str; 2],
    plot: impl Fn(&str) -> Plot,
) -> eyre::Result<()> {
    let Some(path) = &output.svg else {
        return Ok(());
    };
    for fleet in fleets {
        let stem = path.file_stem().unwrap_or_default().to_string_lossy();
        let path = path.with_file_name(format!("{stem}-{fleet}.svg"));
        plot(fleet).write_svg(&path)?;
    }
    Ok(())
}

fn write_json<T: Serialize>(output: &Output, value: &T) -> eyre::Result<()> {
    if let Some(path) = &output.json {
        std::fs::write(path, serde_json::to_string_pretty(value)?)
            .map_err(|error| eyre::eyre!("load: {}: {error}", path.display()))?;
    }
    Ok(())
}
