//! Explains a request or a move from the records of all hosts that respond.

use crate::fleet_status::FleetStatus;
use crate::{CallError, Context, EntryClient, Output, Subject};
use futures_util::future::join_all;
use heatherhinge_records::admin::ExplainResponse;
use heatherhinge_records::{Record, explain as explain_records};
use heatherhinge_types::Code;
use serde_json::json;
use std::net::SocketAddr;

/// Fetches the records of every known host and explains them in time order.
pub(crate) async fn explain(
    context: &Context,
    subject: &Subject,
    entries: &[SocketAddr],
) -> Output {
    let client = EntryClient::new(context.limits);
    let path = match subject {
        Subject::Request(id) => format!("request/{id}"),
        Subject::Move(id) => format!("move/{id}"),
    };
    let addrs = FleetStatus::fetch(&client, entries).await.addrs();
    let calls = addrs
        .into_iter()
        .map(async |addr| (addr, client.explain(addr, &path).await));
    let (mut records, mut missing, mut has_response) = (Vec::new(), Vec::new(), false);
    for (addr, response) in join_all(calls).await {
        match host_records(response) {
            Ok(host_records) => {
                has_response = true;
                records.extend(host_records);
            }
            Err(error) => missing.push((addr, error)),
        }
    }
    if !has_response {
        return no_response(&missing);
    }
    explanation(&records, &missing)
}

/// Returns the records of a response; the refusal `RecordNotFound` counts as no records.
fn host_records(response: Result<ExplainResponse, CallError>) -> Result<Vec<Record>, CallError> {
    match response {
        Ok(response) => Ok(response.records),
        Err(CallError::Refused(r)) if r.code == Code::RecordNotFound.number() => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}

fn no_response(missing: &[(SocketAddr, CallError)]) -> Output {
    let reasons: Vec<String> = missing.iter().map(|(a, e)| format!("{a}: {e}.")).collect();
    Output::unknown(&format!("No entry host responded. {}", reasons.join(" ")))
}

fn explanation(records: &[Record], missing: &[(SocketAddr, CallError)]) -> Output {
    let notes: String = missing
        .iter()
        .map(|(addr, error)| {
            format!("\nHost at {addr}: {error}; its records are missing unless they are above.\n")
        })
        .collect();
    if records.is_empty() && missing.is_empty() {
        return Output::refused(Code::RecordNotFound, &[]);
    }
    if records.is_empty() {
        return Output::unknown(&format!("No record was found.{notes}"));
    }
    let addrs: Vec<String> = missing.iter().map(|(addr, _)| addr.to_string()).collect();
    Output::ok(
        format!("{}{notes}", explain_records(records)),
        json!({ "records": records, "without_answer": addrs }),
    )
}
