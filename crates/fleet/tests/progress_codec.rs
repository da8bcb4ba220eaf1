//! Progress rows that daemons of this version and of earlier ones write and read.

use std::time::Duration;

use jasminebend_dispatch::{
    CrashEvidence,
    JobFailure,
    JobOutcome,
    ProgressRecord,
    RunNumber,
    StepProgress,
    TaskCrashes,
    WorkerCrash, //
};
use jasminebend_fleet::{
    TOKENS_PER_TERM,
    decode_progress,
    encode_progress, //
};

fn crash() -> WorkerCrash {
    WorkerCrash {
        run: RunNumber::new(1_000_000_001),
        worker: "i-1".into(),
        at: Duration::from_millis(1_700_000_000_250),
        early: true,
        alone: false,
        widespread: false,
        evidence: CrashEvidence::Unlisted,
        incarnation: Some(Duration::from_millis(1_700_000_000_000)),
    }
}

fn record_with_crashes() -> ProgressRecord {
    ProgressRecord {
        steps: vec![StepProgress {
            done: vec![0, 2],
            ..StepProgress::default()
        }],
        crashes: vec![TaskCrashes {
            occurrence: 0,
            step: 0,
            index: 1,
            crashes: vec![crash()],
            started_on: Some("i-2".into()),
            begun_in: Some(Duration::from_millis(1_700_000_000_100)),
        }],
        ..ProgressRecord::default()
    }
}

/// Guards against crashes, or the reason of a failure, that are lost on their way to a successor.
#[test]
fn crashes_and_failures_survive_the_store() {
    let failed = ProgressRecord {
        outcome: Some(JobOutcome::Failed),
        failure: Some(JobFailure::Crashes {
            task: "5c0e7a21d94b36f8.0.0.1".to_owned(),
            crashes: vec![crash()],
        }),
        ..ProgressRecord::default()
    };
    for record in [record_with_crashes(), failed, ProgressRecord::default()] {
        let value = encode_progress(&record).expect("a record can be encoded");
        assert_eq!(decode_progress(&value), Ok(record));
    }
}

/// Guards against tasks that run again during an upgrade because a daemon of an earlier version can't read what is
/// done in a row with crashes.
#[test]
fn earlier_versions_read_rows_with_crashes() {
    let record = record_with_crashes();
    let value = encode_progress(&record).expect("a record can be encoded");
    let read = postcard::from_bytes::<ProgressRecord>(&value);
    let expected = ProgressRecord {
        crashes: Vec::new(),
        ..record
    };
    assert_eq!(read, Ok(expected));
}

/// Guards against crashes that earlier versions can't read, or that can't be read from their rows, because of the evidence that follows them.
#[test]
fn rows_without_evidence_are_read_by_all_versions() {
    /// The section as earlier versions know it.
    #[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
    struct FormerSection {
        crashes: Vec<TaskCrashes>,
        failure: Option<JobFailure>,
    }
    let mut bare = record_with_crashes();
    bare.crashes[0].begun_in = None;
    bare.crashes[0].crashes[0].evidence = CrashEvidence::Uncertain;
    bare.crashes[0].crashes[0].incarnation = None;
    let former = FormerSection {
        crashes: bare.crashes.clone(),
        failure: None,
    };
    let value = encode_progress(&record_with_crashes()).expect("a record can be encoded");
    let (_, rest) = postcard::take_from_bytes::<ProgressRecord>(&value).expect("a record");
    assert_eq!(
        postcard::from_bytes::<FormerSection>(rest).as_ref(),
        Ok(&former)
    );
    let row = postcard::to_stdvec(&bare).expect("a record can be encoded");
    let row = postcard::to_extend(&former, row).expect("a section can be encoded");
    assert_eq!(decode_progress(&row), Ok(bare));
}

/// Guards against rows of earlier versions that can't be read, and against other bytes in rows without crashes.
#[test]
fn rows_without_crashes_are_as_in_earlier_versions() {
    let record = ProgressRecord {
        crashes: Vec::new(),
        ..record_with_crashes()
    };
    let value = postcard::to_stdvec(&record).expect("a record can be encoded");
    assert_eq!(encode_progress(&record).as_ref(), Ok(&value));
    assert_eq!(decode_progress(&value), Ok(record));
}

