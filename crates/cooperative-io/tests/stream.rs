//! A task that reads or writes without ever having to wait yields to the others.

use futures_lite::future::{block_on, poll_once, yield_now};
use futures_lite::io::{repeat, sink};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use pooler_cooperative_io::CooperativeStream;

/// More operations than a stream completes without a pause.
const MANY: usize = 1_000;

#[test]
fn a_task_yields_between_reads_that_are_always_ready() {
    // Guards against a loop over input that never ends and keeps the only thread of an executor.
    let mut stream = CooperativeStream::new(repeat(b'x'));
    let reads = async {
        for _ in 0..MANY {
            assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 16);
        }
    };
    assert!(block_on(poll_once(reads)).is_none(), "the reads must not complete in a single poll");
}

#[test]
fn a_task_yields_between_writes_that_are_always_ready() {
    // Guards against a loop that answers each message in its buffer and keeps the only thread of an executor.
    let mut stream = CooperativeStream::new(sink());
    let writes = async {
        for _ in 0..MANY {
            assert_eq!(stream.write(b"x").await.unwrap(), 1);
        }
    };
    assert!(block_on(poll_once(writes)).is_none(), "the writes must not complete in a single poll");
}

#[test]
fn a_read_after_an_early_yield_completes_at_once() {
    // Guards against input that has arrived being passed over for a time limit that is polled after the read.
    let mut stream = CooperativeStream::new(repeat(b'x'));
    let mut yields = 0;
    for _ in 0..MANY {
        yields += usize::from(block_on(stream.yield_if_due()));
        let read = block_on(poll_once(stream.read(&mut [0; 16])));
        assert!(read.is_some(), "the read must not yield");
    }
    assert!(yields > 0);
}

#[test]
fn a_task_that_has_yielded_is_woken_and_completes() {
    // Guards against a task that yields and is never run again.
    let mut stream = CooperativeStream::new(repeat(b'x'));
    let mut bytes = vec![0; MANY];
    block_on(async {
        for byte in &mut bytes {
            stream.read_exact(std::slice::from_mut(byte)).await.unwrap();
        }
        yield_now().await;
    });
    assert_eq!(bytes, vec![b'x'; MANY]);
}
