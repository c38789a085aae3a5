//! Reads settings from flags and environment variables. Each program declares its settings in one
//! table.
//!
//! A row of the table gives type, unit, default, range and help. A flag overrides its environment
//! variable, whose name is `GAPLOCK_` and the flag's name in capitals. All errors are reported
//! together, with the flag's name. A secret comes from the environment or a file, never from a
//! flag's value.

pub mod logs;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::str::FromStr;

/// The type of a setting's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// A whole number within a range.
    Number {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// An IP address with a port, such as `127.0.0.1:80`.
    Addr,
    /// A comma-separated list of names.
    List,
    /// A switch; its flag has no value.
    Switch,
    /// A secret; the flag names a file that holds it, and the variable holds the secret itself.
    Secret,
}

/// One row of a settings table.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The flag's name, without dashes.
    pub name: &'static str,
    /// The type of its value.
    pub kind: Kind,
    /// The unit, shown in the help.
    pub unit: &'static str,
    /// The default; a setting without one is required.
    pub default: Option<&'static str>,
    /// One sentence, shown in the help.
    pub help: &'static str,
}

/// Declares a setting; a program's table is a list of these.
pub const fn setting(
    name: &'static str,
    kind: Kind,
    unit: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting { name, kind, unit, default, help }
}

/// All errors in the settings, one sentence each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingErrors(pub Vec<String>);

impl std::fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for error in &self.0 {
            writeln!(f, "error: {error}")?;
        }
        f.write_str("Run with --help for every setting.")
    }
}

impl std::error::Error for SettingErrors {}

/// The values of the settings.
#[derive(Debug, Clone)]
pub struct Values {
    values: BTreeMap<&'static str, String>,
    table: &'static [Setting],
    /// The arguments that are not flags.
    pub positional: Vec<String>,
}

/// What the command line requests.
#[derive(Debug)]
pub enum Invocation {
    /// Run with these settings.
    Run(Values),
    /// Print this text and exit: the help, or the values of the settings with `--check`.
    Print(String),
}

/// Returns the environment variable of a setting.
pub fn variable(name: &str) -> String {
    format!("GAPLOCK_{}", name.to_uppercase().replace('-', "_"))
}

/// Reads settings from the arguments (without the program's name) and from environment variables,
/// which `env` looks up.
///
/// # Errors
/// Returns all errors together.
pub fn read(
    program: &str,
    about: &str,
    table: &'static [Setting],
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
) -> Result<Invocation, SettingErrors> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "check", "check the settings, print them and end");
    for s in table {
        match s.kind {
            Kind::Switch => options.optflag("", s.name, s.help),
            _ => options.optopt("", s.name, s.help, s.unit),
        };
    }
    let matches = options.parse(args).map_err(|e| SettingErrors(vec![e.to_string()]))?;
    if matches.opt_present("help") {
        return Ok(Invocation::Print(help(program, about, table)));
    }
    let mut errors = Vec::new();
    let mut values = BTreeMap::new();
    for s in table {
        match value_of(s, &matches, &env) {
            Ok(Some(value)) => {
                values.insert(s.name, value);
            }
            Ok(None) => {}
            Err(error) => errors.push(error),
        }
    }
    if !errors.is_empty() {
        return Err(SettingErrors(errors));
    }
    let values = Values { values, table, positional: matches.free.clone() };
    if matches.opt_present("check") {
        return Ok(Invocation::Print(values.describe()));
    }
    Ok(Invocation::Run(values))
}

/// Reads the settings of this process. With `--help` or `--check` it prints and exits the process;
/// if the settings are wrong it prints the errors and exits with code 2.
pub fn read_or_exit(program: &str, about: &str, table: &'static [Setting]) -> Values {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match read(program, about, table, &args, |name| std::env::var(name).ok()) {
        Ok(Invocation::Run(values)) => values,
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            std::process::exit(0);
        }
        Err(errors) => {
            eprintln!("{errors}");
            std::process::exit(2);
        }
    }
}