/// Guards against a large job whose row the store refuses, so that nothing behind it is committed.
#[test]
fn row_of_a_large_job_is_one_that_the_store_accepts() {
    let record = ProgressRecord {
        steps: vec![StepProgress {
            done: (0..4000).collect(),
            failures: vec![(4001, RunNumber::new(1_000_000_001))],
            checkpoints: (4000..8000)
                .map(|task| (task, "5c0e7a21d94b36f8".to_owned()))
                .collect(),
            ..StepProgress::default()
        }],
        ..record_with_crashes()
    };
    let value = encode_progress(&record).unwrap();
    assert!(value.len() <= 64 << 10, "{} bytes", value.len());
    let stored = decode_progress(&value).unwrap();
    assert_eq!(stored.crashes, record.crashes);
    assert_eq!(stored.steps[0].done, record.steps[0].done);
    assert_eq!(stored.steps[0].failures, record.steps[0].failures);
    let kept = &stored.steps[0].checkpoints;
    assert!(kept.len() > 2500);
    assert_eq!(kept[..], record.steps[0].checkpoints[..kept.len()]);
}

/// Guards against a job with thousands of occurrences whose row the store refuses, so that nothing behind it is committed.
#[test]
fn row_of_a_job_that_was_often_repeated_is_one_that_the_store_accepts() {
    let done = |(occurrence, step)| StepProgress {
        occurrence,
        step,
        all_done: true,
        ..StepProgress::default()
    };
    let occurrences = (0..20_000).filter(|occurrence| occurrence % 1000 != 7);
    let mut steps: Vec<StepProgress> = occurrences
        .flat_map(|occurrence| [(occurrence, 0), (occurrence, 1)])
        .map(done)
        .collect();
    steps.insert(
        14,
        StepProgress {
            occurrence: 7,
            step: 1,
            failures: vec![(3, RunNumber::new(1_000_000_004))],
            ..StepProgress::default()
        },
    );
    let record = ProgressRecord {
        steps,
        ..record_with_crashes()
    };
    let value = encode_progress(&record).unwrap();
    assert!(value.len() <= 64 << 10, "{} bytes", value.len());
    assert_eq!(decode_progress(&value), Ok(record));
}

/// Returns the value of a row whose done steps are ranges, and where its sections begin.
fn row_with_ranges() -> (Vec<u8>, usize) {
    let steps = (0..30_000).map(|occurrence| StepProgress {
        occurrence,
        all_done: true,
        ..StepProgress::default()
    });
    let record = ProgressRecord {
        steps: steps.collect(),
        ..record_with_crashes()
    };
    let value = encode_progress(&record).expect("a record can be encoded");
    let (_, sections) = postcard::take_from_bytes::<ProgressRecord>(&value).expect("a record");
    let begin = value.len() - sections.len();
    (value, begin)
}

/// Guards against done steps that run again: a section before them is damaged or of a later version, and all that follows it was
/// passed over.
#[test]
fn row_with_a_section_that_cannot_be_read_is_not_taken_for_a_shorter_one() {
    let (mut value, begin) = row_with_ranges();
    assert!(decode_progress(&value).is_ok());
    // The number of tasks with crashes.
    value[begin] = 0xff;
    assert!(decode_progress(&value).is_err());
    let (value, begin) = row_with_ranges();
    // Rows of earlier versions end with the record, its crashes or their evidence.
    let ends = begin + 1..value.len();
    let readable = ends.filter(|&end| decode_progress(&value[..end]).is_ok());
    assert_eq!(readable.count(), 2);
}

/// Guards against a daemon that runs out of memory because of a damaged row: one range claims billions of done steps.
#[test]
fn row_that_claims_billions_of_done_steps_is_unreadable() {
    let (mut value, _) = row_with_ranges();
    // The count of the only range is at the end.
    let count = postcard::to_stdvec(&30_000u32).unwrap();
    assert!(value.ends_with(&count));
    value.truncate(value.len() - count.len());
    value.extend(postcard::to_stdvec(&u32::MAX).unwrap());
    assert!(decode_progress(&value).is_err());
}

/// Guards against a job of which many runs fail and whose row the store refuses, so that nothing behind it is committed.
#[test]
fn row_of_a_job_that_often_fails_is_one_that_the_store_accepts() {
    let record = ProgressRecord {
        steps: vec![StepProgress {
            done: (0..10_000).collect(),
            failures: (10_000..20_000)
                .map(|task| {
                    (
                        task,
                        RunNumber::of_owner(100 * TOKENS_PER_TERM, task.into()),
                    )
                })
                .collect(),
            ..StepProgress::default()
        }],
        ..record_with_crashes()
    };
    let value = encode_progress(&record).unwrap();
    assert!(value.len() <= 64 << 10, "{} bytes", value.len());
    let stored = decode_progress(&value).unwrap();
    assert_eq!(stored.crashes, record.crashes);
    assert_eq!(stored.steps[0].done, record.steps[0].done);
    let kept = &stored.steps[0].failures;
    assert!(kept.len() > 3000, "{} failures", kept.len());
    assert_eq!(kept[..], record.steps[0].failures[..kept.len()]);
}
