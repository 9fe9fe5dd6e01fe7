use {
    crate::errors::{RunError, SettingsProblem},
    ini::Ini,
    std::{
        collections::BTreeSet,
        fmt::Display,
        ops::RangeInclusive,
        path::{Path, PathBuf},
        str::FromStr,
        time::Duration,
    },
};

/// Reads typed settings out of an INI file and gathers every problem with its line.
pub struct IniReader {
    file: PathBuf,
    text: String,
    ini: Ini,
    known: BTreeSet<(String, String)>,
    problems: Vec<SettingsProblem>,
}

impl IniReader {
    /// Reads and checks a settings file; every problem is reported at once.
    pub fn read_file<S>(
        file: &Path,
        settings: impl FnOnce(&mut Self) -> Option<S>,
    ) -> Result<S, RunError> {
        let text = std::fs::read_to_string(file).map_err(|source| RunError::File {
            file: file.to_path_buf(),
            source,
        })?;
        Self::read_text(file, &text, settings).map_err(RunError::Settings)
    }

    /// Reads and checks the text of a settings file; `settings` is none if a required one is missing.
    pub fn read_text<S>(
        file: &Path,
        text: &str,
        settings: impl FnOnce(&mut Self) -> Option<S>,
    ) -> Result<S, Vec<SettingsProblem>> {
        let mut ini = Self::new(file, text);
        let settings = settings(&mut ini);
        let problems = ini.finish();
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }

    /// Reads `text`; a file that is not INI at all is one problem.
    pub fn new(
        file: &Path,
        text: &str,
    ) -> Self {
        let mut reader = Self {
            file: file.to_path_buf(),
            text: text.to_string(),
            ini: Ini::new(),
            known: BTreeSet::new(),
            problems: Vec::new(),
        };
        match Ini::load_from_str(text) {
            Ok(ini) => reader.ini = ini,
            Err(e) => reader.push(e.line + 1, e.msg.to_string()),
        }
        reader
    }

    /// A setting that must be there.
    pub fn required<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        let value = self.parsed(section, key);
        let missing = self.ini.get_from(Some(section), key).is_none();
        if missing {
            let problem = format!("[{section}] {key} is missing");
            self.push(self.line_of(section, None), problem);
        }
        value
    }

    /// A setting that may be left out.
    pub fn optional<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        self.parsed(section, key)
    }

    /// A number with a default, within a range.
    pub fn number<T>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        range: RangeInclusive<T>,
    ) -> T
    where
        T: FromStr<Err: Display> + PartialOrd + Display + Copy,
    {
        let value = self.parsed(section, key).unwrap_or(default);
        if range.contains(&value) {
            return value;
        }
        let (low, high) = (range.start(), range.end());
        let problem = format!("[{section}] {key} = {value} is not within {low} to {high}");
        self.push(self.line_of(section, Some(key)), problem);
        default
    }

    /// A duration in milliseconds with a default, within a range.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, default, range))
    }

    /// Notes that a setting contradicts another.
    pub fn contradiction(
        &mut self,
        section: &str,
        key: &str,
        problem: &str,
    ) {
        let line = self.line_of(section, Some(key));
        self.push(line, format!("[{section}] {key}: {problem}"));
    }

    /// Every problem found, unknown keys included, in the order of the lines.
    pub fn finish(mut self) -> Vec<SettingsProblem> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                let name = (section.to_string(), key.to_string());
                if !self.known.contains(&name) {
                    unknown.push(name);
                }
            }
        }
        for (section, key) in unknown {
            let line = self.line_of(&section, Some(&key));
            self.push(line, format!("[{section}] {key} is not a known setting"));
        }
        self.problems.sort_by_key(|problem| problem.line);
        self.problems
    }

    fn parsed<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        self.known.insert((section.to_string(), key.to_string()));
        let text = self.ini.get_from(Some(section), key)?.trim().to_string();
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                let problem = format!("[{section}] {key} = {text}: {e}");
                self.push(self.line_of(section, Some(key)), problem);
                None
            }
        }
    }

    fn push(
        &mut self,
        line: usize,
        problem: String,
    ) {
        self.problems.push(SettingsProblem {
            file: self.file.clone(),
            line,
            problem,
        });
    }

    /// The parser keeps no lines, so the text is searched for the section and key.
    fn line_of(
        &self,
        section: &str,
        key: Option<&str>,
    ) -> usize {
        let mut current = "";
        for (at, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                current = name.trim();
                if current == section && key.is_none() {
                    return at + 1;
                }
                continue;
            }
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if current == section && Some(name) == key {
                return at + 1;
            }
        }
        0
    }
}
