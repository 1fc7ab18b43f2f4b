//! Tests of ports that are reserved for the programs of a test.

use std::net::{SocketAddr, TcpListener, TcpStream};

use hornbeamhitch_standins::fleet::ports::ReservedPort;

const ANY: &str = "127.0.0.1:0";

fn any() -> SocketAddr {
    ANY.parse().expect("an address")
}

/// A test writes a port to a node's settings and starts the node, while another process
/// that is just being started holds copies of the test's sockets. The node must still
/// be able to listen on its port, also after it was killed and restarted: the
/// reserving socket and its copies must not prevent that.
#[test]
fn a_program_listens_on_its_reserved_port_after_each_restart() {
    let reserved = ReservedPort::take(any()).expect("a port");
    for _ in 0..2 {
        // The standard library sets `SO_REUSEADDR`, as the nodes do.
        let listener = TcpListener::bind(reserved.addr()).expect("the reserved port");
        let client = TcpStream::connect(reserved.addr()).expect("a connection");
        let (accepted, _) = listener.accept().expect("the connection");
        drop((listener, client, accepted));
    }
}

/// Before a node is started, the kernel selects a free port for another process. It
/// must not select the reserved port, and connections to the reserved port must be
/// refused.
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
