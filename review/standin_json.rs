//! Reads JSON, as far as calls to the store need it; encodes base64.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.as_bytes();
        value(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }
}

fn skip(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> Option<()> {
    skip(rest);
    (rest.first() == Some(&byte)).then(|| *rest = &rest[1..])
}

fn value(rest: &mut &[u8]) -> Option<Json> {
    skip(rest);
    match rest.first()? {
        b'{' => {
            take(rest, b'{')?;
            let mut fields = Vec::new();
            while take(rest, b'}').is_none() {
                skip(rest);
                let name = string(rest)?;
                take(rest, b':')?;
                fields.push((name, value(rest)?));
                let _ = take(rest, b',');
            }
            Some(Json::Table(fields))
        }
        b'[' => {
            take(rest, b'[')?;
            let mut list = Vec::new();
            while take(rest, b']').is_none() {
                list.push(value(rest)?);
                let _ = take(rest, b',');
            }
            Some(Json::List(list))
        }
        b'"' => Some(Json::Text(string(rest)?)),
        _ => {
            let end = rest.iter().position(|it| b",]} \n\r\t".contains(it)).unwrap_or(rest.len());
            let word = std::str::from_utf8(&rest[..end]).ok()?;
            *rest = &rest[end..];
            match word {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(rest: &mut &[u8]) -> Option<String> {
    take(rest, b'"')?;
    let mut bytes = Vec::new();
    loop {
        let (&byte, after) = rest.split_first()?;
        *rest = after;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let (&escaped, after) = rest.split_first()?;
                *rest = after;
                bytes.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
            }
            other => bytes.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().chain([&0, &0]).take(3).fold(0_u32, |sum, it| (sum << 8) | u32::from(*it));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|it| *it != b'=') {
        let digit = DIGITS.iter().position(|it| *it == byte).unwrap_or(0) as u32;
        group = (group << 6) | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    bytes
}
