//! Counters, gauges and latency histograms, and the text page that shows them.
//!
//! `cadence` formats each value as a statsd line; the sink adds the lines up instead of sending them
//! over the network.

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, MetricSink, StatsdClient};

/// The upper bounds of the histograms' buckets, in milliseconds. They range from a call inside a failure
/// domain to the wait of a job during a burst.
const BUCKET_BOUNDS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

/// The prefix of all names.
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
    /// Adds a line such as `lacewing.jobs_accepted:1|c` to the totals.
    fn emit(&self, line: &str) -> io::Result<usize> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (name, rest) = line.split_once(':').ok_or_else(invalid)?;
        let (number, kind) = rest.split_once('|').ok_or_else(invalid)?;
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => match totals.entry(name.to_owned()).or_insert(Value::Counter(0)) {
                Value::Counter(total) => *total += number,
                Value::Gauge(_) | Value::Histogram { .. } => return Err(invalid()),
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
                        buckets[BUCKET_BOUNDS_MS.partition_point(|&bound| bound < number)] += 1;
                        *sum += number;
                    }
                    Value::Counter(_) | Value::Gauge(_) => return Err(invalid()),
                }
            }
        }
        Ok(line.len())
    }
}

/// The metrics of a process. Clones share their values.
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
    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count` to a counter.
    pub fn add(&self, name: &str, count: u64) {
        if let Err(e) = self.client.count(name, count) {
            log::debug!("cannot count {name}: {e}");
        }
    }

    /// Sets a gauge.
    pub fn set(&self, name: &str, value: u64) {
        if let Err(e) = self.client.gauge(name, value) {
            log::debug!("cannot set {name}: {e}");
        }
    }

    /// Adds a duration to a histogram, in whole milliseconds.
    pub fn time(&self, name: &str, span: Duration) {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if let Err(e) = self.client.histogram(name, ms) {
            log::debug!("cannot time {name}: {e}");
        }
    }

    /// Returns all values as text, one per line. The buckets of histograms are cumulative.
    #[must_use]
    pub fn page(&self) -> String {
        let totals = self.totals.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        for (name, value) in totals.iter() {
            let name = name.replace('.', "_");
            // Writing to a string cannot fail.
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
    for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(buckets) {
        count += bucket;
        writeln!(page, "{name}_ms_bucket{{le=\"{bound}\"}} {count}")?;
    }
    count += buckets[BUCKET_BOUNDS_MS.len()];
    writeln!(page, "{name}_ms_bucket{{le=\"+Inf\"}} {count}")?;
    writeln!(page, "{name}_ms_sum {sum}")?;
    writeln!(page, "{name}_ms_count {count}")
}
