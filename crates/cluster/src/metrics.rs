//! Counters and latency histograms, and the page that shows them.
//!
//! `cadence` formats what is counted; the sink adds it up instead of sending it away.

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, MetricSink, StatsdClient};

/// Upper bounds of the histograms' buckets, in milliseconds. They span a call inside a failure domain to
/// a job that waits for a burst to pass.
const BOUNDS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

const PREFIX: &str = "lacewing";

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { buckets: [u64; 15], sum: u64 },
}

#[derive(Clone, Debug, Default)]
struct Totals(Arc<Mutex<BTreeMap<String, Value>>>);

impl MetricSink for Totals {
    /// Adds up a line such as `lacewing.jobs_accepted:1|c`.
    fn emit(&self, line: &str) -> io::Result<usize> {
        let fault = || io::Error::from(io::ErrorKind::InvalidData);
        let (name, rest) = line.split_once(':').ok_or_else(fault)?;
        let (number, kind) = rest.split_once('|').ok_or_else(fault)?;
        let number: u64 = number.parse().map_err(|_| fault())?;
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => match totals.entry(name.to_owned()).or_insert(Value::Counter(0)) {
                Value::Counter(total) => *total += number,
                Value::Gauge(_) | Value::Histogram { .. } => return Err(fault()),
            },
            "g" => {
                totals.insert(name.to_owned(), Value::Gauge(number));
            }
            _ => {
                let empty = Value::Histogram {
                    buckets: [0; 15],
                    sum: 0,
                };
                match totals.entry(name.to_owned()).or_insert(empty) {
                    Value::Histogram { buckets, sum } => {
                        buckets[BOUNDS_MS.partition_point(|&bound| bound < number)] += 1;
                        *sum += number;
                    }
                    Value::Counter(_) | Value::Gauge(_) => return Err(fault()),
                }
            }
        }
        Ok(line.len())
    }
}

/// Counts what happens.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    totals: Totals,
}

impl Default for Metrics {
    fn default() -> Self {
        let totals = Totals::default();
        let client = Arc::new(StatsdClient::from_sink(PREFIX, totals.clone()));
        Self { client, totals }
    }
}

impl Metrics {
    /// Counts one more of something.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Counts several more of something.
    pub fn add(&self, name: &str, count: u64) {
        if let Err(e) = self.client.count(name, count) {
            log::debug!("not counted: {name}: {e}");
        }
    }

    /// Sets how many there are of something.
    pub fn set(&self, name: &str, value: u64) {
        if let Err(e) = self.client.gauge(name, value) {
            log::debug!("not set: {name}: {e}");
        }
    }

    /// Adds a time to a histogram.
    pub fn time(&self, name: &str, span: Duration) {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if let Err(e) = self.client.histogram(name, ms) {
            log::debug!("not timed: {name}: {e}");
        }
    }

    /// All values as text, one a line; a histogram's buckets add up.
    #[must_use]
    pub fn page(&self) -> String {
        let totals = self.totals.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        for (name, value) in totals.iter() {
            let name = name.replace('.', "_");
            // Writing to a string can't fail.
            let _ = match value {
                Value::Counter(total) => writeln!(page, "{name}_total {total}"),
                Value::Gauge(value) => writeln!(page, "{name} {value}"),
                Value::Histogram { buckets, sum } => {
                    write_histogram(&mut page, &name, buckets, *sum)
                }
            };
        }
        page
    }
}

fn write_histogram(
    page: &mut String,
    name: &str,
    buckets: &[u64; 15],
    sum: u64,
) -> std::fmt::Result {
    let mut count = 0;
    for (bound, bucket) in BOUNDS_MS.iter().zip(buckets) {
        count += bucket;
        writeln!(page, "{name}_ms_bucket{{le=\"{bound}\"}} {count}")?;
    }
    count += buckets[BOUNDS_MS.len()];
    writeln!(page, "{name}_ms_bucket{{le=\"+Inf\"}} {count}")?;
    writeln!(page, "{name}_ms_sum {sum}")?;
    writeln!(page, "{name}_ms_count {count}")
}
