//! HTTP/1.1 over blocking sockets, JSON and Base64: as much as the stand-ins need, standard library
//! only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn wants_close(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a head and the body that it announces; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            message.body.extend(chunk);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct InetAddr {
    family: u16,
    port: [u8; 2],
    addr: [u8; 4],
    zero: [u8; 8],
}

impl InetAddr {
    fn new(addr: SocketAddrV4) -> Self {
        let (port, addr) = (addr.port().to_be_bytes(), addr.ip().octets());
        Self { family: AF_INET as u16, port, addr, zero: [0; 8] }
    }
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, addr: *const InetAddr, length: u32) -> i32;
    fn connect(fd: i32, addr: *const InetAddr, length: u32) -> i32;
}

/// Connects from a given loopback address, so that callers can be told apart by their addresses. The
/// standard library cannot bind a client's socket.
pub fn connect_from(source: Ipv4Addr, addr: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let check = |result: i32| if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) };
    let length = size_of::<InetAddr>() as u32;
    // The calls get a valid descriptor and a pointer to a structure of the stated length.
    unsafe {
        let fd = OwnedFd::from_raw_fd(check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?);
        check(bind(fd.as_raw_fd(), &InetAddr::new(SocketAddrV4::new(source, 0)), length))?;
        check(connect(fd.as_raw_fd(), &InetAddr::new(addr), length))?;
        Ok(TcpStream::from(fd))
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes a response with a length, and half of its body.
pub fn respond_in_part(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&body[..body.len() / 2]);
    stream.write_all(&bytes)
}

/// A JSON value; numbers are kept as text.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Text(String),
    Number(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace() || *byte == b',' || *byte == b':') {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let key = value(bytes, at)?.text().to_owned();
                table.insert(key, value(bytes, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(value(bytes, at)?);
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        text.push(*bytes.get(*at + 1)?);
                        *at += 2;
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n".contains(byte)) {
                *at += 1;
            }
            let text = String::from_utf8_lossy(&bytes[from..*at]).into_owned();
            Some(if text == "null" { Json::Null } else { Json::Number(text) })
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = word >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
