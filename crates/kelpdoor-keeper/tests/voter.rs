//! Voters on sockets and disks: what is garbled, endless, of another fleet, flipped or full is refused by name, and what is
//! agreed stands.

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
async fn free(n: usize) -> Vec<SocketAddr> {
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
        // What documents here name is nowhere.
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
    async fn raw(at: SocketAddr) -> Client {
        Client(BufReader::new(TcpStream::connect(at).await.unwrap()))
    }

    async fn new(at: SocketAddr) -> Client {
        let mut client = Client::raw(at).await;
        client.say(&ClientRequest::Hello { fleet: "test".to_owned() }).await;
        assert!(matches!(client.hear().await, Some(VoterResponse::Welcome { .. })));
        client
    }

    async fn bytes(&mut self, bytes: &[u8]) {
        // The other side may close before it has read all.
        let _ = self.0.get_mut().write_all(bytes).await;
    }

    async fn say(&mut self, ask: &ClientRequest) {
        let mut text = serde_json::to_vec(ask).unwrap();
        text.push(b'\n');
        self.bytes(&text).await;
    }

    async fn hear(&mut self) -> Option<VoterResponse> {
        let mut line = String::new();
        match self.0.read_line(&mut line).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
        }
    }

    async fn ask(&mut self, ask: &ClientRequest) -> VoterResponse {
        self.say(ask).await;
        self.hear().await.expect("an answer")
    }

    async fn propose(&mut self, after: u64, text: &str) -> VoterResponse {
        let value = Value { id: fastrand::u64(..), text: text.into() };
        self.ask(&ClientRequest::Propose { after, value, sure: false }).await
    }
}

async fn three(dir: &Path) -> (Vec<SocketAddr>, Vec<RunningVoter>) {
    // An address that was free may be taken a moment later; then with others.
    for _ in 0..10 {
        let at = free(3).await;
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
    panic!("no three voters start");
}

/// Proposes until the voters have found each other.
async fn agree(at: SocketAddr, after: u64, text: &str) -> u64 {
    let mut client = Client::new(at).await;
    for _ in 0..1000 {
        match client.propose(after, text).await {
            VoterResponse::Agreed { number } => return number,
            // Asked again, as an operator would.
            VoterResponse::Unknown { .. } | VoterResponse::NotTaken { .. } => {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            other => panic!("{other:?}"),
        }
    }
    panic!("never agreed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_no_question_is_refused_by_name_and_what_is_agreed_stands() {
    let dir = tempfile::tempdir().unwrap();
    let (at, _voters) = three(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);

    let mut other = Client::raw(at[0]).await;
    other.say(&ClientRequest::Hello { fleet: "other".to_owned() }).await;
    let why = "this is a voter of fleet \"test\", not of \"other\"";
    assert_eq!(other.hear().await, Some(VoterResponse::Fault(why.into())));
    assert_eq!(other.hear().await, None, "closed");

    let mut rude = Client::raw(at[0]).await;
    rude.say(&ClientRequest::Status).await;
    assert_eq!(rude.hear().await, Some(VoterResponse::Fault("the first line names the fleet".into())));

    let mut garbled = Client::new(at[0]).await;
    garbled.bytes(b"{\"renew\":{\"name\":7}}\n").await;
    assert!(
        matches!(garbled.hear().await, Some(VoterResponse::Fault(why)) if why.starts_with("not a message: "))
    );

    let mut endless = Client::new(at[0]).await;
    let part = vec![b'x'; 1 << 16];
    for _ in 0..=MAX_LINE / part.len() {
        endless.bytes(&part).await;
    }
    let mut end = Vec::new();
    let _ = endless.0.read_to_end(&mut end).await;
    assert!(end.is_empty() || String::from_utf8_lossy(&end).contains("a line of more than"));

    let mut client = Client::new(at[0]).await;
    // A version from nowhere, which is none.
    client
        .say(&ClientRequest::Voter {
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
        client.ask(&ClientRequest::Status).await,
        VoterResponse::Status { newest: 1, votes: true, .. }
    ));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_is_put_on_the_list_once_it_is_heard_of_and_decides_from_then_on() {
    let dir = tempfile::tempdir().unwrap();
    let (at, mut voters) = three(dir.path()).await;
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
    // They are dialled by their agreed addresses: here, for want of any that is known before, by new ones.
    let all: Vec<String> = voters.iter().map(|v| format!("{:?}", v.address.to_string())).collect();
    let next = DOCUMENT
        .replace("[\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]", &format!("[{}]", all.join(", ")));
    assert_eq!(agree(at[0], 1, &next).await, 2);
    // Of five: with two founders gone the other three decide.
    for v in &mut voters[..2] {
        v.shut_down().await;
        v.ended().await.unwrap();
    }
    assert_eq!(agree(voters[3].address, 2, &format!("{next}# third\n")).await, 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_is_flipped_cut_or_another_s_is_not_voted_with() {
    let dir = tempfile::tempdir().unwrap();
    let (at, mut voters) = three(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);
    for v in &mut voters {
        v.shut_down().await;
        v.ended().await.unwrap();
    }
    drop(voters);
    let why = async |me: u8, found: bool| {
        // Wherever it listens: its old address may be another's by now.
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
async fn a_voter_whose_disk_takes_nothing_ends_before_it_answers_and_the_others_go_on() {
    let dir = tempfile::tempdir().unwrap();
    let (at, mut voters) = three(dir.path()).await;
    assert_eq!(agree(at[0], 0, DOCUMENT).await, 1);
    std::fs::remove_dir_all(dir.path().join("0")).unwrap();
    let next = format!("{DOCUMENT}# second\n");
    // Asked of the one that cannot write: no answer, for none would rest on anything.
    let mut client = Client::new(at[0]).await;
    client
        .say(&ClientRequest::Propose { after: 1, value: Value { id: 5, text: next.clone() }, sure: false })
        .await;
    assert_eq!(client.hear().await, None);
    let why = voters[0].ended().await.unwrap_err();
    assert!(why.contains("No such file"), "{why}");
    assert_eq!(agree(at[1], 1, &next).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_word_leaves_before_what_it_rests_on_is_written() {
    let dir = tempfile::tempdir().unwrap();
    std::fs::create_dir(dir.path().join("0")).unwrap();
    // The test is voter 1; voter 2 is nowhere.
    let other = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let at = [nowhere, other.local_addr().unwrap(), nowhere];
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut voter = start_voter(VoterOptions { listen, ..options(0, &at, dir.path(), true) }).await.unwrap();
    let (stream, _) = other.accept().await.unwrap();
    let mut from = Client(BufReader::new(stream));
    let mut welcome = serde_json::to_vec(&VoterResponse::Welcome { me: VoterId(1) }).unwrap();
    welcome.push(b'\n');
    from.bytes(&welcome).await;
    let mut words = async || loop {
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
    client.say(&prepare(1)).await;
    assert_eq!(words().await, Some(VoterMessage::Promise { number: 1, ballot: ballot(1), accepted: None }));
    let kept = std::fs::read_to_string(store(0, dir.path())).unwrap();
    assert!(kept.contains(r#""promised":{"round":1,"voter":1}"#), "promised, and not on disk: {kept}");
    std::fs::remove_dir_all(dir.path().join("0")).unwrap();
    client.say(&prepare(2)).await;
    assert!(voter.ended().await.is_err(), "it cannot write its promise");
    assert_eq!(words().await, None, "and says nothing of it");
}
