//! The result of a command.

use heatherhinge_ini::Problem;
use heatherhinge_records::admin::ErrorBody;
use heatherhinge_types::Code;
use serde_json::{Value, json};

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// The command was refused, and nothing was changed.
    Refused = 1,
    /// The arguments or a file that they name cannot be used.
    Usage = 2,
    /// No entry host responded, or the outcome is unknown.
    Unknown = 3,
}

/// What a command prints, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Exit code.
    pub exit: Exit,
    /// Text for the operator, ending in a newline.
    pub text: String,
    /// The same as a JSON object with the member `outcome`.
    pub json: Value,
}

impl Output {
    /// Returns the output of a command that succeeded. `json` must be an object.
    #[must_use]
    pub fn ok(text: String, json: Value) -> Self {
        Self::new(Exit::Ok, text, json)
    }

    /// Returns the output for a file or argument that cannot be used.
    #[must_use]
    pub fn usage(message: &str) -> Self {
        Self::new(
            Exit::Usage,
            format!("{message}\n"),
            json!({ "message": message }),
        )
    }

    /// Returns the output for an unknown outcome or a missing response.
    #[must_use]
    pub fn unknown(message: &str) -> Self {
        Self::new(
            Exit::Unknown,
            format!("{message}\n"),
            json!({ "message": message }),
        )
    }

    /// Returns the output for a refusal by this command, with the problems of a file.
    #[must_use]
    pub fn refused(code: Code, problems: &[Problem]) -> Self {
        let mut refusal = ErrorBody::new(code, None);
        refusal.problems = problems.iter().map(ToString::to_string).collect();
        Self::from_refusal(&refusal)
    }

    /// Returns the output for a refusal by an entry host.
    #[must_use]
    pub fn from_refusal(refusal: &ErrorBody) -> Self {
        let mut text = format!("Refused with code {}: {}\n", refusal.code, refusal.message);
        for problem in &refusal.problems {
            text.push_str(problem);
            text.push('\n');
        }
        if let Some(id) = &refusal.request_id {
            text.push_str(&format!("Request id: {id}\n"));
        }
        let json = serde_json::to_value(refusal).unwrap_or_else(|_| json!({}));
        Self::new(Exit::Refused, text, json)
    }

    fn new(exit: Exit, text: String, mut json: Value) -> Self {
        let outcome = match exit {
            Exit::Ok => "ok",
            Exit::Refused => "refused",
            Exit::Usage => "usage",
            Exit::Unknown => "unknown",
        };
        if let Value::Object(members) = &mut json {
            members.insert("outcome".to_owned(), outcome.into());
        }
        Self { exit, text, json }
    }
}
