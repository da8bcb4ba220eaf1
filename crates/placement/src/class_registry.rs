//! Compact keys for the classes of all teams.

use indexmap::IndexSet;
use jasminebend_base::{
    ClassName,
    TeamName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ClassKey;

/// Assigns a compact key to each class of each team. Classes of the same name in two teams have
/// different keys, so that what is learned about a class is learned for each team separately.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassRegistry {
    classes: IndexSet<(TeamName, ClassName)>,
}

impl ClassRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of a team's class, and assigns one if the class has none. All classes from
    /// the 65,536th on share the key `u16::MAX`.
    pub fn get_or_insert(&mut self, team: &TeamName, class: &ClassName) -> ClassKey {
        let (index, _) = self.classes.insert_full((team.clone(), class.clone()));
        ClassKey(u16::try_from(index).unwrap_or(u16::MAX))
    }

    /// Returns the key of a team's class, or `None` if no key was assigned to it.
    pub fn get(&self, team: &TeamName, class: &ClassName) -> Option<ClassKey> {
        // The lookup needs an owned pair, because the set's elements are owned.
        let index = self.classes.get_index_of(&(team.clone(), class.clone()))?;
        u16::try_from(index).ok().map(ClassKey)
    }

    /// Returns the team and the class that a key stands for.
    pub fn name(&self, key: ClassKey) -> Option<&(TeamName, ClassName)> {
        self.classes.get_index(usize::from(key.0))
    }
}
