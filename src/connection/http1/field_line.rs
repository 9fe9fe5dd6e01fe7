//! Syntax of header and trailer lines, as RFC 9110 (5.1, 5.5) and RFC 9112 (5) define it.

/// A line that is a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldLine<'a> {
    pub name: &'a [u8],
    /// With the blanks around it.
    pub value: &'a [u8],
}

impl<'a> FieldLine<'a> {
    /// Parses a line without its line end; `None` if it is no field.
    pub fn parse(line: &'a [u8]) -> Option<Self> {
        let colon = line.iter().position(|byte| *byte == b':')?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let is_field = is_token(name) && value.iter().copied().all(is_value_byte);
        is_field.then_some(Self { name, value })
    }
}

/// Returns true for a name without blanks, control bytes and separators.
fn is_token(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().copied().all(is_token_byte)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}
