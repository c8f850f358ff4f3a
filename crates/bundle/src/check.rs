//! Checks the parts of a bundle against each other: names, zones, routes and moves.

use crate::draft::{Draft, Located};
use crate::{Bundle, Route, Service, VersionMove, ZoneState, fields, format_wall_time};
use heatherhinge_ini::{Problem, Section};
use heatherhinge_types::{Name, WallMs};
use std::collections::BTreeMap;

/// How the end times of moves are checked.
#[derive(Clone, Copy)]
pub(crate) enum MoveTiming<'a> {
    /// The bundle was accepted before; its moves may have ended long ago.
    Accepted,
    /// Every move must have enough time left to finish after this time.
    AllNew(WallMs),
    /// Moves of the bundle in force may continue; the others must have enough time left to finish
    /// after this time.
    After(WallMs, &'a Bundle),
}

/// First path segment of the admin endpoints, which therefore cannot be the name of a service.
const RESERVED_SERVICE: &str = "heatherhinge";

/// Reports every conflict between parts of the bundle.
pub(crate) fn check(draft: &mut Draft, timing: MoveTiming<'_>) {
    if let Some(service) = draft.services.get(RESERVED_SERVICE) {
        let message = "the name is reserved for the admin endpoints".to_owned();
        report_section(&mut draft.sections, service.section, message);
    }
    check_zones(draft);
    check_routes(draft);
    check_moves(draft, timing);
    if let MoveTiming::After(_, in_force) = timing {
        check_revocations(draft, in_force);
    }
}

/// Reports revoked keys of the bundle in force that are no longer listed.
///
/// A revocation is permanent. Otherwise a host that missed the bundle in between would refuse a
/// bundle that is signed with the key again, and a rollback to an earlier text would trust the key.
fn check_revocations(draft: &mut Draft, in_force: &Bundle) {
    let missing: Vec<&str> = in_force
        .revoked_keys
        .difference(&draft.revoked_keys)
        .map(Name::as_str)
        .collect();
    if missing.is_empty() {
        return;
    }
    let message = format!(
        "revoked keys of the bundle in force must stay listed: {}",
        missing.join(", ")
    );
    let is_signing = |section: &&mut Section| section.title() == "[signing]";
    match draft.sections.iter_mut().find(is_signing) {
        Some(section) => section.report(fields::REVOKED.name, message),
        None => draft.problems.push(Problem {
            file: draft.file.clone(),
            line: 0,
            field: Name::new("[signing]"),
            message,
        }),
    }
}

fn report(sections: &mut [Section], index: usize, field: &str, message: String) {
    if let Some(section) = sections.get_mut(index) {
        section.report(field, message);
    }
}

fn report_section(sections: &mut [Section], index: usize, message: String) {
    if let Some(section) = sections.get_mut(index) {
        section.report_section(message);
    }
}

fn check_zones(draft: &mut Draft) {
    for service in draft.services.values() {
        let mut has_zone_in = service.value.zones.is_empty();
        for name in &service.value.zones {
            if let Some(zone) = draft.zones.get(name) {
                has_zone_in |= zone.value.state == ZoneState::In;
            } else {
                let message = format!("the bundle has no [zone {name}]");
                let field = fields::SERVICE_ZONES.name;
                report(&mut draft.sections, service.section, field, message);
            }
        }
        if !has_zone_in {
            let message = "none of the service's zones has state = in, so no target could serve it";
            let field = fields::SERVICE_ZONES.name;
            report(
                &mut draft.sections,
                service.section,
                field,
                message.to_owned(),
            );
        }
    }
}

