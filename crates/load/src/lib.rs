//! Sends open-loop HTTP load, and compares policies in virtual time.
//!
//! [`run`] sends open-loop load over HTTP from profiles and reports latencies, measured from the
//! intended send time of each request, so that a slow response does not hide the delay of the
//! requests behind it. [`experiment`] compares decisions of `heatherhinge-policy` in virtual time,
//! with the same arrivals and seeds for each. Results are written as JSON, Markdown
//! and SVG.

pub mod experiment;
pub mod plot;
pub mod profile;
pub mod run;
