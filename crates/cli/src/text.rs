//! Text for terminals.

/// Escapes control characters, so that names that hold them break no line.
pub(crate) fn single_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        match c.is_control() {
            true => line.extend(c.escape_default()),
            false => line.push(c),
        }
    }
    line
}
