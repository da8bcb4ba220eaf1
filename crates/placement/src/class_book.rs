//! The classes of all teams.

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

/// The classes of all teams: what is learned of a class is learned for each team by itself.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassBook {
    classes: IndexSet<(TeamName, ClassName)>,
}

impl ClassBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of a team's class.
    pub fn key(&mut self, team: &TeamName, class: &ClassName) -> ClassKey {
        let (index, _) = self.classes.insert_full((team.clone(), class.clone()));
        ClassKey(u16::try_from(index).unwrap_or(u16::MAX))
    }

    /// Returns the key of a team's class that was asked for before.
    pub fn find(&self, team: &TeamName, class: &ClassName) -> Option<ClassKey> {
        // The pair is cloned: the set's key is owned.
        let index = self.classes.get_index_of(&(team.clone(), class.clone()))?;
        u16::try_from(index).ok().map(ClassKey)
    }

    /// Returns the class of a key.
    pub fn name(&self, key: ClassKey) -> Option<&(TeamName, ClassName)> {
        self.classes.get_index(usize::from(key.0))
    }
}
