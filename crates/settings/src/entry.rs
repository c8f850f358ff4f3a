//! Parses and checks the settings of an entry host.

use crate::{LogFormat, LogLevel, SettingsError, fields};
use heatherhinge_bundle::TrustedKeys;
use heatherhinge_ini::{Document, Problem, Section};
use heatherhinge_types::Name;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

/// Settings of `heatherhinge-entryd`; described in `docs/settings.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the host, unique in the fleet.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Address for callers and for the admin endpoints.
    pub caller_addr: SocketAddr,
    /// Address for the protocol between entry hosts.
    pub peer_addr: SocketAddr,
    /// Address of the platform's table service.
    pub table_addr: SocketAddr,
    /// Address of the platform's object store.
    pub object_addr: SocketAddr,
    /// Address of the platform's list of hosts and targets.
    pub host_list_addr: SocketAddr,
    /// Peer addresses to contact first; the host's own address may be among them.
    pub seed_peers: Vec<SocketAddr>,
    /// Keys that bundles may be signed with.
    pub trusted_keys: TrustedKeys,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// Address that StatsD metrics are sent to over UDP; without it, none are sent.
    pub metrics_addr: Option<SocketAddr>,
    /// Number of threads that serve requests.
    pub threads: usize,
    /// Longest time that a planned stop waits for requests in flight; `None` for no limit.
    pub drain_limit_ms: Option<u64>,
    /// Largest number of decision records kept in memory.
    pub record_limit: usize,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, or a single one at line 0 if it cannot be read.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let file = Name::from(path.display().to_string());
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(SettingsError {
                problems: vec![Problem {
                    file,
                    line: 0,
                    field: Name::new(""),
                    message: format!("the file cannot be read: {error}"),
                }],
            }),
        }
    }

    /// Parses and checks the text of a settings file; `file` is its name in problems.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text.
    pub fn parse(file: &Name, text: &str) -> Result<Self, SettingsError> {
        let mut reader = Reader::new(file, text);
        let settings = reader.read();
        let problems = reader.finish();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { problems })
        }
    }
}

/// Reads the sections of a settings file. Values with a problem are replaced by placeholders, so
/// that the remaining fields are still checked.
struct Reader {
    file: Name,
    sections: Vec<Section>,
    problems: Vec<Problem>,
}

impl Reader {
    fn new(file: &Name, text: &str) -> Self {
        let (sections, problems) = Document::parse(file, text).into_parts();
        Self {
            file: file.clone(),
            sections,
            problems,
        }
    }

    fn read(&mut self) -> EntrySettings {
        let mut host = self.take_section("host", true);
        let mut platform = self.take_section("platform", true);
        let mut peers = self.take_section("peers", false);
        let mut log = self.take_section("log", false);
        let mut metrics = self.take_section("metrics", false);
        let mut runtime = self.take_section("runtime", false);
        let trusted_keys = self.take_keys();
        let settings = EntrySettings {
            host: required(&mut host, fields::HOST_NAME.name, Section::take_name)
                .unwrap_or_else(|| Name::new("")),
            zone: required(&mut host, fields::HOST_ZONE.name, Section::take_name)
                .unwrap_or_else(|| Name::new("")),
            caller_addr: take_own_addr(&mut host, fields::CALLER_ADDR.name),
            peer_addr: take_own_addr(&mut host, fields::PEER_ADDR.name),
            table_addr: take_addr(&mut platform, fields::TABLE_ADDR.name),
            object_addr: take_addr(&mut platform, fields::OBJECT_ADDR.name),
            host_list_addr: take_addr(&mut platform, fields::HOST_LIST_ADDR.name),
            seed_peers: optional(&mut peers, fields::SEEDS.name, Section::take_addrs)
                .unwrap_or_default(),
            trusted_keys,
            log_format: optional(&mut log, fields::LOG_FORMAT.name, |section, name| {
                section.take_enum(name, LogFormat::WORDS)
            })
            .unwrap_or(LogFormat::Text),
            log_level: optional(&mut log, fields::LOG_LEVEL.name, |section, name| {
                section.take_enum(name, LogLevel::WORDS)
            })
            .unwrap_or(LogLevel::Info),
            metrics_addr: optional(&mut metrics, fields::METRICS_ADDR.name, Section::take_addr),
            threads: take_size(&mut runtime, &fields::THREADS),
            drain_limit_ms: optional(
                &mut runtime,
                fields::DRAIN_LIMIT_MS.name,
                |section, name| section.take_u64(name, fields::DRAIN_LIMIT_MS.range()),
            ),
            record_limit: take_size(&mut runtime, &fields::RECORD_LIMIT),
        };
        check_own_addrs(host.as_mut(), &settings);
        let read = [host, platform, peers, log, metrics, runtime];
        self.problems
            .extend(read.into_iter().flatten().flat_map(Section::finish));
        settings
    }

