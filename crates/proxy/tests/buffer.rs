//! The read buffer: consumed, truncated and detached bytes, and the times at which bytes arrived.

use async_io::Async;
use futures_lite::future::{block_on, poll_once};
use pooler_proxy::buffer::{ReadBuffer, TcpConnection};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The time for which bytes are left unread.
const UNREAD: Duration = Duration::from_millis(20);

/// Opens a connection and returns its client end and its server end.
fn connection() -> (TcpStream, TcpConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (server, _) = listener.accept().unwrap();
    (client, TcpConnection::new(Async::new(server).unwrap()))
}

/// Sends the bytes, and reads until the buffer holds them.
fn send_and_fill(buffer: &mut ReadBuffer, client: &mut TcpStream, server: &TcpConnection, bytes: &[u8]) {
    let expected = buffer.data().len() + bytes.len();
    client.write_all(bytes).unwrap();
    while buffer.data().len() < expected {
        assert!(block_on(buffer.fill(server)).unwrap() > 0);
    }
}

#[test]
fn bytes_keep_their_arrival_time_when_others_are_consumed_or_truncated() {
    let (mut client, server) = connection();
    let mut buffer = ReadBuffer::default();
    send_and_fill(&mut buffer, &mut client, &server, b"first");
    send_and_fill(&mut buffer, &mut client, &server, b"second");
    let first = buffer.arrival_time(5).unwrap();
    let second = buffer.arrival_time(6).unwrap();
    assert!(first < second);
    assert_eq!(buffer.arrival_time(11), Some(second));
    assert_eq!(buffer.arrival_time(12), None, "the twelfth byte has not been read");

    buffer.consume(5);
    assert_eq!((buffer.data(), buffer.arrival_time(1)), (&b"second"[..], Some(second)));
    buffer.truncate(3);
    assert_eq!((buffer.data(), buffer.arrival_time(3)), (&b"sec"[..], Some(second)));
    assert_eq!(buffer.arrival_time(4), None, "truncated bytes count as not read");
}

#[test]
fn detached_bytes_stay_valid_while_the_buffer_reads_on() {
    let (mut client, server) = connection();
    let mut buffer = ReadBuffer::default();
    send_and_fill(&mut buffer, &mut client, &server, b"-statement-next");
    buffer.consume(1);
    let (bytes, detached) = buffer.detach(9);
    send_and_fill(&mut buffer, &mut client, &server, b" one");
    assert_eq!(&bytes[detached], b"statement");
    assert_eq!(buffer.data(), b"-next one");
}

#[test]
fn a_read_returns_zero_at_the_end_of_the_stream() {
    let (client, server) = connection();
    drop(client);
    let mut buffer = ReadBuffer::default();
    assert_eq!(block_on(buffer.fill(&server)).unwrap(), 0);
    assert!(buffer.data().is_empty());
}

#[test]
fn bytes_that_were_there_before_a_read_count_from_when_they_can_have_arrived() {
    // Guards against a deadline that counts from the read of a request that has waited unread, in the backlog or
    // while its connection was not read.
    let (mut client, server) = connection();
    let mut buffer = ReadBuffer::default();
    let queued_since = Instant::now();
    std::thread::sleep(UNREAD);
    buffer.set_unread_since(queued_since);
    send_and_fill(&mut buffer, &mut client, &server, b"first");
    assert_eq!(buffer.arrival_time(5), Some(queued_since), "it may have come with the connection");

    let read_at = Instant::now();
    client.write_all(b"second").unwrap();
    std::thread::sleep(UNREAD);
    assert_eq!(block_on(buffer.fill(&server)).unwrap(), 6);
    assert!(buffer.arrival_time(11).is_some_and(|arrival| arrival <= read_at), "it may have come at once");

    // A read that finds nothing shows that nothing has arrived before it, whether or not it goes on.
    std::thread::sleep(UNREAD);
    let polled_at = Instant::now();
    assert!(block_on(poll_once(buffer.fill(&server))).is_none());
    client.write_all(b"third").unwrap();
    assert_eq!(block_on(buffer.fill(&server)).unwrap(), 5);
    assert!(buffer.arrival_time(16).is_some_and(|arrival| arrival >= polled_at));
    let waiting_since = Instant::now();
    let sender = std::thread::spawn(move || {
        std::thread::sleep(UNREAD);
        client.write_all(b"fourth").unwrap();
        client
    });
    assert_eq!(block_on(buffer.fill(&server)).unwrap(), 6);
    assert!(buffer.arrival_time(22).is_some_and(|arrival| arrival >= waiting_since + UNREAD));
    drop(sender.join());
}
