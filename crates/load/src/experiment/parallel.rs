//! Runs independent cases on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Threads that run cases; few, because the machine is shared.
const THREADS: usize = 4;

/// Applies `f` to all items and returns the results in the order of the items.
///
/// # Errors
///
/// Returns the first error, or an error if a thread panicked.
pub(crate) fn map<I: Sync, O: Send>(
    items: &[I],
    f: impl Fn(&I) -> eyre::Result<O> + Sync,
) -> eyre::Result<Vec<O>> {
    let next = AtomicUsize::new(0);
    let work = || -> eyre::Result<Vec<(usize, O)>> {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(item) = items.get(index) else {
                return Ok(done);
            };
            done.push((index, f(item)?));
        }
    };
    let mut all = Vec::new();
    thread::scope(|scope| -> eyre::Result<()> {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        for thread in threads {
            let done = thread.join();
            all.extend(done.map_err(|_| eyre::eyre!("load: a case panicked"))??);
        }
        Ok(())
    })?;
    all.sort_by_key(|(index, _)| *index);
    Ok(all.into_iter().map(|(_, result)| result).collect())
}
