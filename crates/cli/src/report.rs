//! Implements `report`: lists the moves that are done, rolled back or late.

use crate::run::first_response;
use crate::status::move_state_text;
use crate::table::{row, table};
use crate::{Context, EntryClient, Output};
use heatherhinge_blackboard::MoveState;
use heatherhinge_bundle::format_wall_time_ms;
use heatherhinge_records::admin::ReportResponse;
use serde_json::json;
use std::net::SocketAddr;

/// Fetches the reports on moves. They are rows of the platform's store, so every host returns the
/// same ones.
pub(crate) async fn report(context: &Context, entries: &[SocketAddr]) -> Output {
    let client = EntryClient::new(context.limits);
    match first_response(entries, |addr| client.report(addr)).await {
        Ok(response) => Output::ok(
            report_text(&response),
            serde_json::to_value(&response).unwrap_or_else(|_| json!({})),
        ),
        Err(output) => output,
    }
}

fn report_text(response: &ReportResponse) -> String {
    let count = |state| response.moves.iter().filter(|m| m.state == state).count();
    let mut text = format!(
        "Moves: {} done, {} taken back, {} late.\n",
        count(MoveState::Done),
        count(MoveState::TakenBack),
        count(MoveState::Late)
    );
    let mut rows = vec![row(&["TIME", "SERVICE", "MOVE", "STATE", "EVIDENCE"])];
    let mut moves: Vec<_> = response.moves.iter().collect();
    moves.sort_by_key(|report| report.at_wall_ms);
    for report in moves {
        rows.push(row(&[
            &format_wall_time_ms(report.at_wall_ms),
            &report.service,
            &report.move_id,
            move_state_text(report.state),
            &report.evidence,
        ]));
    }
    if rows.len() > 1 {
        text.push('\n');
        text.push_str(&table(&rows));
    }
    text
}
