//! The batch, job, worker VM or setting that a recall withdraws, and its text form.

use std::{fmt, str::FromStr};

use model::WorkerId;
use serde::{Deserialize, Serialize};

use crate::TargetError;

/// The target of a recall. Its text form is `batch/NAME`, `worker/ID` or `setting/SERVICE@VERSION`.
///
/// # Examples
///
/// ```
/// use config::RecallTarget;
///
/// let target: RecallTarget = "setting/dealer-lookup@17".parse().unwrap();
/// assert_eq!(target.to_string(), "setting/dealer-lookup@17");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecallTarget {
    /// A batch or job, by name.
    Batch(String),
    /// A worker VM.
    Worker(WorkerId),
    /// A service's setting, by the version that published it.
    Setting {
        /// The service.
        service: String,
        /// The version that published the setting.
        version: u64,
    },
}

impl fmt::Display for RecallTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Batch(name) => write!(f, "batch/{name}"),
            Self::Worker(worker) => write!(f, "worker/{worker}"),
            Self::Setting { service, version } => write!(f, "setting/{service}@{version}"),
        }
    }
}

impl FromStr for RecallTarget {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, TargetError> {
        let error = || TargetError(text.to_owned());
        let (kind, id) = text.split_once('/').ok_or_else(error)?;
        if id.is_empty() {
            return Err(error());
        }
        match kind {
            "batch" => Ok(Self::Batch(id.to_owned())),
            "worker" => id.parse().map(Self::Worker).map_err(|_| error()),
            "setting" => {
                let (service, version) = id.split_once('@').ok_or_else(error)?;
                Ok(Self::Setting {
                    service: service.to_owned(),
                    version: version.parse().map_err(|_| error())?,
                })
            }
            _ => Err(error()),
        }
    }
}
