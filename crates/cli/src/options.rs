//! Parses the command line.

use crate::{Command, Invocation, Subject};
use bpaf::{OptionParser, Parser, construct, long, positional};
use heatherhinge_types::Name;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit codes and environment variable, printed below the help of every command.
const FOOTER: &str = "Exit codes: 0 the command succeeded; 1 it was refused and nothing was \
changed; 2 the arguments or a file cannot be used; 3 no entry host responded, or the outcome is \
unknown. HEATHERHINGE_ENTRY names entry hosts, separated by commas, for commands without --entry.";

/// Makes the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<Invocation> {
    let bundle = bundle()
        .command("bundle")
        .help("Check, sign and submit the configuration bundle, and show where it is in force");
    let explain = explain()
        .command("explain")
        .help("Explain what happened to a request or a version move");
    let key = key().command("key").help("Create keys that sign bundles");
    let report = report()
        .command("report")
        .help("List the version moves that are done, taken back or late");
    let status = status()
        .command("status")
        .help("Show the state of the fleet as one entry host sees it");
    construct!([bundle, explain, key, report, status])
        .to_options()
        .descr(
            "Controls heatherhinge. Operators change the fleet only through signed bundles and see \
             their effect through status, reports and explanations.",
        )
        .footer(FOOTER)
        .version(env!("CARGO_PKG_VERSION"))
}

fn command_options(
    command: impl Parser<Command> + 'static,
    descr: &'static str,
) -> OptionParser<Invocation> {
    let is_json = long("json")
        .help(
            "Print one JSON object instead of text. Its member \"outcome\" is \"ok\", \"refused\", \
             \"usage\" or \"unknown\", and matches the exit code",
        )
        .switch();
    construct!(Invocation { is_json, command })
        .to_options()
        .descr(descr)
        .footer(FOOTER)
}

fn entries(help: &'static str) -> impl Parser<Vec<SocketAddr>> {
    long("entry")
        .help(help)
        .argument::<SocketAddr>("ADDR")
        .many()
}

/// The help of `--entry` where the first response is used.
const ENTRY_HELP_FIRST: &str = "Address of an entry host for callers, as IP:PORT. May be given \
several times; the hosts are tried in this order until one responds";

/// The help of `--entry` where all hosts are queried.
const ENTRY_HELP_ALL: &str = "Address of an entry host for callers, as IP:PORT. May be given \
several times; all of them are queried, and then the hosts that they list";

fn key() -> OptionParser<Invocation> {
    let out = long("out")
        .help(
            "File for the new key. It must not exist yet, and only its owner can read it. Anyone \
             who has it can change the fleet, so keep it off the entry hosts",
        )
        .argument::<PathBuf>("FILE");
    let id = long("id")
        .help(
            "Id of the key, named in envelopes, settings and revocations. Without it, the id is \
             derived from the public key",
        )
        .argument::<String>("ID")
        .parse(|text| parse_id(&text))
        .optional();
    let new = command_options(
        construct!(Command::KeyNew { out, id }),
        "Creates an Ed25519 key, writes it to a file and prints the section that the settings of \
         every entry host need to trust it.",
    )
    .command("new")
    .help("Create a signing key");
    new.to_options()
        .descr("Creates keys that sign bundles.")
        .footer(FOOTER)
}

fn bundle() -> OptionParser<Invocation> {
    let check = bundle_check()
        .command("check")
        .help("Check the text of a bundle and print every problem");
    let sign = bundle_sign()
        .command("sign")
        .help("Sign the text of a bundle and write the envelope");
    let submit = bundle_submit()
        .command("submit")
        .help("Submit an envelope and show where it is in force");
    let status = bundle_status()
        .command("status")
        .help("Show which bundle each entry host has in force");
    construct!([check, sign, submit, status])
        .to_options()
        .descr(
            "Checks, signs and submits the configuration bundle, and shows where it is in force.",
        )
        .footer(FOOTER)
}

fn bundle_check() -> OptionParser<Invocation> {
    let entries = entries(
        "Address of an entry host for callers, as IP:PORT. With it, the text is also checked \
         against the bundle in force: its version must be the next one, and the end time \
         of a move that continues unchanged is not checked again. May be given several times; the \
         hosts are tried in this order until one responds",
    );
    let file = positional::<PathBuf>("FILE").help("The text of the bundle, as INI");
    command_options(
        construct!(Command::BundleCheck { entries, file }),
        "Checks the text of a bundle as a whole and prints every problem with file, line and field. \
         Nothing is sent unless --entry is given.",
    )
}

