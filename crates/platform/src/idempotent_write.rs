//! Settles writes whose answer was lost.

use crate::{Condition, Item, PlatformError, Table, Write};

/// Most attempts of one write.
const ATTEMPT_LIMIT: u32 = 3;

/// Carries out writes together and settles a lost answer by reading the first row again.
///
/// The first write must be a put under a condition; its nonce tells whether the writes took effect.
/// A write that has not taken effect yet may still do so later, so it is sent again under the same
/// condition and nonce: whichever copy comes first wins and the other fails its condition. Calling
/// the function again with the same writes after `OutcomeUnknown` is safe and settles them then.
///
/// # Errors
///
/// - `Conflict`: another write was first; none of these took effect. When an earlier call with the
///   same writes ended with `OutcomeUnknown`, they may have taken effect and been overwritten.
/// - `OutcomeUnknown`: the row could not be read, or has been overwritten since.
/// - `Unavailable`: the writes had no effect.
/// - `Malformed`: the first write is not a conditional put, or the service refused the call.
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
    for _ in 0..ATTEMPT_LIMIT {
        match send(table, writes, item, *condition).await {
            Err(PlatformError::OutcomeUnknown) => is_unknown = true,
            Err(PlatformError::Conflict) => {}
            // An earlier attempt may still take effect although this one did not.
            Err(_) if is_unknown => return Err(PlatformError::OutcomeUnknown),
            result => return result,
        }
        let stored = table.get(&item.pk).await;
        match judge(stored, item, *condition, is_unknown) {
            Verdict::Settled(result) => return result,
            Verdict::SendAgain => {}
        }
    }
    Err(PlatformError::OutcomeUnknown)
}

enum Verdict {
    Settled(Result<(), PlatformError>),
    SendAgain,
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

/// Compares the stored row with the one that was written.
fn judge(
    stored: Result<Option<Item>, PlatformError>,
    item: &Item,
    condition: Condition,
    is_unknown: bool,
) -> Verdict {
    let Ok(stored) = stored else {
        return Verdict::Settled(Err(PlatformError::OutcomeUnknown));
    };
    if stored.as_ref().is_some_and(|row| row.nonce == item.nonce) {
        return Verdict::Settled(Ok(()));
    }
    if !is_unknown {
        return Verdict::Settled(Err(PlatformError::Conflict));
    }
    let can_still_hold = match (condition, &stored) {
        (Condition::NotExists, None) => true,
        (Condition::Version(version), Some(row)) => row.version == version,
        _ => false,
    };
    if can_still_hold {
        return Verdict::SendAgain;
    }
    match stored {
        // Versions only rise, so another writer made this version and ours was not written.
        Some(row) if row.version <= item.version => Verdict::Settled(Err(PlatformError::Conflict)),
        _ => Verdict::Settled(Err(PlatformError::OutcomeUnknown)),
    }
}
