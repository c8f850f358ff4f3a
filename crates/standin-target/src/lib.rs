//! Stand-in targets with faults that can be switched.
