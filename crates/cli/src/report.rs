//! The reports that moves are done, taken back or late.

use crate::run::first_answer;
use crate::status::state_word;
use crate::table::{row, table};
use crate::{Context, EntryClient, Output};
use heatherhinge_blackboard::MoveState;
use heatherhinge_bundle::format_wall_time_ms;
use heatherhinge_records::admin::ReportResponse;
use serde_json::json;
use std::net::SocketAddr;

/// Tells the reports. They are rows of the platform's store, so every host gives the same ones.
pub(crate) async fn report(context: &Context, entries: &[SocketAddr]) -> Output {
    let client = EntryClient::new(context.limits);
    match first_answer(entries, |addr| client.report(addr)).await {
        Ok(answer) => Output::ok(
            report_text(&answer),
            serde_json::to_value(&answer).unwrap_or_else(|_| json!({})),
        ),
        Err(output) => output,
    }
}

fn report_text(answer: &ReportResponse) -> String {
    let count = |state| answer.moves.iter().filter(|m| m.state == state).count();
    let mut text = format!(
        "Moves: {} done, {} taken back, {} late.\n",
        count(MoveState::Done),
        count(MoveState::TakenBack),
        count(MoveState::Late)
    );
    let mut rows = vec![row(&["TIME", "SERVICE", "MOVE", "STATE", "EVIDENCE"])];
    let mut moves: Vec<_> = answer.moves.iter().collect();
    moves.sort_by_key(|report| report.at_wall_ms);
    for report in moves {
        rows.push(row(&[
            &format_wall_time_ms(report.at_wall_ms),
            &report.service,
            &report.move_id,
            state_word(report.state),
            &report.evidence,
        ]));
    }
    if rows.len() > 1 {
        text.push('\n');
        text.push_str(&table(&rows));
    }
    text
}
