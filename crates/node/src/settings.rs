//! The daemon's settings. Each has a flag and an environment variable, and the flag takes precedence.

use std::{env, fmt::Write as _, net::SocketAddr, str::FromStr};

use getopts::{Matches, Options};
use model::{DomainId, NodeId, RegionId};

const USAGE: &str = "\
lacewingrouter: schedules unlike work on one cluster and routes callers' requests to it

Usage: lacewingrouter [options]

Each option can be given by the variable in brackets instead; the option wins.";

/// One setting: its flag, its environment variable, and the description and value name in the help.
struct Setting {
    flag: &'static str,
    variable: &'static str,
    about: &'static str,
    hint: &'static str,
}

const SETTINGS: [Setting; 9] = [
    setting(
        "node-id",
        "LACEWING_NODE_ID",
        "this node's number, unique in the cluster",
        "N",
    ),
    setting(
        "region",
        "LACEWING_REGION",
        "the region that this VM stands in",
        "NAME",
    ),
    setting(
        "domain",
        "LACEWING_DOMAIN",
        "the failure domain that this VM stands in",
        "NAME",
    ),
    setting(
        "listen",
        "LACEWING_LISTEN",
        "where callers and operators are answered",
        "ADDR",
    ),
    setting(
        "peer-listen",
        "LACEWING_PEER_LISTEN",
        "where other nodes are answered",
        "ADDR",
    ),
    setting(
        "platform",
        "LACEWING_PLATFORM",
        "the platform's address",
        "URL",
    ),
    setting(
        "operator-token",
        "LACEWING_OPERATOR_TOKEN",
        "the token of operators",
        "TOKEN",
    ),
    setting(
        "peer-token",
        "LACEWING_PEER_TOKEN",
        "the token of nodes among themselves",
        "TOKEN",
    ),
    setting(
        "metrics",
        "LACEWING_METRICS",
        "where metrics are sent by UDP; none if not given",
        "ADDR",
    ),
];

const fn setting(
    flag: &'static str,
    variable: &'static str,
    about: &'static str,
    hint: &'static str,
) -> Setting {
    Setting {
        flag,
        variable,
        about,
        hint,
    }
}

/// The minimum length of a token, in bytes.
const TOKEN_MIN_BYTES: usize = 8;

/// The daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The id of this node.
    pub node: NodeId,
    /// The region of this node.
    pub region: RegionId,
    /// The failure domain of this node.
    pub domain: DomainId,
    /// The address on which callers and operators are served.
    pub listen: SocketAddr,
    /// The address on which other nodes are served.
    pub peer_listen: SocketAddr,
    /// The URL of the platform, without a trailing slash.
    pub platform: String,
    /// The token that operators must present.
    pub operator_token: String,
    /// The token that nodes present to each other.
    pub peer_token: String,
    /// The address to which metrics are sent by UDP, if any.
    pub metrics: Option<SocketAddr>,
}

/// The request of a command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandLine {
    /// Print this text.
    Text(String),
    /// Run with these settings.
    Run(Box<Settings>),
}

/// All settings that are missing or wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{}", .errors.join("\n"))]
pub struct SettingsError {
    /// One line for each error.
    pub errors: Vec<String>,
}

/// Reads the settings from the arguments after the program's name and from the environment.
///
/// # Errors
///
/// Returns all errors in the settings at once.
pub fn parse(args: &[String]) -> Result<CommandLine, SettingsError> {
    parse_with(args, |name| env::var(name).ok())
}

/// Reads the settings from the arguments after the program's name, with a function that looks up
/// environment variables.
///
/// # Errors
///
/// Returns all errors in the settings at once.
pub fn parse_with(
    args: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<CommandLine, SettingsError> {
    let opts = options();
    let matches = opts.parse(args).map_err(|e| SettingsError {
        errors: vec![e.to_string()],
    })?;
    if matches.opt_present("help") {
        return Ok(CommandLine::Text(opts.usage(USAGE)));
    }
    if matches.opt_present("version") {
        let text = format!(
            "lacewingrouter {} (source {})\n",
            env!("CARGO_PKG_VERSION"),
            platform::SOURCE_DIGEST
        );
        return Ok(CommandLine::Text(text));
    }
    let mut reader = Reader {
        matches,
        variable,
        errors: Vec::new(),
    };
    let settings = reader.settings();
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(CommandLine::Run(Box::new(settings))),
        _ => Err(SettingsError {
            errors: reader.errors,
        }),
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    for setting in &SETTINGS {
        let about = format!("{} [{}]", setting.about, setting.variable);
        opts.optopt("", setting.flag, &about, setting.hint);
    }
    opts.optflag("h", "help", "print this help");
    opts.optflag("V", "version", "print the version");
    opts
}

struct Reader<F> {
    matches: Matches,
    variable: F,
    errors: Vec<String>,
}

impl<F: Fn(&str) -> Option<String>> Reader<F> {
    fn settings(&mut self) -> Option<Settings> {
        for arg in self.matches.free.clone() {
            self.errors.push(format!("`{arg}` is no option"));
        }
        let node = self.required("node-id", "a number such as 1");
        let region = self.required("region", "a short name such as marmara");
        let domain = self.required("domain", "a short name such as marmara-1");
        let listen = self.required("listen", "an address such as 10.0.0.1:8080");
        let peer_listen = self.required("peer-listen", "an address such as 10.0.0.1:7100");
        let platform = self.platform();
        let operator_token = self.token("operator-token");
        let peer_token = self.token("peer-token");
        let metrics = self.optional("metrics", "an address such as 10.0.0.9:8125");
        Some(Settings {
            node: node?,
            region: region?,
            domain: domain?,
            listen: listen?,
            peer_listen: peer_listen?,
            platform: platform?,
            operator_token: operator_token?,
            peer_token: peer_token?,
            metrics,
        })
    }

    fn raw(&self, flag: &str) -> Option<String> {
        let setting = SETTINGS.iter().find(|setting| setting.flag == flag)?;
        self.matches
            .opt_str(flag)
            .or_else(|| (self.variable)(setting.variable))
    }

    fn missing(&mut self, flag: &str, expected: &str) {
        let setting = SETTINGS.iter().find(|setting| setting.flag == flag);
        let mut error = format!("--{flag} is missing: give {expected}");
        if let Some(setting) = setting {
            // Writing to a string cannot fail.
            let _ = write!(error, ", or set {}", setting.variable);
        }
        self.errors.push(error);
    }

    fn required<T: FromStr>(&mut self, flag: &str, expected: &str) -> Option<T> {
        if self.raw(flag).is_none() {
            self.missing(flag, expected);
            return None;
        }
        self.optional(flag, expected)
    }

    fn optional<T: FromStr>(&mut self, flag: &str, expected: &str) -> Option<T> {
        let text = self.raw(flag)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.errors
                .push(format!("--{flag}: `{text}` is not {expected}"));
        }
        value
    }

    fn platform(&mut self) -> Option<String> {
        let url: String = self.required("platform", "an address such as http://10.0.0.1:7000")?;
        if !url.starts_with("http://") {
            self.errors
                .push(format!("--platform: `{url}` does not begin with http://"));
            return None;
        }
        Some(url.trim_end_matches('/').to_owned())
    }

    fn token(&mut self, flag: &str) -> Option<String> {
        let token: String = self.required(flag, "a secret text")?;
        if token.len() < TOKEN_MIN_BYTES {
            self.errors
                .push(format!("--{flag}: shorter than {TOKEN_MIN_BYTES} bytes"));
            return None;
        }
        Some(token)
    }
}
