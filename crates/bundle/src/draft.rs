//! Reads the sections of a bundle into typed drafts. References between sections are not checked.

use crate::{Budget, Route, RouteClass, Service, VersionMove, Zone, ZoneState};
use crate::{fields, wall_time};
use heatherhinge_ini::{Document, Problem, Section};
use heatherhinge_types::{Name, Urgency, WallMs};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A part of the bundle and the index of the section that it was read from.
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) section: usize,
}

/// All parts of a bundle as written. A part with a problem is kept with placeholder values, so that
/// references to it still resolve; a name with a problem is empty.
pub(crate) struct Draft {
    pub(crate) file: Name,
    pub(crate) sections: Vec<Section>,
    pub(crate) problems: Vec<Problem>,
    pub(crate) version: Option<u64>,
    pub(crate) zones: BTreeMap<Name, Located<Zone>>,
    pub(crate) services: BTreeMap<Name, Located<Service>>,
    pub(crate) routes: Vec<Located<(Name, Route)>>,
    pub(crate) moves: BTreeMap<Name, Located<VersionMove>>,
    pub(crate) budget: Budget,
    pub(crate) revoked_keys: BTreeSet<Name>,
}

impl Draft {
    /// Reads all sections of a text. Problems are collected in the draft and its sections.
    pub(crate) fn read(file: &Name, text: &str) -> Self {
        let (sections, problems) = Document::parse(file, text).into_parts();
        let mut draft = Self {
            file: file.clone(),
            sections: Vec::with_capacity(sections.len()),
            problems,
            version: None,
            zones: BTreeMap::new(),
            services: BTreeMap::new(),
            routes: Vec::new(),
            moves: BTreeMap::new(),
            budget: default_budget(),
            revoked_keys: BTreeSet::new(),
        };
        for section in sections {
            draft.take_section(section);
        }
        draft
    }

    fn take_section(&mut self, mut section: Section) {
        let index = self.sections.len();
        let kind = section.words().first().cloned();
        let kind = kind.as_deref().unwrap_or_default();
        match (kind, section.words().len()) {
            ("bundle", 1) => self.version = Some(fields::VERSION.take_number(&mut section)),
            ("zone", 2) => self.take_zone(index, &mut section),
            ("service", 2) => self.take_service(index, &mut section),
            ("route", 3) => self.take_route(index, &mut section),
            ("move", 2) => self.take_move(index, &mut section),
            ("budget", 1) => self.budget = read_budget(&mut section),
            ("signing", 1) => self.revoked_keys = read_revoked(&mut section),
            _ => {
                self.take_unknown(&section);
                return;
            }
        }
        self.sections.push(section);
    }

    /// Reports an unknown section as one problem; its fields are not reported one by one.
    fn take_unknown(&mut self, section: &Section) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line: section.line(),
            field: Name::from(section.title()),
            message: "a bundle has the sections [bundle], [zone NAME], [service NAME], \
                      [route SERVICE NAME], [move SERVICE], [budget] and [signing] only"
                .to_owned(),
        });
    }

    fn take_zone(&mut self, index: usize, section: &mut Section) {
        let states = [("in", ZoneState::In), ("out", ZoneState::Out)];
        let state = section.take_or(fields::ZONE_STATE.name, ZoneState::In, |section, name| {
            section.take_enum(name, &states)
        });
        if let Some(name) = section.header_name(1) {
            let value = Zone { state };
            self.zones.insert(
                name,
                Located {
                    value,
                    section: index,
                },
            );
        }
    }

    fn take_service(&mut self, index: usize, section: &mut Section) {
        let name = section.header_name(1);
        let value = read_service(name.clone().unwrap_or_else(empty_name), section);
        if let Some(name) = name {
            self.services.insert(
                name,
                Located {
                    value,
                    section: index,
                },
            );
        }
    }

    fn take_route(&mut self, index: usize, section: &mut Section) {
        let service = section.header_name(1).unwrap_or_else(empty_name);
        let name = section.header_name(2).unwrap_or_else(empty_name);
        let value = (service, read_route(name, section));
        self.routes.push(Located {
            value,
            section: index,
        });
    }

    fn take_move(&mut self, index: usize, section: &mut Section) {
        let service = section.header_name(1);
        let value = read_move(section);
        if let Some(service) = service {
            self.moves.insert(
                service,
                Located {
                    value,
                    section: index,
                },
            );
        }
    }
}

