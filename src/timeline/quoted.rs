/// Maximum number of characters of external text in a log line.
const MAX_QUOTED_CHARS: usize = 160;

/// Formats external text as one quoted, truncated value of a log line.
pub fn quoted(text: &impl ToString) -> String {
    let text = text.to_string();
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start:?}")
}
