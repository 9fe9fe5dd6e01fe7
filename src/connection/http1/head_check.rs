use super::{ExchangeError, FieldLine};

const LINE_END: &[u8] = b"\r\n";

/// Checks each line of a head, from its status line to the empty line at its end.
///
/// `httparse` takes a bare LF for a line end, and reads names by instructions that differ between processors. A head whose
/// lines are read otherwise than they were meant has another length or another body than its target's.
pub fn check_lines(head: &[u8]) -> Result<(), ExchangeError> {
    let mut rest = without_leading_line_ends(head);
    let status_line = take_line(&mut rest)?;
    if !status_line.starts_with(b"HTTP/1.") {
        return Err(ExchangeError::Nonsense("no status line"));
    }
    loop {
        let line = take_line(&mut rest)?;
        if line.is_empty() {
            break;
        }
        if FieldLine::parse(line).is_none() {
            return Err(ExchangeError::Nonsense("a line of the head is no field"));
        }
    }
    match rest.is_empty() {
        true => Ok(()),
        false => Err(ExchangeError::Nonsense("an empty line amid the head")),
    }
}

/// RFC 9112, 2.2: empty lines may precede a message.
fn without_leading_line_ends(mut head: &[u8]) -> &[u8] {
    while let Some(rest) = head.strip_prefix(LINE_END) {
        head = rest;
    }
    head
}

/// Takes a line off the front of a head; returns it without its line end.
fn take_line<'a>(head: &mut &'a [u8]) -> Result<&'a [u8], ExchangeError> {
    let no_line_end = ExchangeError::Nonsense("a line of the head has no line end");
    let Some(feed) = head.iter().position(|byte| *byte == b'\n') else {
        return Err(no_line_end);
    };
    let (line, rest) = head.split_at(feed + 1);
    *head = rest;
    line.strip_suffix(LINE_END).ok_or(no_line_end)
}
