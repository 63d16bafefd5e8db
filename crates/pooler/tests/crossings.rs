//! Moments in which something ends while something else is still owed, forced over loopback sockets.

mod peers;

use peers::*;
use pooler_proxy::protocol::write;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};

/// A server that welcomes nobody until the sender is dropped: connections to it come up late.
fn late(id: &'static str) -> (Sender<()>, Server) {
    let (open, opened) = channel::<()>();
    let opened = Mutex::new(opened);
    (open, plain_behind(id, "replica", move || assert!(opened.lock().unwrap().recv().is_err())))
}

/// Waits until the pooler has counted this; false if it never does.
fn counted(pooler: &Pooler, what: &str) -> bool {
    (0..5_000).any(|_| pooler.counters().contains(what))
}

#[test]
fn who_leaves_while_a_connection_comes_up_is_not_sent_on() {
    let (open, server) = late("s-1");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    client.send(&menu("1"));
    assert!(counted(&pooler, " dials=1 "));
    drop(client);
    assert!(counted(&pooler, " gone=1 "));
    drop(open);
    // Served after it, on a connection of its own: by then the first has come up as well.
    assert_eq!(Client::connect(&pooler).ask(&menu("2")).value.as_deref(), Some(&b"s-1"[..]));
    assert!(server.got().iter().all(|statement| statement.contains("id=2,")), "{:?}", server.got());
}

#[test]
fn who_leaves_while_a_write_waits_for_a_primary_is_not_sent_on() {
    let replica = Server::new("s-1", |wire, statement| {
        if statement.starts_with("SHOW") {
            wire.row(b"x0=1767225600.1,x1=0", "replica", NOW_MS);
        } else {
            wire.error("25006", "replica");
        }
        true
    });
    let primary = plain("s-2", "master");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![replica.entry("up", "replica")]);
    let (_, watch) = discovery.watch();
    let mut client = Client::connect(&pooler);
    client.send(&top_up("1"));
    assert!(counted(&pooler, " outcome.miss=1"));
    drop(client);
    assert!(counted(&pooler, " gone=1 "));
    watch.send(Some(list(42, false, vec![primary.entry("up", "master")]))).unwrap();
    assert_eq!(Client::connect(&pooler).ask(&top_up("2")).value.as_deref(), Some(&b"s-2"[..]));
    assert_eq!(primary.got().len(), 1, "only what is still asked: {:?}", primary.got());
}

#[test]
fn a_connection_that_comes_up_after_the_time_of_its_request_carries_nothing() {
    let (open, server) = late("s-1");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    for (id, statement, code) in [("1", menu("1"), "53300"), ("2", top_up("2"), "53300")] {
        let answer = client.ask(&statement.replace("d=8000", "d=200"));
        // Nothing was written: it is harmless to come again, but not when the time to say so is over.
        let codes = [code, "08007"];
        assert!(answer.code.as_deref().is_some_and(|code| codes.contains(&code)), "{id}: {answer:?}");
    }
    drop(open);
    assert_eq!(client.ask(&menu("3")).value.as_deref(), Some(&b"s-1"[..]));
    assert!(server.got().iter().all(|statement| statement.contains("id=3,")), "{:?}", server.got());
}

#[test]
fn an_answer_that_comes_after_its_client_has_left_is_nobody_elses() {
    let (open, opened) = channel::<()>();
    let opened = Mutex::new(opened);
    let server = Server::new("s-1", move |wire, statement| {
        if statement.contains("id=1,") {
            assert!(opened.lock().unwrap().recv().is_err());
            wire.row(b"the first", "replica", NOW_MS);
        } else {
            wire.row(b"the second", "replica", NOW_MS);
        }
        true
    });
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    client.send(&menu("1"));
    while server.got().is_empty() {
        std::thread::yield_now();
    }
    drop(client);
    assert!(counted(&pooler, " gone=1 "));
    drop(open);
    let mut next = Client::connect(&pooler);
    for id in ["2", "3", "4"] {
        assert_eq!(next.ask(&menu(id)).value.as_deref(), Some(&b"the second"[..]));
    }
}

