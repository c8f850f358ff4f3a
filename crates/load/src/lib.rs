//! The load and experiment tool.
//!
//! [`run`] sends open-loop load over HTTP from profiles and reports latencies, measured from the
//! time at which each request was meant to be sent, so that a slow answer does not hide the
//! requests that waited behind it. [`experiment`] compares decisions of `heatherhinge-policy` in
//! virtual time, with the same arrivals and seeds for each. Results are written as JSON, Markdown
//! and SVG.

pub mod experiment;
pub mod plot;
pub mod profile;
pub mod run;
