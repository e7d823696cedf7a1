//! The HTTP adapter against a server with a fixed answer.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use model::{RackId, Size, WorkerId};
use store::{HttpPlatform, HttpPlatformConfig, VmInfo, VmList, VmRole, VmState};

fn vm(worker: u32) -> VmInfo {
    VmInfo {
        region: "r1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        state: VmState::Live,
        role: VmRole::Worker {
            worker: WorkerId(worker),
            rack: RackId(1),
            size: Size::new(16_000, 64_000, 1),
        },
    }
}

/// Returns the VMs that a client reads from an answer.
fn read_vms(body: String) -> Vec<VmInfo> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            socket.read_exact(&mut byte).unwrap();
            request.extend(byte);
        }
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        socket.write_all(head.as_bytes()).unwrap();
        socket.write_all(body.as_bytes()).unwrap();
    });
    let cfg = HttpPlatformConfig {
        url,
        ..HttpPlatformConfig::default()
    };
    let vms = HttpPlatform::new(cfg).vms("d1".parse().unwrap());
    server.join().unwrap();
    vms.unwrap_or_default()
}

/// Guards against an entry of the VM list that hides the others, or that is taken for a worker.
#[test]
fn odd_vms_are_left_out_and_their_neighbours_are_read() {
    let [first, last] = [vm(1), vm(9)].map(|vm| serde_json::to_string(&vm).unwrap());
    let good = serde_json::to_string(&vm(5)).unwrap();
    let with = |field: &str, value: &str| {
        assert!(good.contains(field), "{field} in {good}");
        good.replacen(field, value, 1)
    };
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let odd = [
        nested.clone(),
        "7".to_owned(),
        "null".to_owned(),
        "{}".to_owned(),
        with("\"Live\"", "\"Asleep\""),
        with("\"Live\"", &nested),
        with("16000", "1e400"),
        with("16000", "18446744073709551616"),
        with("16000", "18446744073709551615"),
        with("64000", "18446744073709551615"),
        with("16000", "-1"),
        with("\"worker\":5", "\"worker\":4294967296"),
    ];
    for odd in odd {
        let vms = read_vms(format!("[{first},{odd},{last}]"));
        let text = odd.get(..100).unwrap_or(&odd);
        assert_eq!(vms, [vm(1), vm(9)], "beside {text}");
    }
}
