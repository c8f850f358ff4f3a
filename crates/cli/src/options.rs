//! The arguments of the command line.

use crate::{Command, Invocation, Subject};
use bpaf::{OptionParser, Parser, construct, long, positional};
use heatherhinge_types::Name;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit codes and environment, printed below the help of every command.
const FOOTER: &str = "Exit codes: 0 the command did what it says; 1 it was refused and nothing was \
changed; 2 the arguments or a file cannot be used; 3 no entry host answered, or the outcome is \
unknown. HEATHERHINGE_ENTRY names entry hosts, separated by commas, for commands without --entry.";

/// Makes the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<Invocation> {
    let bundle = bundle()
        .command("bundle")
        .help("Check, sign, submit and follow the bundle of configuration");
    let explain = explain()
        .command("explain")
        .help("Tell the story of a request or a version move in plain sentences");
    let key = key().command("key").help("Make keys that sign bundles");
    let report = report()
        .command("report")
        .help("Tell which version moves are done, taken back or late");
    let status = status()
        .command("status")
        .help("Tell the state of the fleet as one entry host sees it");
    construct!([bundle, explain, key, report, status])
        .to_options()
        .descr(
            "Controls heatherhinge. Operators change the fleet only through signed bundles and see \
             what became of them through status, reports and explanations.",
        )
        .footer(FOOTER)
        .version(env!("CARGO_PKG_VERSION"))
}

fn leaf(command: impl Parser<Command> + 'static, descr: &'static str) -> OptionParser<Invocation> {
    let is_json = long("json")
        .help(
            "Print one JSON object instead of text. Its member \"outcome\" is \"ok\", \"refused\", \
             \"usage\" or \"unknown\", in step with the exit code",
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

/// The help of `--entry` where hosts are asked in turn.
const ENTRY_IN_TURN: &str = "Address of an entry host for callers, as IP:PORT. May be given several \
times; the hosts are asked in this order until one answers";

/// The help of `--entry` where every host is asked.
const ENTRY_ALL: &str = "Address of an entry host for callers, as IP:PORT. May be given several \
times; all of them are asked, and then the hosts that they name";

fn key() -> OptionParser<Invocation> {
    let out = long("out")
        .help(
            "File for the new key. It must not exist yet, and only its owner can read it. Whoever \
             has it can change the fleet, so keep it off the entry hosts",
        )
        .argument::<PathBuf>("FILE");
    let id = long("id")
        .help(
            "Id of the key, named in envelopes, settings and revocations. Without it, the id is \
             derived from the public key",
        )
        .argument::<String>("ID")
        .parse(|text| check_id(&text))
        .optional();
    let new = leaf(
        construct!(Command::KeyNew { out, id }),
        "Makes an Ed25519 key, writes it to a file and prints the section that the settings of \
         every entry host need to trust it.",
    )
    .command("new")
    .help("Make a signing key");
    new.to_options()
        .descr("Makes keys that sign bundles.")
        .footer(FOOTER)
}

fn bundle() -> OptionParser<Invocation> {
    let check = bundle_check()
        .command("check")
        .help("Check the text of a bundle and print every problem");
    let sign = bundle_sign()
        .command("sign")
        .help("Sign the text of a bundle into an envelope");
    let submit = bundle_submit()
        .command("submit")
        .help("Submit an envelope and see where it is in force");
    let status = bundle_status()
        .command("status")
        .help("Tell which bundle each entry host has in force");
    construct!([check, sign, submit, status])
        .to_options()
        .descr("Checks, signs, submits and follows the bundle of configuration.")
        .footer(FOOTER)
}

fn bundle_check() -> OptionParser<Invocation> {
    let entries = entries(
        "Address of an entry host for callers, as IP:PORT. With it, the text is also checked \
         against the bundle in force: its version must be the next one, and a move that goes on \
         unchanged is not timed again. May be given several times; the hosts are asked in this \
         order until one answers",
    );
    let file = positional::<PathBuf>("FILE").help("The text of the bundle, as INI");
    leaf(
        construct!(Command::BundleCheck { entries, file }),
        "Checks the text of a bundle as a whole and prints every problem with file, line and field. \
         Nothing is sent unless --entry is given.",
    )
}

fn bundle_sign() -> OptionParser<Invocation> {
    let key = long("key")
        .help("The key file, as made by key new")
        .argument::<PathBuf>("FILE");
    let out = long("out")
        .help("File for the envelope, a JSON object. An earlier envelope is replaced")
        .argument::<PathBuf>("FILE");
    let file = positional::<PathBuf>("FILE").help("The text of the bundle, as INI");
    leaf(
        construct!(Command::BundleSign { key, out, file }),
        "Checks the text of a bundle and signs it. A text that does not pass, or that revokes the \
         key it is signed with, is refused. End times of moves are left to bundle check and to the \
         entry hosts.",
    )
}

fn bundle_submit() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_IN_TURN);
    let envelope = positional::<PathBuf>("ENVELOPE").help("The envelope, as made by bundle sign");
    leaf(
        construct!(Command::BundleSubmit { entries, envelope }),
        "Submits an envelope. If the answer is lost, the entry hosts are asked whether the bundle \
         came into force, and the command says which it was. An accepted bundle is pushed to all \
         known entry hosts, and the command prints which have it in force, waiting up to 4 s. \
         Submitting the same envelope again is safe: a version is accepted once only.",
    )
}

