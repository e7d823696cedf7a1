//! Operator files: `lacewing.toml` beside each service's code.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    Class, Kind, Repeat, RequestPolicy, Size, Spread, Team, Unit,
    error::{Fault, FileErrors},
};

/// The most attempts of a task where its file names none.
const DEFAULT_ATTEMPTS: u32 = 3;

/// One operator file's text and the path that faults name.
#[derive(Clone, Copy, Debug)]
pub struct SourceFile<'a> {
    /// The path that faults name.
    pub path: &'a str,
    /// The file's content.
    pub text: &'a str,
}

/// All teams and units of a set of operator files, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The teams by name.
    pub teams: BTreeMap<String, Team>,
    /// The units of work by name.
    pub units: BTreeMap<String, Unit>,
}

impl Catalog {
    /// Reads a set of operator files.
    ///
    /// # Errors
    ///
    /// Every fault of every file: unknown keys, wrong types, duplicate names, missing teams.
    pub fn parse(files: &[SourceFile<'_>]) -> Result<Self, FileErrors> {
        let mut catalog = Self::default();
        let mut faults = Vec::new();
        for file in files {
            match toml::from_str::<FileText>(file.text) {
                Ok(text) => catalog.add(file, text, &mut faults),
                Err(e) => faults.push(syntax_fault(file, &e)),
            }
        }
        for unit in catalog.units.values() {
            if !catalog.teams.contains_key(&unit.team) {
                faults.push(Fault {
                    path: String::new(),
                    line: 0,
                    key: unit.name.clone(),
                    message: format!("no file names the team `{}`", unit.team),
                });
            }
        }
        if faults.is_empty() {
            Ok(catalog)
        } else {
            Err(FileErrors { faults })
        }
    }

    fn add(&mut self, file: &SourceFile<'_>, text: FileText, faults: &mut Vec<Fault>) {
        if let Some(team) = text.team {
            let team = Team {
                name: team.name,
                quota: team.quota.size(),
            };
            self.teams.insert(team.name.clone(), team);
        }
        let units = text
            .service
            .into_iter()
            .map(ServiceText::unit)
            .chain(text.batch.into_iter().map(|work| work.unit(false)))
            .chain(text.job.into_iter().map(|work| work.unit(true)));
        for unit in units {
            let name = unit.name.clone();
            if self.units.insert(name.clone(), unit).is_some() {
                faults.push(Fault {
                    path: file.path.to_owned(),
                    line: 0,
                    key: name,
                    message: "the name is used twice".to_owned(),
                });
            }
        }
    }
}

fn syntax_fault(file: &SourceFile<'_>, e: &toml::de::Error) -> Fault {
    let start = e.span().map_or(0, |span| span.start);
    Fault {
        path: file.path.to_owned(),
        line: file.text[..start].matches('\n').count() + 1,
        key: String::new(),
        message: e.message().to_owned(),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileText {
    team: Option<TeamText>,
    #[serde(default)]
    service: Vec<ServiceText>,
    #[serde(default)]
    batch: Vec<WorkText>,
    #[serde(default)]
    job: Vec<WorkText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamText {
    name: String,
    quota: SizeText,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SizeText {
    processors: f64,
    memory_mb: u64,
    #[serde(default)]
    accelerators: u32,
}

impl SizeText {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rounded to thousandths; negative values become zero"
    )]
    fn size(&self) -> Size {
        let milli = (self.processors * 1_000.0).round() as u64;
        Size::new(milli, self.memory_mb, self.accelerators)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestsText {
    repeat: Repeat,
    deadline_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceText {
    name: String,
    team: String,
    command: Vec<String>,
    size: SizeText,
    class: Class,
    replicas: u32,
    spread: Spread,
    requests: Option<RequestsText>,
}

impl ServiceText {
    fn unit(self) -> Unit {
        let requests = self
            .requests
            .map_or_else(RequestPolicy::default, |text| RequestPolicy {
                repeat: text.repeat,
                deadline: Duration::from_millis(text.deadline_ms),
            });
        Unit {
            name: self.name,
            team: self.team,
            command: self.command,
            size: self.size.size(),
            class: self.class,
            repeat: Repeat::Safe,
            attempts: u32::MAX,
            run_time: Duration::ZERO,
            kind: Kind::Service {
                replicas: self.replicas,
                spread: self.spread,
                requests,
            },
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkText {
    name: String,
    team: String,
    command: Vec<String>,
    size: SizeText,
    class: Class,
    tasks: u32,
    repeat: Repeat,
    run_time_s: u64,
    attempts: Option<u32>,
}

impl WorkText {
    fn unit(self, together: bool) -> Unit {
        let tasks = self.tasks;
        Unit {
            name: self.name,
            team: self.team,
            command: self.command,
            size: self.size.size(),
            class: self.class,
            repeat: self.repeat,
            attempts: self.attempts.unwrap_or(DEFAULT_ATTEMPTS),
            run_time: Duration::from_secs(self.run_time_s),
            kind: if together {
                Kind::Gang { tasks }
            } else {
                Kind::Batch { tasks }
            },
        }
    }
}
