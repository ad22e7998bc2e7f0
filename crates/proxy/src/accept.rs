//! The end of a listener.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Accepts the connections in the queue of a listener, adds them to `streams` and closes the
/// listener.
///
/// Closing it first would reset them, with the requests that callers have sent on them.
///
/// # Errors
///
/// Fails when a connection cannot be accepted; those that are left in the queue are reset.
pub fn accept_queued(listener: TcpListener, streams: &mut Vec<TcpStream>) -> io::Result<()> {
    // The runtime may not know yet that there are connections, so the system is asked.
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
