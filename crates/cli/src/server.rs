//! Calls the entries in the configured order and uses the first one that can be reached.

use std::time::Duration;

use gaplock_remote::http::{Answer, Call, Client, HttpError};
use gaplock_settings::Values;
use gaplock_types::{api, codes};
use http_types::Method;
use serde::de::DeserializeOwned;

use crate::Exit;

/// Bounds one call to an entry, from connecting to the complete answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The entries' addresses and the operator's key.
pub struct Server {
    entries: Vec<String>,
    bearer: String,
}

/// The result of a call or command; the error says how the command exits.
pub type Result<T> = std::result::Result<T, Exit>;

impl Server {
    /// Reads the entries' addresses and the key from the settings.
    pub fn open(values: &Values) -> Result<Self> {
        let entries = values.list("entry").map_err(|e| Exit::Usage(e.to_string()))?;
        let bearer = format!("Bearer {}", values.text("key"));
        Ok(Self { entries, bearer })
    }

    /// Calls the first entry that can be reached and parses its answer.
    ///
    /// # Errors
    /// Returns how the command exits if no entry answered, or the answer is a refusal or cannot be
    /// parsed.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T> {
        let answer = self.call_first_reachable(method, path, body).await?;
        if answer.status >= 400 {
            return Err(exit_for_refusal(&answer));
        }
        answer.json().ok_or_else(|| Exit::Refused("the answer cannot be read".to_string()))
    }

    async fn call_first_reachable(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer> {
        let headers = [("authorization", self.bearer.as_str())];
        for entry in &self.entries {
            let client = Client::open(entry, 0);
            let call =
                Call { method, path, headers: &headers, body: body.clone(), timeout: CALL_TIMEOUT };
            match client.call(call).await {
                Ok(answer) => return Ok(answer),
                Err(HttpError::NotSent) => eprintln!("note: {entry} cannot be reached"),
                Err(HttpError::Unclear) => {
                    let message = format!(
                        "{entry} gave no whole answer; the command may have taken effect. Look \
                         with `gaplock status`, then repeat it: a confirmation is safe to repeat"
                    );
                    return Err(Exit::Unreachable(message));
                }
            }
        }
        let message = "no entry can be reached; check --entry or GAPLOCK_ENTRY".to_string();
        Err(Exit::Unreachable(message))
    }
}

fn exit_for_refusal(answer: &Answer) -> Exit {
    let Some(refusal) = answer.json::<api::Refusal>() else {
        return Exit::Refused(format!("status {}", answer.status));
    };
    let text = format!("{} {}: {}", refusal.code, refusal.name, refusal.message);
    match refusal.result_code() {
        codes::Code::PlanStale | codes::Code::PlanExpired => Exit::Stale(text),
        _ => Exit::Refused(text),
    }
}