    fn take_section(&mut self, kind: &str, is_required: bool) -> Option<Section> {
        let index = self
            .sections
            .iter()
            .position(|section| section.words().len() == 1 && &*section.words()[0] == kind);
        match index {
            Some(index) => Some(self.sections.remove(index)),
            None if is_required => {
                self.report(0, &format!("[{kind}]"), "the section is missing");
                None
            }
            None => None,
        }
    }

    fn take_keys(&mut self) -> TrustedKeys {
        let is_key =
            |section: &mut Section| section.words().len() == 2 && &*section.words()[0] == "key";
        let sections: Vec<Section> = self.sections.extract_if(.., is_key).collect();
        if sections.is_empty() {
            let message = "the section is missing; without a key, no bundle can be accepted";
            self.report(0, "[key ID]", message);
        }
        let mut keys = TrustedKeys::default();
        for mut section in sections {
            if let Some(id) = section.header_name(1) {
                section.take_with(fields::KEY_PUBLIC.name, |text| {
                    keys.add_base64(id, text).map_err(|error| error.to_string())
                });
            }
            self.problems.extend(section.finish());
        }
        keys
    }

    fn finish(mut self) -> Vec<Problem> {
        for section in std::mem::take(&mut self.sections) {
            let message = "settings have the sections [host], [platform], [peers], [key ID], \
                           [log], [metrics] and [runtime] only";
            self.report(section.line(), &section.title(), message);
        }
        self.problems.sort();
        self.problems
    }

    fn report(&mut self, line: u32, field: &str, message: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line,
            field: Name::new(field),
            message: message.to_owned(),
        });
    }
}

/// Reads a required field. A missing section has already been reported.
fn required<T>(
    section: &mut Option<Section>,
    field: &str,
    read: impl FnOnce(&mut Section, &str) -> Option<T>,
) -> Option<T> {
    section.as_mut().and_then(|section| read(section, field))
}

fn optional<T>(
    section: &mut Option<Section>,
    field: &str,
    read: impl FnOnce(&mut Section, &str) -> Option<T>,
) -> Option<T> {
    section
        .as_mut()
        .and_then(|section| section.take_optional(field, read))
}

fn take_size(section: &mut Option<Section>, field: &heatherhinge_ini::Field) -> usize {
    let number = match section.as_mut() {
        Some(section) => field.take_number(section),
        None => field.default_number(),
    };
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn take_addr(section: &mut Option<Section>, field: &str) -> SocketAddr {
    required(section, field, Section::take_addr).unwrap_or_else(placeholder_addr)
}

/// Reads an address at which other hosts and callers connect to this host, so it must be specific.
fn take_own_addr(section: &mut Option<Section>, field: &str) -> SocketAddr {
    let addr = required(section, field, Section::take_addr);
    if let (Some(section), Some(addr)) = (section, addr)
        && addr.ip().is_unspecified()
    {
        section.report(
            field,
            format!("{addr} is unspecified; give the address at which others reach the host"),
        );
    }
    addr.unwrap_or_else(placeholder_addr)
}

fn placeholder_addr() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0)
}

fn check_own_addrs(host: Option<&mut Section>, settings: &EntrySettings) {
    // Port 0 means any free port, or an address that could not be parsed.
    let is_same = settings.caller_addr == settings.peer_addr && settings.peer_addr.port() != 0;
    if let (Some(host), true) = (host, is_same) {
        host.report(
            fields::PEER_ADDR.name,
            "the address must differ from caller_addr".to_owned(),
        );
    }
}
