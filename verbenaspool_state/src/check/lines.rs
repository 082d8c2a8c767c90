//! Line numbers of a file's sections and entries.

use std::collections::BTreeMap;

/// Line numbers by path, for files in block style.
///
/// The YAML library reports line numbers only for syntax errors. In a file in block style, a
/// section starts on a line without indentation, and its entries start on lines with a dash
/// at the indentation of the first entry. Entries in flow style get the line of their section.
#[derive(Debug, Default)]
pub struct Lines {
    /// Line numbers from 1, by `section` and `section[entry]`.
    by_path: BTreeMap<String, usize>,
}

impl Lines {
    /// Finds the lines of a file's sections and entries.
    ///
    /// ```
    /// use verbenaspool_state::check::Lines;
    ///
    /// let lines = Lines::scan("firm: quetzal\nplaces:\n  - zone: antigua\n");
    /// assert_eq!(lines.line_of("places[0].zone"), Some(3));
    /// ```
    #[must_use]
    pub fn scan(yaml: &str) -> Self {
        let mut by_path = BTreeMap::new();
        let mut section = "";
        let mut entries = 0;
        let mut entry_indent = None;
        for (number, line) in (1..).zip(yaml.lines()) {
            let text = line.trim_start();
            let indent = line.len() - text.len();
            let entry = text.starts_with("- ") || text == "-";
            if entry && !section.is_empty() && *entry_indent.get_or_insert(indent) == indent {
                by_path.insert(format!("{section}[{entries}]"), number);
                entries += 1;
            } else if indent == 0
                && !text.starts_with('#')
                && let Some((key, _)) = text.split_once(':')
            {
                section = key;
                entries = 0;
                entry_indent = None;
                by_path.insert(section.to_owned(), number);
            }
        }
        Self { by_path }
    }

    /// The line of the entry that contains a path, or else of its section.
    ///
    /// ```
    /// # use verbenaspool_state::check::Lines;
    /// assert_eq!(Lines::default().line_of("places[0].zone"), None);
    /// ```
    #[must_use]
    pub fn line_of(&self, path: &str) -> Option<usize> {
        let entry = path.split('.').next().unwrap_or_default();
        let section = entry.split('[').next().unwrap_or_default();
        let found = self.by_path.get(entry).or(self.by_path.get(section));
        found.copied()
    }
}
