//! The proxy: bytes come whole and in order whatever it does to them, and a reset is one.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use faults::proxy::{Trouble, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A server that sends back what comes, and an address for a proxy before it.
async fn echo() -> (SocketAddr, SocketAddr) {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let at = server.local_addr().expect("an address");
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a socket").local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = server.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    (at, free)
}

#[tokio::test]
async fn what_is_split_and_stalled_comes_whole_and_in_order() {
    let (to, listen) = echo().await;
    let trouble = Trouble { split: 0.5, stall: 0.3, pause: Duration::from_millis(3), ..Trouble::default() };
    let counts = start(listen, to, trouble, 7).await.expect("a proxy");
    let mut stream = TcpStream::connect(listen).await.expect("a connection");
    for n in 0..40_u8 {
        let sent = vec![n; 700];
        stream.write_all(&sent).await.expect("written");
        let mut got = vec![0; 700];
        stream.read_exact(&mut got).await.expect("read");
        assert_eq!(got, sent);
    }
    assert!(counts.splits.load(Ordering::Relaxed) > 0 && counts.stalls.load(Ordering::Relaxed) > 0);
}

#[tokio::test]
async fn a_reset_is_told_as_one() {
    let (to, listen) = echo().await;
    let counts = start(listen, to, Trouble { reset: 1.0, ..Trouble::default() }, 7).await.expect("a proxy");
    let mut stream = TcpStream::connect(listen).await.expect("a connection");
    stream.write_all(b"x").await.expect("written");
    let error = stream.read(&mut [0; 9]).await.expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(counts.resets.load(Ordering::Relaxed), 1);
}
