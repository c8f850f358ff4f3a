//! Retries writes and finds the outcome of those whose response was lost.

use crate::{Condition, Item, PlatformError, Table, Write};

/// Most attempts at one write.
const MAX_ATTEMPTS: u32 = 3;

/// Makes writes in one transaction and, after a lost response, finds the outcome by reading the
/// first row again.
///
/// The first write must be a conditional put; its nonce shows whether the writes took effect. A
/// write that has not taken effect yet may still do so later, so it is retried with the same
/// condition and nonce: the copy that arrives first wins and the other fails its condition. After
/// `OutcomeUnknown` it is safe to call the function again with the same writes.
///
/// # Errors
///
/// - `Conflict`: another write was first; none of these took effect. When an earlier call with the
///   same writes ended with `OutcomeUnknown`, they may have taken effect and been overwritten.
/// - `OutcomeUnknown`: the row could not be read, has been overwritten since, or all 3 attempts
///   ended without a known outcome.
/// - `Unavailable`: the writes had no effect.
/// - `Malformed`: the first write is not a conditional put with a nonce, or the service rejected
///   the call.
pub async fn idempotent_write<T: Table>(table: &T, writes: &[Write]) -> Result<(), PlatformError> {
    let Some(Write::Put { item, condition }) = writes.first() else {
        return Err(PlatformError::malformed("the first write is not a put"));
    };
    if *condition == Condition::Always || item.nonce.is_empty() {
        return Err(PlatformError::malformed(
            "the first write has no condition or no nonce",
        ));
    }
    let mut is_unknown = false;
    for _ in 0..MAX_ATTEMPTS {
        match send(table, writes, item, *condition).await {
            Err(PlatformError::OutcomeUnknown) => is_unknown = true,
            Err(PlatformError::Conflict) => {}
            // An earlier attempt may still take effect although this one did not.
            Err(_) if is_unknown => return Err(PlatformError::OutcomeUnknown),
            result => return result,
        }
        let stored = table.get(&item.pk).await;
        match resolve_outcome(stored, item, *condition, is_unknown) {
            Resolution::Settled(result) => return result,
            Resolution::Retry => {}
        }
    }
    Err(PlatformError::OutcomeUnknown)
}

enum Resolution {
    Settled(Result<(), PlatformError>),
    Retry,
}

async fn send<T: Table>(
    table: &T,
    writes: &[Write],
    item: &Item,
    condition: Condition,
) -> Result<(), PlatformError> {
    if writes.len() == 1 {
        table.put(item, condition).await
    } else {
        table.transact(writes).await
    }
}

/// Compares the stored row with the one that was sent.
fn resolve_outcome(
    stored: Result<Option<Item>, PlatformError>,
    item: &Item,
    condition: Condition,
    is_unknown: bool,
) -> Resolution {
    let Ok(stored) = stored else {
        return Resolution::Settled(Err(PlatformError::OutcomeUnknown));
    };
    if stored.as_ref().is_some_and(|row| row.nonce == item.nonce) {
        return Resolution::Settled(Ok(()));
    }
    if !is_unknown {
        return Resolution::Settled(Err(PlatformError::Conflict));
    }
    let may_still_apply = match (condition, &stored) {
        (Condition::NotExists, None) => true,
        (Condition::Version(version), Some(row)) => row.version == version,
        _ => false,
    };
    if may_still_apply {
        return Resolution::Retry;
    }
    match stored {
        // Versions only increase, so another writer wrote this version and ours had no effect.
        Some(row) if row.version <= item.version => {
            Resolution::Settled(Err(PlatformError::Conflict))
        }
        _ => Resolution::Settled(Err(PlatformError::OutcomeUnknown)),
    }
}
