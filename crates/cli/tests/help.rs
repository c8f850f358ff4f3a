//! Tests of help texts, usage errors, shell completion and exit codes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bpaf::ParseFailure;
use heatherhinge_cli::options;
use yare::parameterized;

fn help(args: &[&str]) -> String {
    let mut args = args.to_vec();
    args.push("--help");
    let args = bpaf::Args::from(args.as_slice()).set_name("heatherhinge");
    options().run_inner(args).unwrap_err().unwrap_stdout()
}

/// Guards against a flag without help and against help that changes unnoticed.
#[test]
fn help_of_every_command() {
    let commands: [&[&str]; 13] = [
        &[],
        &["bundle"],
        &["bundle", "check"],
        &["bundle", "sign"],
        &["bundle", "submit"],
        &["bundle", "status"],
        &["explain"],
        &["explain", "request"],
        &["explain", "move"],
        &["key"],
        &["key", "new"],
        &["report"],
        &["status"],
    ];
    let pages: Vec<String> = commands
        .iter()
        .map(|args| format!("$ heatherhinge {} --help\n{}", args.join(" "), help(args)))
        .collect();
    insta::assert_snapshot!(pages.join("\n"));
}

/// Guards against wrong arguments being accepted with another meaning.
#[parameterized(
    no_command = { &[] },
    unknown_command = { &["bundles"] },
    entry_is_a_host_name = { &["status", "--entry", "localhost:80"] },
    id_with_slash = { &["explain", "move", "a/b"] },
    id_of_dots = { &["explain", "request", ".."] },
    no_file = { &["bundle", "sign", "b.ini", "--key", "k"] },
    two_files = { &["bundle", "check", "a", "b"] },
)]
fn usage_error(args: &[&str]) {
    let failure = options().run_inner(args).unwrap_err();
    assert!(matches!(failure, ParseFailure::Stderr(_)), "{failure:?}");
}

/// Guards against completion that no longer offers the commands.
#[test]
fn completion_offers_commands() {
    let args = bpaf::Args::from(&["bundle", ""][..]).set_comp(0);
    let failure = options().run_inner(args).unwrap_err();
    insta::assert_snapshot!(failure.unwrap_stdout());
}

/// Guards against the binary exiting with another code than its library returned, and against an
/// invalid environment variable being reported as a refusal.
#[parameterized(
    version = { &["--version"], "", 0 },
    no_command = { &[], "", 2 },
    no_entry_host = { &["status"], "", 2 },
    bad_environment = { &["status"], "localhost:80", 2 },
    missing_file = { &["bundle", "check", "no-such.ini"], "", 2 },
    refused = { &["bundle", "check", "tests/data/refused.ini"], "", 1 },
    refused_as_json = { &["bundle", "check", "--json", "tests/data/refused.ini"], "", 1 },
    passes = { &["bundle", "check", "tests/data/passes.ini"], "", 0 },
)]
fn exit_code_of_the_binary(args: &[&str], entry: &str, expected: i32) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_heatherhinge"))
        .args(args)
        .env("HEATHERHINGE_ENTRY", entry)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(expected), "{output:?}");
    let is_text_of_failure = expected != 0 && !args.contains(&"--json");
    assert_eq!(output.stdout.is_empty(), is_text_of_failure, "{output:?}");
}