/// A pooler that was told to end while it opens a connection for a client's request; its server is let in by the
/// sender.
fn ending_in_a_dial() -> (Sender<()>, Server, Pooler, Client) {
    let (open, server) = late("s-1");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    client.send(&menu("1"));
    assert!(counted(&pooler, " dials=1 "));
    pooler.signal("TERM");
    pooler.logged("draining");
    (open, server, pooler, client)
}

#[test]
fn a_restart_while_a_connection_comes_up_leaves_no_request_without_its_answer() {
    let (open, _server, mut pooler, mut client) = ending_in_a_dial();
    drop(open);
    assert_eq!(client.answer().value.as_deref(), Some(&b"s-1"[..]));
    assert!(client.0.message().is_none() && !client.0.reset);
    drop(client);
    assert!(pooler.child.wait().unwrap().success());
}

#[test]
fn a_restart_that_can_not_wait_refuses_what_never_ran() {
    let (open, server, mut pooler, mut client) = ending_in_a_dial();
    // Its server comes up too late: it is answered before the process is killed, and may come again elsewhere.
    assert_eq!(client.answer().code.as_deref(), Some("53300"));
    assert!(client.0.message().is_none() && !client.0.reset);
    drop(client);
    assert!(pooler.child.wait().unwrap().success());
    drop(open);
    assert!(server.got().is_empty());
}

#[test]
fn idle_clients_keep_neither_discovery_nor_servers_from_being_reached() {
    let server = plain("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::within(&discovery, Vec::new(), 48);
    let (_, watch) = discovery.watch();
    // As many as it takes in, and more; each has asked something, and stays.
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = Client::dial(&pooler, b"Q\0\0\0\x05\0");
        client.answer();
        idle.push(client);
    }
    watch.send(None).unwrap();
    let (_, watch) = discovery.watch();
    watch.send(Some(list(42, true, vec![server.entry("up", "replica")]))).unwrap();
    let served = (0..200).any(|at| {
        let mut client = Client::dial(&pooler, b"");
        client.answer().tags.ends_with('Z') && client.ask(&menu(&at.to_string())).value.is_some()
    });
    assert!(served);
}