fn check_routes(draft: &mut Draft) {
    let mut routes: BTreeMap<Name, Vec<&Located<(Name, Route)>>> = BTreeMap::new();
    for located in &draft.routes {
        let (service, route) = &located.value;
        if !service.is_empty() && !draft.services.contains_key(service) {
            let message = format!("the bundle has no [service {service}]");
            report_section(&mut draft.sections, located.section, message);
        }
        let earlier = routes.entry(service.clone()).or_default();
        let covering = earlier
            .iter()
            .find(|e| !e.value.1.prefix.is_empty() && e.value.1.covers(route));
        if let (Some(covering), false) = (covering, route.prefix.is_empty()) {
            let name = &covering.value.1.name;
            let message = format!("the route never matches: the earlier route {name} covers it");
            let field = fields::PREFIX.name;
            report(&mut draft.sections, located.section, field, message);
        }
        earlier.push(located);
    }
    for (name, service) in &draft.services {
        if !routes.contains_key(name) {
            let message = "the service has no route".to_owned();
            report_section(&mut draft.sections, service.section, message);
        }
    }
}

fn check_moves(draft: &mut Draft, timing: MoveTiming<'_>) {
    let mut ids: BTreeMap<&Name, &Name> = BTreeMap::new();
    for (service_name, located) in &draft.moves {
        let (id, sections) = (&located.value.id, &mut draft.sections);
        let mut problem = |field: &str, message: String| {
            report(sections, located.section, field, message);
        };
        match draft.services.get(service_name) {
            Some(service) => check_versions(&service.value, &located.value, &mut problem),
            None => {
                let message = format!("the bundle has no [service {service_name}]");
                problem(&format!("[move {service_name}]"), message);
            }
        }
        if !id.is_empty()
            && let Some(other) = ids.insert(id, service_name)
        {
            let message = format!("'{id}' is also the id of the move of service {other}");
            problem(fields::MOVE_ID.name, message);
        }
        check_timing(service_name, &located.value, timing, &mut problem);
    }
}

fn check_versions(
    service: &Service,
    version_move: &VersionMove,
    problem: &mut impl FnMut(&str, String),
) {
    let is_complete = !version_move.from.is_empty() && !service.version.is_empty();
    if is_complete && version_move.from != service.version {
        let message = format!(
            "the service runs version {}, so the move cannot start from {}",
            service.version, version_move.from
        );
        problem(fields::MOVE_FROM.name, message);
    }
    if !version_move.to.is_empty() && version_move.from == version_move.to {
        let message = format!(
            "from and to are both {}; a move needs two different versions",
            version_move.to
        );
        problem(fields::MOVE_TO.name, message);
    }
}

fn check_timing(
    service: &Name,
    version_move: &VersionMove,
    timing: MoveTiming<'_>,
    problem: &mut impl FnMut(&str, String),
) {
    let now_wall_ms = match timing {
        MoveTiming::Accepted => return,
        MoveTiming::AllNew(now_wall_ms) => now_wall_ms,
        MoveTiming::After(now_wall_ms, in_force) => {
            let running = move_in_force(in_force, &version_move.id);
            if running == Some((service, version_move)) {
                return;
            }
            if running.is_some() {
                let message = format!(
                    "the bundle in force has another move '{}'; a changed move needs a new id",
                    version_move.id
                );
                problem(fields::MOVE_ID.name, message);
            }
            now_wall_ms
        }
    };
    let left_ms = version_move.end_wall_ms.ms_since(now_wall_ms);
    if left_ms < version_move.shortest_ms() {
        let message = format!(
            "the move cannot finish in time: its {} steps need {} s, and {} s are left at {}",
            version_move.step_shares_permille().count(),
            version_move.shortest_ms() / 1_000,
            left_ms / 1_000,
            format_wall_time(now_wall_ms)
        );
        problem(fields::MOVE_END.name, message);
    }
}

fn move_in_force<'a>(in_force: &'a Bundle, id: &Name) -> Option<(&'a Name, &'a VersionMove)> {
    in_force.services.values().find_map(|service| {
        let version_move = service.version_move.as_ref()?;
        (version_move.id == *id).then_some((&service.name, version_move))
    })
}
