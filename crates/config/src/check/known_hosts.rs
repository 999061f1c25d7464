//! Checks the names of endpoints and the hosts of routes against the known names.

use crate::finding::{Code, nearest_name_hint};
use crate::table::{Findings, Located, TableReader};

/// Holds the known names, or `None` if every name is valid.
pub struct KnownHosts(Option<Vec<String>>);

impl KnownHosts {
    /// Collects the names of the endpoint list and those of the file's field `roster`.
    pub fn read(
        file: &mut TableReader,
        endpoint_list: Option<&[String]>,
        findings: &mut Findings,
    ) -> KnownHosts {
        let mut names = endpoint_list.map(<[String]>::to_vec);
        if file.has("roster") {
            let listed = file.strings("roster", findings).into_iter().map(|host| host.value);
            names.get_or_insert_default().extend(listed);
        } else {
            file.mark_known("roster");
        }
        KnownHosts(names)
    }

    /// Adds a finding if the name is not a known one.
    pub fn check(&self, name: &Located<String>, what: &str, findings: &mut Findings) {
        let Some(names) = &self.0 else { return };
        if names.contains(&name.value) {
            return;
        }
        let hint = nearest_name_hint(&name.value, names.iter().map(String::as_str));
        let message = format!("{what} {:?} is not in the roster{hint}", name.value);
        findings.error(Code::UnknownHost, name.span.clone(), message);
    }
}