#[test]
fn half_a_command_at_the_end_of_a_connection_is_no_request() {
    let server = plain("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    let mut bytes = Vec::new();
    write::query(&mut bytes, &menu("1"));
    let whole = bytes.len();
    write::query(&mut bytes, &menu("2"));
    client.0.put(&bytes[..whole + 20]);
    assert_eq!(client.answer().value.as_deref(), Some(&b"s-1"[..]), "the whole one is answered");
    client.0.stream.shutdown(Shutdown::Write).unwrap();
    assert!(client.0.message().is_none() && !client.0.reset);
    assert_eq!(server.got().len(), 1);
}

#[test]
fn a_command_in_the_smallest_pieces_is_one_request() {
    let server = plain("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let stream = TcpStream::connect(pooler.address).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut bytes = Vec::new();
    write::startup_message(&mut bytes, "backend", "store");
    write::query(&mut bytes, &menu("1"));
    for byte in &bytes {
        (&stream).write_all(&[*byte]).unwrap();
    }
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let (mut read, mut more) = (Vec::new(), [0; 1_024]);
    while !read.windows(3).any(|three| three == b"s-1") {
        let count = (&stream).read(&mut more).unwrap();
        assert!(count > 0, "the answer comes");
        read.extend_from_slice(&more[..count]);
    }
    assert_eq!(server.got().len(), 1);
}

#[test]
fn a_restart_answers_what_was_taken_however_short_the_deadlines_are() {
    for deadline in [100, 300] {
        let (open, server) = late("s-1");
        let discovery = Discovery::new();
        let mut text: serde_json::Value =
            serde_json::from_str(&config(&discovery, vec![server.entry("up", "replica")], 1_024)).unwrap();
        for class in text["settings"]["Lanes"].as_array_mut().unwrap() {
            class["Deadline"] = deadline.into();
        }
        let mut pooler = Pooler::on(&text.to_string());
        let mut clients: Vec<_> = (0..20).map(|_| Client::connect(&pooler)).collect();
        pooler.signal("TERM");
        pooler.logged("draining");
        // They go on asking for as long as their connections are open; whatever they are answered is an answer.
        let askers: Vec<_> = clients
            .drain(..)
            .enumerate()
            .map(|(at, mut client)| {
                std::thread::spawn(move || {
                    let mut unanswered = 0;
                    for turn in 0.. {
                        client.send(&menu(&format!("{at}-{turn}")));
                        let answer = client.answer();
                        if answer.tags.is_empty() {
                            // Shut between two requests is no loss, a reset is one.
                            unanswered += usize::from(client.0.reset);
                            break;
                        }
                    }
                    unanswered
                })
            })
            .collect();
        let unanswered: usize = askers.into_iter().map(|asker| asker.join().unwrap()).sum();
        assert!(pooler.child.wait().unwrap().success());
        drop(open);
        assert_eq!(unanswered, 0, "with deadlines of {deadline} ms");
    }
}

/// So many bytes of requests that a client sends ahead: more than any buffer here reads.
const FAR_AHEAD: usize = 600 * 1024;

#[test]
fn a_client_that_sends_more_ahead_than_is_read_and_closes_has_gone() {
    let (open, opened) = channel::<()>();
    let opened = Mutex::new(opened);
    let server = Server::new("s-1", move |wire, _| {
        assert!(opened.lock().unwrap().recv().is_err());
        wire.row(b"s-1", "replica", NOW_MS);
        true
    });
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    // More of them than may be read far ahead.
    let mut clients: Vec<_> = (0..20).map(|_| Client::connect(&pooler)).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        let mut ahead = Vec::new();
        for turn in 0.. {
            write::query(&mut ahead, &menu(&format!("{at}-{turn}")));
            if ahead.len() > FAR_AHEAD {
                break;
            }
        }
        client.0.put(&ahead);
    }
    assert!(counted(&pooler, " taken=20 "));
    drop(clients);
    assert!(counted(&pooler, " gone=20 "), "all are noticed while their first requests are out");
    drop(open);
    assert_eq!(Client::connect(&pooler).ask(&menu("last")).value.as_deref(), Some(&b"s-1"[..]));
    let later: Vec<_> =
        server.got().into_iter().filter(|of| !of.contains("-0,") && !of.contains("last")).collect();
    assert_eq!(later, [""; 0], "nothing is begun for who has gone");
}

#[test]
fn every_command_of_a_client_far_ahead_is_answered_in_its_turn() {
    let server = Server::new("s-1", |wire, statement| {
        let id = statement.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap();
        wire.row(id.as_bytes(), "replica", NOW_MS);
        true
    });
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    let mut ahead = Vec::new();
    let mut count = 0;
    while ahead.len() <= FAR_AHEAD {
        write::query(&mut ahead, &menu(&count.to_string()));
        count += 1;
    }
    let stream = client.0.stream.try_clone().unwrap();
    let writer = std::thread::spawn(move || (&stream).write_all(&ahead).unwrap());
    let mut served = 0;
    for turn in 0..count {
        let answer = client.answer();
        if let Some(value) = &answer.value {
            assert_eq!(value, turn.to_string().as_bytes(), "in order");
            served += 1;
        } else {
            assert_eq!(answer.code.as_deref(), Some("53300"), "{turn}: {answer:?}");
        }
    }
    writer.join().unwrap();
    assert!(served > 0);
    // And it goes on as before.
    assert_eq!(client.ask(&menu("last")).value.as_deref(), Some(&b"last"[..]));
}

#[test]
fn a_command_that_was_read_in_part_is_refused_when_its_connection_ends() {
    let server = plain("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut half = Vec::new();
    write::query(&mut half, &menu("half"));
    half.truncate(half.len() / 2);
    for asked_before in [false, true] {
        let mut client = Client::connect(&pooler);
        if asked_before {
            assert_eq!(client.ask(&menu("1")).value.as_deref(), Some(&b"s-1"[..]));
        }
        client.0.put(&half);
        let begun = std::time::Instant::now();
        let answer = client.answer();
        assert_eq!(answer.code.as_deref(), Some("57P03"), "{asked_before}: {answer:?}");
        assert!(begun.elapsed().as_millis() < 3_000, "within the time that is owed");
    }
    assert!(server.got().iter().all(|statement| !statement.contains("half")));
}

/// A pooler of few descriptors, all of its clients' places taken by requests that are out; the sender has them answered.
fn full_house(settings: impl FnOnce(&mut serde_json::Value)) -> (Sender<()>, Server, Pooler, Vec<Client>) {
    let (open, server) = late("s-1");
    let discovery = Discovery::new();
    let mut text: serde_json::Value =
        serde_json::from_str(&config(&discovery, vec![server.entry("up", "replica")], 48)).unwrap();
    settings(&mut text["settings"]["Limits"]);
    let pooler = Pooler::on(&text.to_string());
    let mut clients = Vec::new();
    for at in 1..=15 {
        let mut client = Client::connect(&pooler);
        client.send(&menu(&format!("busy-{at}")));
        assert!(counted(&pooler, &format!(" taken={at} ")));
        clients.push(client);
    }
    (open, server, pooler, clients)
}

#[test]
fn who_comes_once_a_full_house_has_emptied_is_let_in() {
    let (open, server, pooler, clients) = full_house(|_| {});
    drop(open);
    for mut client in clients {
        assert!(client.answer().value.is_some());
    }
    let mut late = Client::dial(&pooler, b"");
    let welcome = late.answer();
    assert!(welcome.tags.ends_with('Z'), "{welcome:?}");
    assert!(late.ask(&menu("late")).value.is_some());
    drop(server);
}

#[test]
fn who_finds_the_house_full_is_told_when_to_come_back_as_the_settings_allow() {
    for (allowed, longest, detail) in
        [(true, 2_000, Some("250")), (true, 100, Some("100")), (false, 2_000, None)]
    {
        let (open, _server, pooler, _clients) = full_house(|limits| {
            limits["RetryAfter"] = allowed.into();
            limits["MaxRetryAfter"] = longest.into();
        });
        let answer = Client::dial(&pooler, b"").answer();
        assert_eq!(answer.code.as_deref(), Some("53300"));
        assert_eq!(answer.detail.as_deref(), detail, "{allowed} {longest}");
        drop(open);
    }
}

#[test]
fn where_removal_does_not_bind_who_left_the_list_is_still_sent_to_unless_it_drained() {
    let (kept, drained) = (plain("s-1", "replica"), plain("s-2", "replica"));
    let discovery = Discovery::new();
    let entries = vec![kept.entry("up", "replica"), drained.entry("up", "replica")];
    let mut text: serde_json::Value = serde_json::from_str(&config(&discovery, entries, 1_024)).unwrap();
    text["settings"]["Rules"]["SoftRemoval"] = true.into();
    let pooler = Pooler::on(&text.to_string());
    let (_, watch) = discovery.watch();
    watch.send(Some(list(42, false, vec![drained.entry("draining", "replica")]))).unwrap();
    let removed = vec![drained.entry("removed", "replica"), kept.entry("removed", "replica")];
    watch.send(Some(list(43, false, removed))).unwrap();
    watch.send(None).unwrap();
    let (again, _) = discovery.watch();
    assert!(again.contains("since=43"), "both are taken in: {again}");
    let mut client = Client::connect(&pooler);
    for at in 0..20 {
        let answer = client.ask(&menu(&at.to_string()));
        assert_eq!(answer.value.as_deref(), Some(&b"s-1"[..]), "{at}: {answer:?}");
    }
    assert_eq!(drained.got(), [""; 0]);
}

#[test]
fn only_the_codes_of_the_pages_prove_that_a_write_never_ran() {
    // 57P03 is how a server turns a connection or a probe away; in answer to a statement it proves nothing.
    for code in ["XX000", "57P03", "57P01", "08006", "40001"] {
        let (first, second) = (
            Server::new("s-1", move |wire, statement| {
                if statement.starts_with("SHOW") {
                    wire.row(b"x0=1767225600.1,x1=1", "master", NOW_MS);
                } else {
                    wire.error(code, "master");
                }
                true
            }),
            plain("s-2", "master"),
        );
        let discovery = Discovery::new();
        let entries = vec![first.entry("up", "master"), second.entry("up", "replica")];
        let pooler = Pooler::new(&discovery, entries);
        let answer = Client::connect(&pooler).ask(&top_up("1"));
        assert_eq!(answer.code.as_deref(), Some("08007"), "{code}: {answer:?}");
        assert_eq!(first.got().len() + second.got().len(), 1, "{code}: not sent again");
    }
}

/// What a silent watch misses counts as told so long after it fell silent.
const SILENCE_COUNTS: std::time::Duration = std::time::Duration::from_secs(6);

#[test]
fn a_watch_that_falls_silent_twice_is_open_again_before_what_it_missed_counts() {
    let (server, drains) = (plain("s-1", "replica"), plain("s-2", "replica"));
    let discovery = Discovery::new();
    let entries = vec![server.entry("up", "replica"), drains.entry("up", "replica")];
    let pooler = Pooler::new(&discovery, entries);
    let (_, first) = discovery.watch();
    first.send(Some(list(42, false, Vec::new()))).unwrap();
    let silent = std::time::Instant::now();
    // The next is as silent, from its first byte on; the third tells.
    let (_, second) = discovery.watch();
    let (again, third) = discovery.watch();
    assert!(again.contains("since=42"), "{again}");
    third.send(Some(list(43, false, vec![drains.entry("draining", "replica")]))).unwrap();
    assert!(silent.elapsed() < SILENCE_COUNTS, "{:?}", silent.elapsed());
    let mut client = Client::connect(&pooler);
    // The list may cross the first of these, within the grace of a drain.
    client.ask(&menu("0"));
    let sent = drains.got().len();
    for at in 1..30 {
        assert_eq!(client.ask(&menu(&at.to_string())).value.as_deref(), Some(&b"s-1"[..]));
    }
    assert_eq!(drains.got().len(), sent);
    drop((first, second));
}

#[test]
fn new_configurations_in_quick_succession_end_where_the_last_one_says() {
    let server = plain("s-1", "replica");
    let discoveries = [Discovery::new(), Discovery::new(), Discovery::new()];
    let entries = || vec![server.entry("up", "replica")];
    let pooler = Pooler::new(&discoveries[0], entries());
    let (_, kept) = discoveries[0].watch();
    for turn in [1, 2, 0, 1, 2] {
        pooler.configure(&config(&discoveries[turn], entries(), 1_024));
        pooler.signal("HUP");
    }
    let begun = std::time::Instant::now();
    let drained = loop {
        let (_, watch) = discoveries[2].watch();
        let change = list(42, false, vec![server.entry("draining", "replica")]);
        watch.send(Some(change)).unwrap();
        let mut client = Client::connect(&pooler);
        let refused = (0..50).any(|at| {
            std::thread::sleep(std::time::Duration::from_millis(10));
            client.ask(&menu(&format!("{at}")).replace("d=8000", "d=50")).value.is_none()
        });
        if refused {
            break begun.elapsed();
        }
    };
    assert!(drained.as_millis() < 4_000, "told within 4 s of the last signal: {drained:?}");
    drop(kept);
}

/// Holds the pooler up while `meanwhile` happens, and for a while after.
fn held_up(pooler: &Pooler, meanwhile: impl FnOnce()) {
    pooler.signal("STOP");
    meanwhile();
    std::thread::sleep(std::time::Duration::from_millis(300));
    pooler.signal("CONT");
}

#[test]
fn nothing_is_begun_for_who_left_while_the_pooler_was_held_up() {
    for round in 0..5 {
        let (open, server) = late("s-1");
        let discovery = Discovery::new();
        let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
        let mut client = Client::connect(&pooler);
        client.send(&menu("gone"));
        assert!(counted(&pooler, " dials=1 "));
        held_up(&pooler, || {
            drop(client);
            drop(open);
        });
        assert!(counted(&pooler, " gone=1 "));
        assert_eq!(Client::connect(&pooler).ask(&menu("next")).value.as_deref(), Some(&b"s-1"[..]));
        assert!(server.got().iter().all(|of| of.contains("id=next,")), "{round}: {:?}", server.got());
    }
}

#[test]
fn nothing_is_begun_whose_time_was_over_while_the_pooler_was_held_up() {
    for round in 0..5 {
        let (open, server) = late("s-1");
        let discovery = Discovery::new();
        let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
        let mut client = Client::connect(&pooler);
        client.send(&menu("late").replace("d=8000", "d=200"));
        assert!(counted(&pooler, " dials=1 "));
        held_up(&pooler, || drop(open));
        assert_eq!(client.answer().code.as_deref(), Some("53300"));
        assert_eq!(client.ask(&menu("next")).value.as_deref(), Some(&b"s-1"[..]));
        assert!(server.got().iter().all(|of| of.contains("id=next,")), "{round}: {:?}", server.got());
    }
}

#[test]
fn who_ends_its_sending_and_waits_is_told_that_its_request_ended() {
    // Nothing tells the end of a client's sending from a close, so nothing more is begun for it; but it may listen.
    let (open, server) = late("s-1");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    for (statement, code) in [(menu("1"), "53300"), (top_up("2"), "53300")] {
        let mut client = Client::connect(&pooler);
        client.send(&statement);
        client.0.stream.shutdown(Shutdown::Write).unwrap();
        assert_eq!(client.answer().code.as_deref(), Some(code), "it was never sent to a server");
    }
    drop(open);
}

#[test]
fn a_member_that_listens_elsewhere_gets_nothing_more_where_it_was() {
    let (before, after) = (plain("s-1", "replica"), plain("s-1", "replica"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![before.entry("up", "replica")]);
    let (_, watch) = discovery.watch();
    let mut client = Client::connect(&pooler);
    for at in 0..5 {
        assert!(client.ask(&menu(&at.to_string())).value.is_some());
    }
    watch.send(Some(list(42, false, vec![after.entry("up", "replica")]))).unwrap();
    watch.send(None).unwrap();
    let (again, _) = discovery.watch();
    assert!(again.contains("since=42"), "it is taken in: {again}");
    let sent = before.got().len();
    for at in 5..15 {
        assert!(client.ask(&menu(&at.to_string())).value.is_some());
    }
    assert_eq!((before.got().len(), after.got().len()), (sent, 10), "kept connections lead nowhere any more");
}

#[test]
fn who_has_next_to_no_time_left_is_answered_at_once() {
    let server = plain("s-1", "master");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "master")]);
    let mut client = Client::connect(&pooler);
    for wait in ["d=0", "d=1", "d=5", "d=0.5"] {
        for statement in [menu(wait.trim_start_matches("d=")), top_up("w")] {
            let begun = std::time::Instant::now();
            let answer = client.ask(&statement.replace("id=0.5", "id=half").replace("d=8000", wait));
            assert!(answer.tags.ends_with('Z') && answer.tags != "Z", "{wait}: {answer:?}");
            assert!(begun.elapsed().as_millis() < 500, "{wait}: {:?}", begun.elapsed());
        }
    }
    assert_eq!(client.ask(&menu("last")).value.as_deref(), Some(&b"s-1"[..]));
}
