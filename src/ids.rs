//! Ids, each a type of its own, and times in whole tenths of a millisecond.

use std::ops::{Add, Sub};

macro_rules! ids {
    ($($name:ident($inner:ty)),* $(,)?) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    OpId(u32),
    UpstreamId(u32),
    PushNo(u16),
    AlarmId(u64),
    KindId(u16),
    ZoneId(u16),
    CellId(u16),
    CategoryId(u16),
    TenantId(u16),
    Key(u64),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct At(pub i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Span {
    pub const ZERO: Span = Span(0);

    pub fn from_secs(secs: f64) -> Span {
        Span((secs * 1e4).round() as i64)
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e4
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}

impl At {
    pub fn from_secs(secs: f64) -> At {
        At(Span::from_secs(secs).0)
    }

    pub fn secs(self) -> f64 {
        Span(self.0).secs()
    }
}

impl Add<Span> for At {
    type Output = At;

    fn add(self, span: Span) -> At {
        At(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for At {
    type Output = At;

    fn sub(self, span: Span) -> At {
        At(self.0.saturating_sub(span.0))
    }
}

impl Sub<At> for At {
    type Output = Span;

    fn sub(self, earlier: At) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