fn empty_name() -> Name {
    Name::new("")
}

fn default_budget() -> Budget {
    let small = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    Budget {
        probes_per_s: small(fields::PROBES_PER_S.default_number()),
        retry_permille: small(fields::RETRY_PERMILLE.default_number()),
        lease_ms: fields::LEASE_MS.default_number(),
    }
}

fn read_budget(section: &mut Section) -> Budget {
    Budget {
        probes_per_s: fields::PROBES_PER_S.take_number_u32(section),
        retry_permille: fields::RETRY_PERMILLE.take_number_u32(section),
        lease_ms: fields::LEASE_MS.take_number(section),
    }
}

fn read_revoked(section: &mut Section) -> BTreeSet<Name> {
    section
        .take_optional(fields::REVOKED.name, Section::take_list)
        .unwrap_or_default()
        .into_iter()
        .collect()
}

fn read_service(name: Name, section: &mut Section) -> Service {
    let zones = section.take_list(fields::SERVICE_ZONES.name);
    if zones.as_ref().is_some_and(Vec::is_empty) {
        section.report(
            fields::SERVICE_ZONES.name,
            "the list is empty; a service needs at least one zone".to_owned(),
        );
    }
    Service {
        name,
        zones: zones.unwrap_or_default().into_iter().collect(),
        version: section
            .take_name(fields::SERVICE_VERSION.name)
            .unwrap_or_else(empty_name),
        slots: fields::SLOTS.take_number_u32(section),
        connections: fields::CONNECTIONS.take_number_u32(section),
        warm_ms: fields::WARM_MS.take_number(section),
        queue_ms: fields::QUEUE_MS.take_number(section),
        queue_len: fields::QUEUE_LEN.take_number_u32(section),
        routes: Vec::<Arc<Route>>::new(),
        version_move: None,
    }
}

fn read_route(name: Name, section: &mut Section) -> Route {
    let classes = [
        ("interactive", RouteClass::Interactive),
        ("bulk", RouteClass::Bulk),
    ];
    let level = fields::URGENCY.take_number(section);
    Route {
        name,
        prefix: section
            .take_with(fields::PREFIX.name, check_prefix)
            .unwrap_or_default(),
        methods: section
            .take_optional(fields::METHODS.name, |section, name| {
                section.take_list_with(name, check_method)
            })
            .unwrap_or_default()
            .into_iter()
            .collect(),
        idempotent: section.take_optional(fields::IDEMPOTENT.name, Section::take_bool),
        class: section.take_or(
            fields::CLASS.name,
            RouteClass::Interactive,
            |section, name| section.take_enum(name, &classes),
        ),
        urgency: u8::try_from(level)
            .ok()
            .and_then(Urgency::new)
            .unwrap_or(Urgency::DEFAULT),
        body_limit_bytes: fields::BODY_LIMIT_BYTES.take_number(section),
        deadline_ms: fields::DEADLINE_MS.take_number(section),
    }
}

fn read_move(section: &mut Section) -> VersionMove {
    let mut name = |field: &str| section.take_name(field).unwrap_or_else(empty_name);
    let (id, from, to) = (
        name(fields::MOVE_ID.name),
        name(fields::MOVE_FROM.name),
        name(fields::MOVE_TO.name),
    );
    VersionMove {
        id,
        from,
        to,
        // A time that cannot be parsed is already reported; the latest time avoids a second problem.
        end_wall_ms: section
            .take_with(fields::MOVE_END.name, wall_time::parse_wall_time)
            .unwrap_or(WallMs(u64::MAX)),
        cap_permille: fields::CAP_PERMILLE.take_number_u32(section),
        min_samples: fields::MIN_SAMPLES.take_number_u32(section),
    }
}

fn check_prefix(text: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '"' | '\\');
    if !text.starts_with('/') {
        Err(format!("'{text}' does not start with a slash"))
    } else if text.contains("//") || !text.chars().all(is_allowed) {
        Err(format!(
            "'{text}' is not a path of printable ASCII segments without a query"
        ))
    } else {
        Ok(text.to_owned())
    }
}

fn check_method(text: &str) -> Result<String, String> {
    if !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase()) {
        Ok(text.to_owned())
    } else {
        Err(format!("'{text}' is not a method in upper case"))
    }
}
