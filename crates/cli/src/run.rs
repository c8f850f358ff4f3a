//! Dispatches commands and tries entry hosts in turn.

use crate::{
    CallError, Command, Context, Invocation, Output, check, explain, explain_log, key, report,
    status, submit,
};
use std::net::SocketAddr;

/// Executes a command and returns what to print.
pub async fn run(context: &Context, invocation: &Invocation) -> Output {
    match &invocation.command {
        Command::KeyNew { out, id } => key::new(context, out, id.clone()),
        Command::BundleCheck { file, entries } => check::check(context, file, entries).await,
        Command::BundleSign { file, key, out } => check::sign(file, key, out),
        Command::BundleSubmit { envelope, entries } => match entries_or_default(context, entries) {
            Ok(entries) => submit::submit(context, envelope, entries).await,
            Err(output) => output,
        },
        Command::BundleStatus { entries } => match entries_or_default(context, entries) {
            Ok(entries) => status::bundle_status(context, entries).await,
            Err(output) => output,
        },
        Command::Report { entries } => match entries_or_default(context, entries) {
            Ok(entries) => report::report(context, entries).await,
            Err(output) => output,
        },
        Command::Explain { subject, entries } => match entries_or_default(context, entries) {
            Ok(entries) => explain::explain(context, subject, entries).await,
            Err(output) => output,
        },
        Command::ExplainLog { id, files } => explain_log::explain(id, files),
        Command::Status { entries } => match entries_or_default(context, entries) {
            Ok(entries) => status::status(context, entries).await,
            Err(output) => output,
        },
    }
}

/// Returns the entry hosts of the arguments, or else those of the context.
fn entries_or_default<'a>(
    context: &'a Context,
    entries: &'a [SocketAddr],
) -> Result<&'a [SocketAddr], Output> {
    let entries = if entries.is_empty() {
        &context.default_entries
    } else {
        entries
    };
    if entries.is_empty() {
        return Err(Output::usage(
            "No entry host is named: give --entry ADDR or set HEATHERHINGE_ENTRY.",
        ));
    }
    Ok(entries)
}

/// Calls the entry hosts in order until one responds. A refusal that is not about the state of the
/// host is returned at once.
pub(crate) async fn first_response<T, F>(
    entries: &[SocketAddr],
    call: impl Fn(SocketAddr) -> F,
) -> Result<T, Output>
where
    F: Future<Output = Result<T, CallError>>,
{
    let mut reasons = Vec::new();
    for addr in entries {
        match call(*addr).await {
            Ok(response) => return Ok(response),
            Err(error) if error.is_host_specific() => reasons.push(format!("{addr}: {error}.")),
            Err(CallError::Refused(refusal)) => return Err(Output::from_refusal(&refusal)),
            Err(error) => reasons.push(format!("{addr}: {error}.")),
        }
    }
    Err(Output::unknown(&format!(
        "No entry host responded. {}",
        reasons.join(" ")
    )))
}
