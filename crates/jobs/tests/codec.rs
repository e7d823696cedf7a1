//! Decoding of stored values that no node has written.

use jobs::{Incarnation, Job, Progress, Queue, Step, decode, encode};
use model::Size;
use serde::de::DeserializeOwned;

fn job() -> Job {
    Job {
        queue: Queue {
            name: "lookups".into(),
            pool: "desk".into(),
            ..Queue::default()
        },
        spec: "look".into(),
        steps: vec![Step {
            tasks: 3,
            size: Size::new(1_000, 1_000, 0),
            label: Some("a".into()),
            ..Step::default()
        }],
        ..Job::default()
    }
}

/// Decodes copies of `bytes` in which the bytes from some position on are a very large number, as a length would be.
fn decode_with_lengths<T: DeserializeOwned>(bytes: &[u8]) {
    for length in [u64::MAX, 1 << 62, 1 << 46] {
        for at in 1..bytes.len() {
            let mut odd = bytes[..at].to_vec();
            odd.push(253);
            odd.extend(length.to_le_bytes());
            odd.extend(&bytes[at..]);
            // The result may be a value: the number may have replaced another number.
            let _ = decode::<T>(&odd);
        }
    }
}

/// Guards against a row whose texts seem so long that reading it ends the process, as each next node that reads it.
#[test]
fn a_length_beyond_all_memory_is_an_error() {
    let job = job();
    decode_with_lengths::<Job>(&encode(&job));
    let mut progress = Progress::new(&job);
    let worker = Incarnation {
        worker: "i-1".into(),
        started_unix_ms: 1,
    };
    let key = "0000000000000007.0.0.1".parse().unwrap();
    progress.assign(&[(key, worker)]);
    decode_with_lengths::<Progress>(&encode(&progress));
}

/// Guards against a limit that values of the largest size exceed.
#[test]
fn a_value_of_many_small_numbers_is_decoded() {
    let values: Vec<u64> = (0..1_000_000).map(|number| number % 200).collect();
    assert_eq!(decode::<Vec<u64>>(&encode(&values)).unwrap(), values);
}
