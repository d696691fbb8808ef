//! An example endpoint for trying out the relay. It prints each request, and the first word of the body selects the answer
//! (full, wait, error or silent; anything else succeeds). It also accepts the relay's non-delivery reports at /reports.
//!
//! Not for production: it runs one thread per connection and has no limits.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// Message ids received so far.
type SeenIds = Arc<Mutex<HashSet<String>>>;

fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:9100".into());
    let listener = TcpListener::bind(&address)?;
    println!("toy server on {address}");
    let seen = SeenIds::default();
    for stream in listener.incoming() {
        let (stream, seen) = (stream?, seen.clone());
        std::thread::spawn(move || connection(stream, &seen));
    }
    Ok(())
}

fn connection(mut stream: TcpStream, seen: &SeenIds) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut first, mut id, mut key, mut length) = (String::new(), String::new(), String::new(), 0);
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            match line.trim().split_once(": ") {
                Some(("X-Correlation-Id", value)) => id = value.to_string(),
                Some(("Idempotency-Key", value)) => key = format!(" key {value}"),
                Some(("Content-Length", value)) => length = value.parse().unwrap_or(0),
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body);
        println!("{} {id}{key} {}", first.trim(), body.trim());
        let new = seen.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
        let answer = match body.split_whitespace().next() {
            _ if first.contains("/reports") => "204 No Content\r\n",
            Some("full") if new => "503 Full\r\nContent-Length: 0\r\n",
            Some("wait") if new => "429 Wait\r\nRetry-After: 3\r\nContent-Length: 0\r\n",
            Some("error") => "500 Error\r\nContent-Length: 0\r\n",
            Some("silent") => {
                std::io::copy(&mut reader, &mut std::io::sink())?;
                return Ok(());
            }
            _ => "200 OK\r\nContent-Length: 0\r\n",
        };
        stream.write_all(format!("HTTP/1.1 {answer}\r\n").as_bytes())?;
    }
}
