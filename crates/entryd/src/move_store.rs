//! Reads and writes the rows and reports of version moves in the table service.

use heatherhinge_controllers::{MoveReport, MoveRow, StoreUnavailable, WriteOutcome};
use heatherhinge_platform::{Condition, Item, PlatformError, Table, TableClient};
use heatherhinge_types::Name;
use std::collections::BTreeMap;

const MOVE_PREFIX: &str = "move#";
const REPORT_PREFIX: &str = "report#";

/// Reads and writes the rows and reports of moves. A row's version is its step plus one, because
/// versions count from 1.
#[derive(Debug)]
pub(crate) struct MoveStore {
    table: TableClient,
}

impl MoveStore {
    pub(crate) const fn new(table: TableClient) -> Self {
        Self { table }
    }

    /// Reads the row of a move.
    pub(crate) async fn read(&self, id: &Name) -> Result<Option<MoveRow>, StoreUnavailable> {
        match self.table.get(&format!("{MOVE_PREFIX}{id}")).await {
            Ok(None) => Ok(None),
            Ok(Some(item)) => match serde_json::from_slice(&item.body) {
                Ok(row) => Ok(Some(row)),
                Err(error) => {
                    tracing::error!(
                        "move: parsing row {} failed, treating the store as unavailable: {error}",
                        item.pk
                    );
                    Err(StoreUnavailable)
                }
            },
            Err(_) => Err(StoreUnavailable),
        }
    }

    /// Writes the row of a move if the stored step is the expected one.
    pub(crate) async fn write(&self, row: &MoveRow, expected_step: Option<u64>) -> WriteOutcome {
        let condition =
            expected_step.map_or(Condition::NotExists, |step| Condition::Version(step + 1));
        let item = Item {
            pk: format!("{MOVE_PREFIX}{}", row.move_id),
            version: row.step + 1,
            nonce: format!("{}-{}", row.writer, row.nonce),
            body: serde_json::to_vec(row).unwrap_or_default().into(),
            attributes: BTreeMap::new(),
        };
        outcome(self.table.put(&item, condition).await)
    }

    /// Writes a report if there is none for its move and state.
    pub(crate) async fn write_report(&self, report: &MoveReport) -> WriteOutcome {
        let item = Item {
            pk: format!("{REPORT_PREFIX}{}#{:?}", report.move_id, report.state),
            version: 1,
            nonce: report.writer.to_string(),
            body: serde_json::to_vec(report).unwrap_or_default().into(),
            attributes: BTreeMap::new(),
        };
        outcome(self.table.put(&item, Condition::NotExists).await)
    }

    /// Reads all reports, oldest first.
    pub(crate) async fn reports(&self) -> Result<Vec<MoveReport>, PlatformError> {
        let items = self.table.scan(REPORT_PREFIX).await?;
        let read = |item: &Item| serde_json::from_slice::<MoveReport>(&item.body).ok();
        let mut reports: Vec<MoveReport> = items.iter().filter_map(read).collect();
        reports.sort_by_key(|report| report.at_wall_ms);
        Ok(reports)
    }
}

fn outcome(result: Result<(), PlatformError>) -> WriteOutcome {
    match result {
        Ok(()) => WriteOutcome::Written,
        Err(PlatformError::Conflict) => WriteOutcome::Conflict,
        Err(_) => WriteOutcome::Unknown,
    }
}
