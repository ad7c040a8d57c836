//! Voters with sockets and stores. Invalid, overlong and foreign messages and corrupted or unwritable stores are reported,
//! and agreed versions are kept.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use kelpdoor_agreement::{Ballot, ClientRequest, MAX_LINE, Value, VoterId, VoterMessage, VoterResponse};
use kelpdoor_keeper::{RunningVoter, VoterOptions, start_voter};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

const DOCUMENT: &str = r#"
ladder(rates = [120, 221], utility = [0.2, 0.42])
group("story", utility = 1, start_target = 1)
fleet(zones = ["east"], kinds = {"box": 26}, cells = 4, racks = 2, link_unit = 2600, seen_after = 0.6, told_every = 2,
      cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1)
directors(names = ["a", "b", "c"], max_setups = 3)
voters(at = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"])
"#;

/// Addresses that are free now.
async fn free_addresses(n: usize) -> Vec<SocketAddr> {
    let mut held = Vec::new();
    for _ in 0..n {
        held.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    held.iter().map(|l| l.local_addr().unwrap()).collect()
}

fn options(me: u8, voters: &[SocketAddr], dir: &Path, found: bool) -> VoterOptions {
    VoterOptions {
        me: VoterId(me),
        voters: (0..).zip(voters.iter().copied()).collect(),
        // Nothing listens at the addresses in the documents.
        reach: (0..).zip(voters.iter().copied()).collect(),
        listen: voters[usize::from(me)],
        fleet: "test".into(),
        store: store(me, dir),
        found,
        clock_rate: 1.0,
    }
}

fn store(me: u8, dir: &Path) -> PathBuf {
    dir.join(me.to_string()).join("store")
}

struct Client(BufReader<TcpStream>);

impl Client {
    async fn connect(at: SocketAddr) -> Client {
        Client(BufReader::new(TcpStream::connect(at).await.unwrap()))
    }

    async fn new(at: SocketAddr) -> Client {
        let mut client = Client::connect(at).await;
        client.send(&ClientRequest::Hello { fleet: "test".to_owned() }).await;
        assert!(matches!(client.receive().await, Some(VoterResponse::Welcome { .. })));
        client
    }

    async fn send_bytes(&mut self, bytes: &[u8]) {
        // The voter may close the connection before it has read everything.
        let _ = self.0.get_mut().write_all(bytes).await;
    }

    async fn send(&mut self, request: &ClientRequest) {
        let mut text = serde_json::to_vec(request).unwrap();
        text.push(b'\n');
        self.send_bytes(&text).await;
    }

    async fn receive(&mut self) -> Option<VoterResponse> {
        let mut line = String::new();
        match self.0.read_line(&mut line).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
        }
    }

    async fn request(&mut self, request: &ClientRequest) -> VoterResponse {
        self.send(request).await;
        self.receive().await.expect("a response")
    }

    async fn propose(&mut self, after: u64, text: &str) -> VoterResponse {
        let value = Value { id: fastrand::u64(..), text: text.into() };
        self.request(&ClientRequest::Propose { after, value, sure: false }).await
    }
}

/// Waits until a voter knows the version with this number.
async fn wait_until_known(at: SocketAddr, number: u64) {
    const NEVER_REACHED: u64 = 1000;
    let mut client = Client::new(at).await;
    let mut last = String::new();
    for _ in 0..1000 {
        match client.propose(NEVER_REACHED, DOCUMENT).await {
            VoterResponse::NotTaken { why } if why.ends_with(&format!("the newest is {number}")) => return,
            other => last = format!("{other:?}"),
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("version {number} is not known: {last}");
}

async fn start_three_voters(dir: &Path) -> (Vec<SocketAddr>, Vec<RunningVoter>) {
    // Another process may take an address that was free a moment ago; then other addresses are tried.
    for _ in 0..10 {
        let at = free_addresses(3).await;
        let mut voters = Vec::new();
        for me in 0..3u8 {
            let own = dir.join(me.to_string());
            let _ = std::fs::remove_dir_all(&own);
            std::fs::create_dir(&own).unwrap();
            voters.extend(start_voter(options(me, &at, dir, true)).await.ok());
        }
        if voters.len() == 3 {
            return (at, voters);
        }
    }
    panic!("three voters did not start");
}

/// Proposes `text` until the voters have connected to each other and agree on it.
async fn agree(at: SocketAddr, after: u64, text: &str) -> u64 {
    let mut client = Client::new(at).await;
    for _ in 0..1000 {
        match client.propose(after, text).await {
            VoterResponse::Agreed { number } => return number,
            // Repeated, as an operator would.
            VoterResponse::Unknown { .. } | VoterResponse::NotTaken { .. } => {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            other => panic!("{other:?}"),
        }
    }
    panic!("never agreed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_are_rejected_with_a_reason_and_agreed_versions_are_kept() {
    let dir = tempfile::tempdir().unwrap();
    let (at, _voters) = start_three_voters(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);

    let mut other = Client::connect(at[0]).await;
    other.send(&ClientRequest::Hello { fleet: "other".to_owned() }).await;
    let why = "this is a voter of fleet \"test\", not of \"other\"";
    assert_eq!(other.receive().await, Some(VoterResponse::Fault(why.into())));
    assert_eq!(other.receive().await, None, "closed");

    let mut without_hello = Client::connect(at[0]).await;
    without_hello.send(&ClientRequest::Status).await;
    assert_eq!(
        without_hello.receive().await,
        Some(VoterResponse::Fault("the first line names the fleet".into()))
    );

    let mut invalid = Client::new(at[0]).await;
    invalid.send_bytes(b"{\"renew\":{\"name\":7}}\n").await;
    assert!(
        matches!(invalid.receive().await, Some(VoterResponse::Fault(why)) if why.starts_with("not a message: "))
    );

    let mut overlong = Client::new(at[0]).await;
    let part = vec![b'x'; 1 << 16];
    for _ in 0..=MAX_LINE / part.len() {
        overlong.send_bytes(&part).await;
    }
    let mut end = Vec::new();
    let _ = overlong.0.read_to_end(&mut end).await;
    assert!(end.is_empty() || String::from_utf8_lossy(&end).contains("a line of more than"));

    let mut client = Client::new(at[0]).await;
    // A version from an unknown voter that cannot be parsed.
    client
        .send(&ClientRequest::Voter {
            from: VoterId(9),
            word: VoterMessage::Learn { number: 7, id: 1, text: "no".into() },
        })
        .await;
    let mut refused = async |after: u64, text: &str| match client.propose(after, text).await {
        VoterResponse::NotTaken { why } => why,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(1, &" ".repeat(300_000)).await, "the document has 300000 bytes, 262144 at most");
    assert!(refused(1, "ladder(").await.starts_with("the document:1:8: Parse error"));
    let fewer = DOCUMENT.replace("[\"a\", \"b\", \"c\"]", "[\"a\"]");
    assert!(refused(1, &fewer).await.starts_with("directors.names: 2 of 3 directors would go at once"));
    let rungs = DOCUMENT.replace("221", "300");
    assert!(refused(1, &rungs).await.starts_with("ladder.rates: it cannot change while the fleet runs"));
    assert_eq!(refused(7, DOCUMENT).await, "version 7 is not known here, the newest is 1");
    assert!(matches!(client.propose(0, DOCUMENT).await, VoterResponse::Lost { newest: 1, .. }));
    assert!(matches!(
        client.request(&ClientRequest::Status).await,
        VoterResponse::Status { newest: 1, votes: true, .. }
    ));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_that_is_ready_can_be_added_and_then_takes_part_in_decisions() {
    let dir = tempfile::tempdir().unwrap();
    let (at, mut voters) = start_three_voters(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);
    let next = DOCUMENT.replace("\"127.0.0.1:3\"]", "\"127.0.0.1:3\", \"127.0.0.1:4\", \"127.0.0.1:5\"]");
    let mut client = Client::new(at[0]).await;
    let VoterResponse::NotTaken { why } = client.propose(1, &next).await else { panic!("taken") };
    assert_eq!(why, "voters.at: not heard of yet as ready to vote: 3, 4; start them first, or say --sure");
    let other = DOCUMENT.replace(
        "[\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]",
        "{\"0\": \"127.0.0.1:1\",
        \"7\": \"127.0.0.1:2\", \"8\": \"127.0.0.1:3\"}",
    );
    let VoterResponse::NotTaken { why } = client.propose(1, &other).await else { panic!("taken") };
    assert_eq!(why, "voters.at: 2 of 3 voters would go at once; say --sure if so");
    for me in [3, 4] {
        std::fs::create_dir(dir.path().join(me.to_string())).unwrap();
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let joins = VoterOptions {
            me: VoterId(me),
            listen,
            store: store(me, dir.path()),
            ..options(0, &at, dir.path(), false)
        };
        voters.push(start_voter(joins).await.unwrap());
    }
    // The settings of the others have no address of the new voters, so the document names the real addresses.
    let all: Vec<String> = voters.iter().map(|v| format!("{:?}", v.address.to_string())).collect();
    let next = DOCUMENT
        .replace("[\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]", &format!("[{}]", all.join(", ")));
    assert_eq!(agree(at[0], 1, &next).await, 2);
    // With two of the five voters shut down, the other three decide. Version 2 was decided by a majority of the three old
    // ones, which may be the two that are shut down, so the others have to know it first.
    for v in &voters[2..] {
        wait_until_known(v.address, 2).await;
    }
    for v in &mut voters[..2] {
        v.shut_down().await;
        v.ended().await.unwrap();
    }
    assert_eq!(agree(voters[3].address, 2, &format!("{next}# third\n")).await, 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupted_truncated_or_foreign_store_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let (at, mut voters) = start_three_voters(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);
    for v in &mut voters {
        v.shut_down().await;
        v.ended().await.unwrap();
    }
    drop(voters);
    let why = async |me: u8, found: bool| {
        // On any free port: another process may use the old address by now.
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        match start_voter(VoterOptions { listen, ..options(me, &at, dir.path(), found) }).await {
            Ok(_) => "it starts".to_owned(),
            Err(e) => e.to_string(),
        }
    };
    assert!(why(0, true).await.ends_with("a store is there, the fleet was founded before"));
    let path = store(0, dir.path());
    let good = std::fs::read(&path).unwrap();
    let mut bad = good.clone();
    bad[40] ^= 1;
    std::fs::write(&path, &bad).unwrap();
    assert!(why(0, false).await.contains("the checksum says"));
    std::fs::write(&path, &good[..good.len() / 2]).unwrap();
    assert!(why(0, false).await.contains("the checksum says"));
    std::fs::copy(store(1, dir.path()), &path).unwrap();
    assert!(why(0, false).await.ends_with("it is the store of \"test voter 1\", not of \"test voter 0\""));
    std::fs::write(&path, &good).unwrap();
    assert_eq!(why(0, false).await, "it starts");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_that_cannot_write_ends_without_a_response_and_the_others_continue() {
    let dir = tempfile::tempdir().unwrap();
    let (at, mut voters) = start_three_voters(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);
    std::fs::remove_dir_all(dir.path().join("0")).unwrap();
    let next = format!("{DOCUMENT}# second\n");
    // The voter that cannot write its store must not respond.
    let mut client = Client::new(at[0]).await;
    client
        .send(&ClientRequest::Propose { after: 1, value: Value { id: 5, text: next.clone() }, sure: false })
        .await;
    assert_eq!(client.receive().await, None);
    let why = voters[0].ended().await.unwrap_err();
    assert!(why.contains("No such file"), "{why}");
    assert_eq!(agree(at[1], 1, &next).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn message_is_sent_only_after_its_state_is_written() {
    let dir = tempfile::tempdir().unwrap();
    std::fs::create_dir(dir.path().join("0")).unwrap();
    // The test acts as voter 1; nothing listens at the address of voter 2.
    let other = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let at = [nowhere, other.local_addr().unwrap(), nowhere];
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut voter = start_voter(VoterOptions { listen, ..options(0, &at, dir.path(), true) }).await.unwrap();
    let (stream, _) = other.accept().await.unwrap();
    let mut from = Client(BufReader::new(stream));
    let mut welcome = serde_json::to_vec(&VoterResponse::Welcome { me: VoterId(1) }).unwrap();
    welcome.push(b'\n');
    from.send_bytes(&welcome).await;
    let mut next_message = async || loop {
        let mut line = String::new();
        match from.0.read_line(&mut line).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {
                if let Ok(ClientRequest::Voter { word, .. }) = serde_json::from_str(&line)
                    && !matches!(word, VoterMessage::Want { .. })
                {
                    return Some(word);
                }
            }
        }
    };
    let mut client = Client::new(voter.address).await;
    let ballot = |round| Ballot { round, voter: VoterId(1) };
    let prepare = |round| ClientRequest::Voter {
        from: VoterId(1),
        word: VoterMessage::Prepare { number: 1, ballot: ballot(round) },
    };
    client.send(&prepare(1)).await;
    assert_eq!(
        next_message().await,
        Some(VoterMessage::Promise { number: 1, ballot: ballot(1), accepted: None })
    );
    let kept = std::fs::read_to_string(store(0, dir.path())).unwrap();
    assert!(
        kept.contains(r#""promised":{"round":1,"voter":1}"#),
        "the promise was sent but is not on disk: {kept}"
    );
    std::fs::remove_dir_all(dir.path().join("0")).unwrap();
    client.send(&prepare(2)).await;
    assert!(voter.ended().await.is_err(), "the voter cannot write its promise");
    assert_eq!(next_message().await, None, "the voter must not send the promise");
}
