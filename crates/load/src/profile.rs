//! Parses load profiles: mixes of routes with their rates, as INI text.

use heatherhinge_ini::{Document, Problem, Section};
use heatherhinge_types::{Name, Urgency};
use http::Method;

/// Largest rate of one route in arrivals per second.
const RATE_MAX_PER_S: f64 = 1_000_000.0;
/// Largest request body in bytes.
const BODY_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Longest deadline in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Most resends of one request.
const RESENDS_MAX: u64 = 100;

/// A mix of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name used in reports.
    pub name: Name,
    /// Routes with their rates.
    pub routes: Vec<RouteProfile>,
}

/// One route of a profile.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteProfile {
    /// Name used in reports.
    pub name: Name,
    /// HTTP method of the requests.
    pub method: Method,
    /// Path; its first segment names the service.
    pub path: String,
    /// Mean arrivals per second.
    pub rate_per_s: f64,
    /// Bytes of the request body.
    pub body_bytes: usize,
    /// Urgency, sent as the `Priority` header.
    pub urgency: Urgency,
    /// Deadline in milliseconds, sent as a header and enforced by the tool.
    pub deadline_ms: u64,
    /// Share of requests that carry an idempotency key, in thousandths.
    pub non_idempotent_permille: u32,
    /// Most resends with the same key while the outcome is unknown.
    pub resends: u32,
}

impl Profile {
    /// Parses a profile. `file` is the file name used in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text.
    pub fn parse(file: &Name, text: &str) -> Result<Self, Vec<Problem>> {
        let (sections, mut problems) = Document::parse(file, text).into_parts();
        let mut name = None;
        let mut routes = Vec::new();
        for mut section in sections {
            match section.words() {
                [kind] if &**kind == "profile" => name = section.take_name("name"),
                [kind, _] if &**kind == "route" => routes.extend(read_route(&mut section)),
                _ => section.report_section("only [profile] and [route NAME] are known".to_owned()),
            }
            problems.extend(section.finish());
        }
        match name {
            Some(name) if problems.is_empty() && !routes.is_empty() => Ok(Self { name, routes }),
            _ => {
                if problems.is_empty() {
                    problems.push(Problem {
                        file: file.clone(),
                        line: 0,
                        field: Name::new(""),
                        message: "a profile needs [profile] and at least one [route NAME]"
                            .to_owned(),
                    });
                }
                problems.sort();
                Err(problems)
            }
        }
    }

    /// Returns the mean arrivals per second of all routes.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        self.routes.iter().map(|route| route.rate_per_s).sum()
    }
}

/// Parses one route; `None` if a field without a default is missing or invalid.
fn read_route(section: &mut Section) -> Option<RouteProfile> {
    let name = section.header_name(1);
    let method = section.take_or("method", Method::GET, |section, field| {
        section.take_with(field, read_method)
    });
    let path = section.take_with("path", read_path);
    let rate_per_s = section.take_with("rate_per_s", read_rate);
    let urgency = number_or(section, "urgency", Urgency::DEFAULT.level().into(), 7);
    let to_u32 = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    Some(RouteProfile {
        method,
        urgency: u8::try_from(urgency)
            .ok()
            .and_then(Urgency::new)
            .unwrap_or(Urgency::DEFAULT),
        body_bytes: usize::try_from(number_or(section, "body_bytes", 0, BODY_MAX_BYTES)).ok()?,
        deadline_ms: number_or(section, "deadline_ms", 10_000, DEADLINE_MAX_MS),
        non_idempotent_permille: to_u32(number_or(section, "non_idempotent_permille", 0, 1_000)),
        resends: to_u32(number_or(section, "resends", 0, RESENDS_MAX)),
        name: name?,
        path: path?,
        rate_per_s: rate_per_s?,
    })
}

fn number_or(section: &mut Section, field: &str, default: u64, max: u64) -> u64 {
    section.take_or(field, default, |section, field| {
        section.take_u64(field, 0..=max)
    })
}

fn read_method(text: &str) -> Result<Method, String> {
    text.parse()
        .map_err(|_| format!("'{text}' is not a method"))
}

fn read_path(text: &str) -> Result<String, String> {
    if text.starts_with('/') {
        Ok(text.to_owned())
    } else {
        Err(format!("'{text}' does not start with a slash"))
    }
}

fn read_rate(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(rate) if rate > 0.0 && rate <= RATE_MAX_PER_S => Ok(rate),
        _ => Err(format!(
            "'{text}' is not a number above 0 and at most {RATE_MAX_PER_S}"
        )),
    }
}
