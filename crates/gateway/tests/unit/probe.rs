//! Parsing of the `Keep-Alive` header of targets.

use super::*;

// Guards against idle connections that are reused after their target has closed them, and against
// new ones that are opened although an idle one could be reused.
#[test]
fn the_keep_alive_timeout_is_parsed() {
    assert_eq!(idle_timeout("timeout=10"), Some(Duration::from_secs(10)));
    assert_eq!(
        idle_timeout("max=5, timeout=7"),
        Some(Duration::from_secs(7))
    );
    assert_eq!(idle_timeout("timeout=soon"), None);
    assert_eq!(idle_timeout("max=5"), None);
}
