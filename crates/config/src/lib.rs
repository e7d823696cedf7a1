//! Configuration as a sequence of versions, and recalls that stay in force until lifted.
//!
//! # Example
//!
//! ```
//! use config::{Change, Config};
//! use model::{Size, Team};
//!
//! let mut config = Config::default();
//! let team = Team { name: "t".into(), quota: Size::ZERO };
//! let entry = config.prepare("ayla", 0, vec![Change::SetTeam(team)]).unwrap();
//! config.apply(&entry).unwrap();
//! assert_eq!(config.version(), 1);
//! ```

mod diff;
mod error;
mod state;
mod target;

pub use crate::{
    diff::{ItemChange, ItemFate, KeyChange},
    error::{ApplyError, ChangeError, TargetError},
    state::{Change, Config, Entry},
    target::RecallTarget,
};
