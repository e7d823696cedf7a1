//! Amounts of resources: processors, memory and accelerators.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub, SubAssign},
};

use serde::{Deserialize, Serialize};

/// An amount of processors, memory and accelerators. Arithmetic saturates in each dimension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a processor.
    pub milli_processors: u64,
    /// Memory in units of 2^20 bytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Size {
    /// Zero in every dimension.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates a size from thousandths of a processor, memory in units of 2^20 bytes, and
    /// accelerators.
    #[must_use]
    pub const fn new(milli_processors: u64, memory_mb: u64, accelerators: u32) -> Self {
        Self {
            milli_processors,
            memory_mb,
            accelerators,
        }
    }

    /// Whether this amount is at most `capacity` in every dimension.
    #[must_use]
    pub const fn fits(&self, capacity: &Self) -> bool {
        self.milli_processors <= capacity.milli_processors
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the greater amount in each dimension.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            milli_processors: self.milli_processors.max(other.milli_processors),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Multiplies each dimension by `n`, saturating at the greatest value.
    #[must_use]
    pub const fn saturating_mul(self, n: u32) -> Self {
        Self {
            milli_processors: self.milli_processors.saturating_mul(n as u64),
            memory_mb: self.memory_mb.saturating_mul(n as u64),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }
}

impl Size {
    /// Returns how many times this size fits into `capacity`, at most `u32::MAX`. A dimension of zero
    /// does not limit the count.
    #[must_use]
    pub fn fit_count(&self, capacity: Self) -> u32 {
        let times = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        let least = times(self.milli_processors, capacity.milli_processors)
            .min(times(self.memory_mb, capacity.memory_mb))
            .min(times(
                self.accelerators.into(),
                capacity.accelerators.into(),
            ));
        u32::try_from(least).unwrap_or(u32::MAX)
    }
}

impl Add for Size {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            milli_processors: self.milli_processors.saturating_add(other.milli_processors),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Subtraction saturates at zero in each dimension.
impl Sub for Size {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            milli_processors: self.milli_processors.saturating_sub(other.milli_processors),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03} processors, {} MB, {} accelerators",
            self.milli_processors / 1_000,
            self.milli_processors % 1_000,
            self.memory_mb,
            self.accelerators
        )
    }
}

/// The measured resource usage of a task, reported by its worker with a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Thousandths of a processor, averaged over the report interval.
    pub milli_processors: u64,
    /// Peak memory in the report interval, in units of 2^20 bytes.
    pub memory_mb: u64,
}
