//! What a target states of its connections.

use super::*;

// Guards against idle connections that are used after their target has closed them, and against
// new ones that are opened although an old one would do.
#[test]
fn the_stated_time_of_idle_connections_is_read() {
    assert_eq!(kept_for("timeout=10"), Some(Duration::from_secs(10)));
    assert_eq!(kept_for("max=5, timeout=7"), Some(Duration::from_secs(7)));
    assert_eq!(kept_for("timeout=soon"), None);
    assert_eq!(kept_for("max=5"), None);
}