fn bundle_status() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_ALL);
    leaf(
        construct!(Command::BundleStatus { entries }),
        "Tells which version of the bundle each entry host has in force, by the host's own answer \
         or, where it gives none, as its peers heard it.",
    )
}

fn report() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_IN_TURN);
    leaf(
        construct!(Command::Report { entries }),
        "Tells which version moves are done, taken back or late, when, and on which counts.",
    )
}

fn status() -> OptionParser<Invocation> {
    let entries = entries(ENTRY_IN_TURN);
    leaf(
        construct!(Command::Status { entries }),
        "Tells hosts, zones, moves and costs as one entry host sees them.",
    )
}

fn explain() -> OptionParser<Invocation> {
    let request = explain_leaf(
        Subject::Request,
        "Tells what happened to a request: waits, choices of target, retries, claims and the \
         answer, each with the versions of the state that it was based on. The id is in the \
         Heatherhinge-Request-Id header of the answer.",
    )
    .command("request")
    .help("Tell the story of a request");
    let version_move = explain_leaf(
        Subject::Move,
        "Tells each decision on a version move, with the counts that it was based on.",
    )
    .command("move")
    .help("Tell the story of a version move");
    let log = explain_log()
        .command("log")
        .help("Tell the story of a request from log files");
    construct!([request, version_move, log])
        .to_options()
        .descr("Tells the story of a request or a version move in plain sentences.")
        .footer(FOOTER)
}

fn explain_leaf(
    make: impl Fn(Name) -> Subject + 'static,
    descr: &'static str,
) -> OptionParser<Invocation> {
    let entries = entries(ENTRY_ALL);
    let subject = positional::<String>("ID")
        .help("The id")
        .parse(move |text| check_id(&text).map(&make));
    leaf(construct!(Command::Explain { entries, subject }), descr)
}

fn explain_log() -> OptionParser<Invocation> {
    let id = positional::<String>("ID")
        .help("The id of the request, as its caller sent it")
        .parse(|text| check_id(&text));
    let files = positional::<PathBuf>("FILE")
        .help("A file with the log lines of a host. All hosts that may have had the request")
        .some("at least one log file is needed");
    leaf(
        construct!(Command::ExplainLog { id, files }),
        "Tells what the hosts of a platform have logged of a request: the targets that were tried \
         with the load that they stated, the answer and whether the request ran, and what changed \
         at the host in the two seconds before. Lines that cannot be read are counted.",
    )
}

/// Ids are parts of paths and of INI headers, so only characters that need no escape are taken.
fn check_id(text: &str) -> Result<Name, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts_well && text.len() <= 64 && text.chars().all(is_allowed) {
        Ok(Name::new(text))
    } else {
        Err("an id has at most 64 letters, digits, '-', '_' and '.'".to_owned())
    }
}
