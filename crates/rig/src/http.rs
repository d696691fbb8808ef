//! HTTP/1.1 for the stand-ins, by hyper: a server whose handler may break a connection off or say nothing, and a
//! client that keeps connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

/// An answer with a body.
pub type Answer = Response<Full<Bytes>>;

/// Serves an address until the runtime ends; a connection's requests are handled one after the other.
///
/// # Errors
/// Where the socket is not to be had.
pub async fn serve<H, F>(at: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(at).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(())
}

/// An answer of that status with that body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

/// A header of a request, as text.
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// The whole body, where it comes whole.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(|body| body.to_bytes())
}

/// A client that keeps connections.
pub type Caller = Client<HttpConnector, Full<Bytes>>;

/// Such a client.
pub fn caller() -> Caller {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_idle_timeout(Duration::from_secs(1)).build(connector)
}