fn value_of(
    s: &Setting,
    matches: &getopts::Matches,
    env: &impl Fn(&str) -> Option<String>,
) -> Result<Option<String>, String> {
    let from_env = env(&variable(s.name));
    let given = match s.kind {
        Kind::Switch if matches.opt_present(s.name) => Some("true".to_string()),
        Kind::Switch => from_env.or_else(|| Some("false".to_string())),
        Kind::Secret => match matches.opt_str(s.name) {
            Some(file) => {
                let text = std::fs::read_to_string(&file)
                    .map_err(|e| format!("--{}: {file}: {e}", s.name))?;
                Some(text.trim().to_string())
            }
            None => from_env,
        },
        _ => matches.opt_str(s.name).or(from_env),
    };
    let text = match given.or_else(|| s.default.map(str::to_string)) {
        Some(text) => text,
        None => return Err(format!("--{} is required ({})", s.name, s.help)),
    };
    if text.is_empty() && s.default == Some("") {
        return Ok(Some(text));
    }
    check(s, &text).map(|()| Some(text))
}

fn check(s: &Setting, text: &str) -> Result<(), String> {
    let fail = |why: String| Err(format!("--{}: {why}", s.name));
    match s.kind {
        Kind::Text | Kind::Secret if text.is_empty() => fail("it is empty".to_string()),
        Kind::Text | Kind::Secret => Ok(()),
        Kind::Number { min, max } => match text.parse::<u64>() {
            Ok(n) if (min..=max).contains(&n) => Ok(()),
            Ok(n) => fail(format!("{n} is not within {min} to {max} {}", s.unit)),
            Err(_) => fail(format!("`{text}` is not a whole number")),
        },
        Kind::Addr => match text.parse::<std::net::SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => fail(format!("`{text}` is not an IP number with a port")),
        },
        Kind::List if text.split(',').any(|part| part.trim().is_empty()) => {
            fail(format!("`{text}` has an empty part"))
        }
        Kind::List => Ok(()),
        Kind::Switch if text == "true" || text == "false" => Ok(()),
        Kind::Switch => fail(format!("`{text}` is neither `true` nor `false`")),
    }
}

fn help(program: &str, about: &str, table: &[Setting]) -> String {
    let mut text = format!("{program} - {about}\n\nSettings (flag, then variable):\n");
    for s in table {
        let unit = if s.unit.is_empty() { String::new() } else { format!(" {}", s.unit) };
        let default = match s.default {
            None => "required".to_string(),
            Some("") => "none".to_string(),
            Some(value) => format!("default {value}"),
        };
        let range = match s.kind {
            Kind::Number { min, max } => format!(", {min} to {max}"),
            _ => String::new(),
        };
        let _ = writeln!(text, "  --{}{unit}  {}", s.name, variable(s.name));
        let _ = writeln!(text, "      {} ({default}{range})", s.help);
    }
    text.push_str("  --check\n      Check the settings, print them and end.\n  --help");
    text
}

impl Values {
    /// Returns a setting's text.
    ///
    /// # Panics
    /// Panics if the table does not declare the setting: an error in the program, not in its use.
    pub fn text(&self, name: &str) -> &str {
        self.values.get(name).unwrap_or_else(|| panic!("setting `{name}` is not declared"))
    }

    /// Returns a whole number.
    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().expect("`read` has checked that the text is a whole number")
    }

    /// Returns a switch.
    pub fn switch(&self, name: &str) -> bool {
        self.text(name) == "true"
    }

    /// Returns the parts of a list, each parsed as `T`.
    ///
    /// # Errors
    /// Returns an error for each part that does not parse.
    pub fn list<T: FromStr>(&self, name: &str) -> Result<Vec<T>, SettingErrors>
    where
        T::Err: std::fmt::Display,
    {
        let mut errors = Vec::new();
        let mut parts = Vec::new();
        for part in self.text(name).split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(value) => parts.push(value),
                Err(e) => errors.push(format!("--{name}: {e}")),
            }
        }
        if errors.is_empty() {
            Ok(parts)
        } else {
            Err(SettingErrors(errors))
        }
    }

    /// Describes the values of all settings, with secrets hidden.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for s in self.table {
            let value = match s.kind {
                Kind::Secret => "(hidden)",
                _ => self.text(s.name),
            };
            let _ = writeln!(text, "--{} = {value}", s.name);
        }
        text.push_str("settings: ok");
        text
    }
}
