//! Images as small integer keys: data about them is looked up by index many times in each plan.

use std::collections::BTreeMap;

/// Key of an image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Image(u32);

impl Image {
    /// Returns the index in tables by image.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The known images, by name and by key.
#[derive(Debug, Default)]
pub struct Images {
    keys: BTreeMap<String, Image>,
    names: Vec<String>,
}

impl Images {
    /// Returns the key of an image, and assigns one if the image is new.
    pub fn key(&mut self, name: &str) -> Image {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = Image(self.names.len() as u32);
        self.keys.insert(name.to_owned(), key);
        self.names.push(name.to_owned());
        key
    }

    /// Returns the name of an image.
    pub fn name(&self, image: Image) -> &str {
        &self.names[image.index()]
    }

    /// Returns the name of the image with that index.
    pub fn name_at(&self, index: usize) -> &str {
        &self.names[index]
    }
}
