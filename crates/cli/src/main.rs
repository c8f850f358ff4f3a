//! The binary `heatherhinge`: runs one command and prints its result.

use bpaf::{Args, ParseFailure};
use eyre::WrapErr;
use heatherhinge_cli::{Context, Exit, Invocation, Limits, Output, options, run};
use heatherhinge_types::WallMs;
use rand::TryRng;
use rand::rngs::SysRng;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

fn main() -> ExitCode {
    match try_main() {
        Ok(exit) => exit,
        Err(error) => {
            // Only reading the environment, starting the runtime and printing can fail here.
            eprintln!("heatherhinge: {error:#}");
            ExitCode::from(Exit::Usage as u8)
        }
    }
}

fn try_main() -> eyre::Result<ExitCode> {
    let invocation = match options().run_inner(Args::current_args()) {
        Ok(invocation) => invocation,
        Err(failure) => return print_failure(failure),
    };
    let context = context()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime cannot be started")?;
    let output = runtime.block_on(run(&context, &invocation));
    print(&invocation, &output)?;
    Ok(ExitCode::from(output.exit as u8))
}

fn context() -> eyre::Result<Context> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .wrap_err("the system clock is before 1970")?;
    let mut secret = [0; 32];
    SysRng
        .try_fill_bytes(&mut secret)
        .wrap_err("the system returned no random bytes")?;
    Ok(Context {
        now_wall_ms: WallMs(u64::try_from(now.as_millis())?),
        secret,
        default_entries: default_entries()?,
        limits: Limits::DEFAULT,
    })
}

fn default_entries() -> eyre::Result<Vec<SocketAddr>> {
    let text = std::env::var("HEATHERHINGE_ENTRY").unwrap_or_default();
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    parts
        .map(|part| {
            part.parse()
                .wrap_err_with(|| format!("HEATHERHINGE_ENTRY: '{part}' is not IP:PORT"))
        })
        .collect()
}

/// Prints JSON to standard output for every outcome, but the text of a failure to standard error.
fn print(invocation: &Invocation, output: &Output) -> eyre::Result<()> {
    if invocation.is_json {
        writeln!(std::io::stdout(), "{}", output.json)?;
    } else if output.exit == Exit::Ok {
        write!(std::io::stdout(), "{}", output.text)?;
    } else {
        write!(std::io::stderr(), "{}", output.text)?;
    }
    Ok(())
}

fn print_failure(failure: ParseFailure) -> eyre::Result<ExitCode> {
    match failure {
        ParseFailure::Completion(text) => {
            write!(std::io::stdout(), "{text}")?;
            Ok(ExitCode::SUCCESS)
        }
        ParseFailure::Stdout(text, is_full) => {
            writeln!(std::io::stdout(), "{}", text.monochrome(is_full))?;
            Ok(ExitCode::SUCCESS)
        }
        ParseFailure::Stderr(text) => {
            writeln!(std::io::stderr(), "{}", text.monochrome(true))?;
            Ok(ExitCode::from(Exit::Usage as u8))
        }
    }
}
