//! One event of a streamed completion. The deserializer is written by hand for speed, since there
//! is one event for each token.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use smol_str::SmolStr;

/// The fields of an event that the proxy needs, from its first choice. Everything else is skipped.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chunk {
    /// The ID of the request that the event belongs to, if the engine sends it.
    pub id: Option<SmolStr>,
    /// The text.
    pub text: SmolStr,
    /// The index of the token in the answer, if the engine sends it.
    pub offset: Option<u64>,
    /// The finish reason.
    pub finish_reason: Option<SmolStr>,
}

impl<'de> Deserialize<'de> for Chunk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EventVisitor)
    }
}

struct EventVisitor;

impl<'de> Visitor<'de> for EventVisitor {
    type Value = Chunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event with choices")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Chunk, A::Error> {
        let mut chunk: Option<Chunk> = None;
        let mut id = None;
        while let Some(key) = map.next_key::<SmolStr>()? {
            match key.as_str() {
                "choices" => chunk = map.next_value::<Choices>()?.0,
                "id" => id = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        chunk
            .map(|chunk| Chunk { id, ..chunk })
            .ok_or_else(|| serde::de::Error::custom("no choice"))
    }
}

struct Choices(Option<Chunk>);

impl<'de> Deserialize<'de> for Choices {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = Choices;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Choices, A::Error> {
        let first = seq.next_element::<Choice>()?.map(|choice| choice.0);
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Choices(first))
    }
}

struct Choice(Chunk);

impl<'de> Deserialize<'de> for Choice {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = Choice;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice, A::Error> {
        let mut chunk = Chunk::default();
        while let Some(key) = map.next_key::<SmolStr>()? {
            match key.as_str() {
                "text" => chunk.text = map.next_value()?,
                "offset" => chunk.offset = map.next_value()?,
                "finish_reason" => chunk.finish_reason = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Choice(chunk))
    }
}
