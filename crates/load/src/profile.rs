//! Load profiles: mixes of routes with their rates, read from INI text.

use heatherhinge_types::Urgency;
use http::Method;
use ini_core::{Item, Parser};
use std::fmt;
use std::str::FromStr;

/// A mix of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name, for reports.
    pub name: String,
    /// Routes with their rates.
    pub routes: Vec<RouteMix>,
}

/// One route of a profile.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMix {
    /// Name, for reports.
    pub name: String,
    /// Method.
    pub method: Method,
    /// Path; its first segment names the service.
    pub path: String,
    /// Mean arrivals per second.
    pub rate_per_s: f64,
    /// Bytes of the request body.
    pub body_bytes: usize,
    /// Urgency, sent as the `Priority` header.
    pub urgency: Urgency,
    /// Deadline in milliseconds, sent as a header and kept by the tool.
    pub deadline_ms: u64,
    /// Share of requests that carry an idempotency key, in thousandths.
    pub non_idempotent_permille: u32,
    /// Most resends with the same key while the outcome is unknown.
    pub resends: u32,
}

/// An error of a profile, with its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProfileError {
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ProfileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for ProfileError {}

impl RouteMix {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            method: Method::GET,
            path: String::new(),
            rate_per_s: 0.0,
            body_bytes: 0,
            urgency: Urgency::DEFAULT,
            deadline_ms: 10_000,
            non_idempotent_permille: 0,
            resends: 0,
        }
    }

    fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        match key {
            "method" => self.method = parsed(key, value)?,
            "path" if value.starts_with('/') => value.clone_into(&mut self.path),
            "path" => return Err("path must start with a slash".to_owned()),
            "rate_per_s" => self.rate_per_s = parsed(key, value)?,
            "body_bytes" => self.body_bytes = parsed(key, value)?,
            "urgency" => {
                self.urgency = Urgency::new(parsed(key, value)?)
                    .ok_or_else(|| "urgency must be 0 to 7".to_owned())?;
            }
            "deadline_ms" => self.deadline_ms = parsed(key, value)?,
            "non_idempotent_permille" => self.non_idempotent_permille = parsed(key, value)?,
            "resends" => self.resends = parsed(key, value)?,
            _ => return Err(format!("unknown key {key:?} in a route")),
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        if self.path.is_empty() {
            return Err(format!("route {:?} has no path", self.name));
        }
        if !self.rate_per_s.is_finite() || self.rate_per_s <= 0.0 {
            return Err(format!("route {:?} needs a rate_per_s above 0", self.name));
        }
        Ok(())
    }
}

fn parsed<T: FromStr>(key: &str, value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("{key} cannot be {value:?}"))
}

impl FromStr for Profile {
    type Err = ProfileError;

    fn from_str(text: &str) -> Result<Self, ProfileError> {
        let mut profile = Self {
            name: String::new(),
            routes: Vec::new(),
        };
        let mut line = 0;
        for item in Parser::new(text) {
            // The end of a section is an item without a line of its own.
            line += usize::from(!matches!(item, Item::SectionEnd));
            profile
                .take(&item)
                .map_err(|message| ProfileError { line, message })?;
        }
        profile
            .check()
            .map_err(|message| ProfileError { line, message })?;
        Ok(profile)
    }
}

impl Profile {
    fn take(&mut self, item: &Item<'_>) -> Result<(), String> {
        match item {
            Item::Section("profile") => Ok(()),
            Item::Section(section) => match section.strip_prefix("route ") {
                Some(name) => {
                    self.routes.push(RouteMix::new(name.trim()));
                    Ok(())
                }
                None => Err(format!("unknown section [{section}]")),
            },
            Item::Property(key, value) => {
                let (key, value) = (key.trim(), value.unwrap_or_default().trim());
                match self.routes.last_mut() {
                    Some(route) => route.set(key, value),
                    None if key == "name" => {
                        value.clone_into(&mut self.name);
                        Ok(())
                    }
                    None => Err(format!("unknown key {key:?} in [profile]")),
                }
            }
            Item::Error(text) => Err(format!("{text:?} cannot be read")),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => Ok(()),
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.routes.is_empty() {
            return Err("a profile needs at least one [route NAME]".to_owned());
        }
        self.routes.iter().try_for_each(RouteMix::check)
    }

    /// Returns the mean arrivals per second of all routes.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        self.routes.iter().map(|route| route.rate_per_s).sum()
    }
}
