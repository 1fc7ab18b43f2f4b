//! Ports that are kept for the programs of a test.

use std::net::{SocketAddr, TcpListener, TcpStream};

use hornbeamhitch_standins::fleet::ports::ReservedPort;

const ANY: &str = "127.0.0.1:0";

fn any() -> SocketAddr {
    ANY.parse().expect("an address")
}

/// A test names a port in a node's settings and starts the node. Another process
/// that is being started at the same moment still holds copies of this test's
/// sockets. The node listens at its port all the same, is killed, and a second life
/// of it listens there again: no copy of the socket that keeps the port is in its way.
#[test]
fn a_program_listens_on_its_reserved_port_after_each_restart() {
    let reserved = ReservedPort::take(any()).expect("a port");
    for _ in 0..2 {
        // The standard library sets the same option as the nodes do.
        let listener = TcpListener::bind(reserved.addr()).expect("the reserved port");
        let client = TcpStream::connect(reserved.addr()).expect("a connection");
        let (accepted, _) = listener.accept().expect("the connection");
        drop((listener, client, accepted));
    }
}

/// While a node is not yet started, the kernel looks for a port for somebody else.
/// It does not offer the reserved one, and a connection to that is refused.
#[test]
fn the_kernel_assigns_a_reserved_port_to_nobody_else() {
    let reserved = ReservedPort::take(any()).expect("a port");
    let mut others = Vec::new();
    for _ in 0..500 {
        let other = TcpListener::bind(any()).expect("a port");
        let addr = other.local_addr().expect("an address");
        assert_ne!(addr, reserved.addr());
        others.push(other);
    }
    let second = ReservedPort::take(any()).expect("a port");
    assert_ne!(second.addr(), reserved.addr());
    let refused = TcpStream::connect(reserved.addr()).expect_err("nobody listens");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
}