fn bundle_sign() -> OptionParser<Invocation> {
    let key = long("key")
        .help("The key file, as written by key new")
        .argument::<PathBuf>("FILE");
    let out = long("out")
        .help("File for the envelope, a JSON object. An earlier envelope is replaced")
        .argument::<PathBuf>("FILE");
    let file = positional::<PathBuf>("FILE").help("The text of the bundle, as INI");
    command_options(
        construct!(Command::BundleSign { key, out, file }),
        "Checks the text of a bundle and signs it. A text that does not pass, or that revokes the \
         key it is signed with, is refused. End times of moves are checked by bundle check and by \
         the entry hosts.",
    )
}

fn bundle_submit() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_HELP_FIRST);
    let envelope =
        positional::<PathBuf>("ENVELOPE").help("The envelope, as written by bundle sign");
    command_options(
        construct!(Command::BundleSubmit { entries, envelope }),
        "Submits an envelope. If the response is lost, the entry hosts are asked whether the \
         bundle came into force, and the command prints the outcome. An accepted bundle is pushed to \
         all known entry hosts, and the command prints which have it in force, waiting up to 4 s. \
         Submitting the same envelope again is safe: a version is accepted once only.",
    )
}

fn bundle_status() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_HELP_ALL);
    command_options(
        construct!(Command::BundleStatus { entries }),
        "Shows which version of the bundle each entry host has in force, from the host's own \
         response or, if it sends none, as reported by its peers.",
    )
}

fn report() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_HELP_FIRST);
    command_options(
        construct!(Command::Report { entries }),
        "Lists the version moves that are done, taken back or late, with the time and the counts \
         of each decision.",
    )
}

fn status() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_HELP_FIRST);
    command_options(
        construct!(Command::Status { entries }),
        "Shows hosts, zones, moves and the counts of probes, retries and refusals as one entry \
         host sees them.",
    )
}

fn explain() -> OptionParser<Invocation> {
    let request = explain_subject(
        Subject::Request,
        "Explains what happened to a request: waits, choices of target, retries, claims and the \
         response, each with the versions of the state that it was based on. The id is in the \
         Heatherhinge-Request-Id header of the response.",
    )
    .command("request")
    .help("Explain what happened to a request");
    let version_move = explain_subject(
        Subject::Move,
        "Explains each decision on a version move, with the counts that it was based on.",
    )
    .command("move")
    .help("Explain the decisions on a version move");
    let log = explain_log()
        .command("log")
        .help("Explain what happened to a request from log files");
    construct!([request, version_move, log])
        .to_options()
        .descr("Explains what happened to a request or a version move.")
        .footer(FOOTER)
}

fn explain_subject(
    make: impl Fn(Name) -> Subject + 'static,
    descr: &'static str,
) -> OptionParser<Invocation> {
    let entries = entries(ENTRY_HELP_ALL);
    let subject = positional::<String>("ID")
        .help("The id")
        .parse(move |text| parse_id(&text).map(&make));
    command_options(construct!(Command::Explain { entries, subject }), descr)
}

fn explain_log() -> OptionParser<Invocation> {
    let id = positional::<String>("ID")
        .help("The id of the request, as its caller sent it")
        .parse(|text| parse_id(&text));
    let files = positional::<PathBuf>("FILE")
        .help("A log file of a host. Give those of all hosts that may have received the request")
        .some("at least one log file is needed");
    command_options(
        construct!(Command::ExplainLog { id, files }),
        "Explains what the hosts of a platform have logged about a request: the targets that were \
         tried with the load that they reported, the response and whether the request ran, and \
         what changed at the host in the two seconds before. Lines that cannot be read are counted.",
    )
}

/// Checks an id. Ids are parts of paths and of INI headers, so only characters that need no escape
/// are allowed.
fn parse_id(text: &str) -> Result<Name, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_start_allowed = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if is_start_allowed && text.len() <= 64 && text.chars().all(is_allowed) {
        Ok(Name::new(text))
    } else {
        Err(
            "an id starts with a letter or digit; at most 64 letters, digits, '-', '_', '.'"
                .to_owned(),
        )
    }
}
