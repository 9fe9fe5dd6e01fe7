//! Messages between hosts over their sockets.

use {
    coveproxy::connection::datagram::{DatagramSocket, HostRumor, Message, Ping},
    std::time::Duration,
    tokio::time::timeout,
};

const TRIES: usize = 100;

const PATIENCE: Duration = Duration::from_millis(100);

/// Engines of a large site.
const ENGINES: usize = 820;

fn rumor() -> HostRumor {
    HostRumor {
        holds: (0..ENGINES).map(|at| format!("i-{at:010x}")).collect(),
        ..HostRumor::default()
    }
}

/// After the loss of most hosts one may hold all engines: were its messages dropped for their size,
/// the others would believe it dead.
#[tokio::test]
async fn a_host_that_holds_all_engines_is_heard() {
    let any = "127.0.0.1:0".parse().unwrap();
    let here = DatagramSocket::bind(any).await.unwrap();
    let there = DatagramSocket::bind(any).await.unwrap();
    let ping = Message::Ping(Ping {
        sender: rumor(),
        rumors: vec![rumor()],
        ..Ping::default()
    });
    let to = there.local_address().unwrap();
    for _ in 0..TRIES {
        // A socket that was just opened may not be ready, and any datagram may be lost.
        here.send(to, ping.clone());
        let Ok((from, heard)) = timeout(PATIENCE, there.receive()).await else {
            continue;
        };
        assert_eq!(from, here.local_address().unwrap());
        assert_eq!(heard, ping);
        return;
    }
    panic!("none of {TRIES} messages was heard");
}
