//! State machines that are loaded from chart files and interpreted.
//!
//! A chart lists the effect of each event in every state: a transition to another state, or none. Loading
//! a chart checks that every state and event exists in the code, that each state handles or ignores every
//! event, and that every state is reachable. The files are in `charts/`; docs/DESIGN.md, "State charts",
//! gives the reasons.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::marker::PhantomData;

/// A state or an event of a chart: an enum with stable names.
pub trait Symbol: Copy + Eq + 'static {
    /// Every value, in the order of [`Symbol::index`].
    const ALL: &'static [Self];
    /// The name in the chart file.
    fn name(self) -> &'static str;
    /// The position in [`Symbol::ALL`].
    fn index(self) -> usize;
}

/// Declares a [`Symbol`] enum with its names.
macro_rules! symbol {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
        pub enum $name { $($(#[$vdoc])* $variant,)* }

        impl $crate::chart::Symbol for $name {
            const ALL: &'static [Self] = &[$(Self::$variant,)*];
            fn name(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
pub(crate) use symbol;

/// Why a chart file is invalid.
#[derive(Debug, displaydoc::Display)]
pub enum ChartError {
    /// chart {chart}: cannot be parsed: {cause}
    Syntax {
        /// The chart's name.
        chart: &'static str,
        /// The error message of the parser.
        cause: String,
    },
    /// chart {chart}: unknown state or event "{name}"
    Unknown {
        /// The chart's name.
        chart: &'static str,
        /// The name that the code does not define.
        name: String,
    },
    /// chart {chart}: state "{state}" neither handles nor ignores event "{event}"
    Unhandled {
        /// The chart's name.
        chart: &'static str,
        /// The state.
        state: &'static str,
        /// The event that is neither handled nor ignored.
        event: &'static str,
    },
    /// chart {chart}: state "{state}" both handles and ignores event "{event}"
    Ambiguous {
        /// The chart's name.
        chart: &'static str,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// chart {chart}: state "{state}" is unreachable
    Unreachable {
        /// The chart's name.
        chart: &'static str,
        /// The state.
        state: &'static str,
    },
}

impl std::error::Error for ChartError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    #[serde(rename = "about")]
    _about: String,
    initial: String,
    states: BTreeMap<String, StateFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    #[serde(default)]
    on: BTreeMap<String, String>,
    #[serde(default)]
    ignore: Vec<String>,
}

/// A validated chart over the states `S` and the events `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    name: &'static str,
    initial: S,
    table: Vec<Option<S>>,
    events: PhantomData<E>,
}

impl<S: Symbol, E: Symbol> Chart<S, E> {
    /// Parses and validates the chart `name` from the text of its file.
    ///
    /// # Errors
    /// The first problem found in the file; see [`ChartError`].
    pub fn load(name: &'static str, text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = serde_json::from_str(text).map_err(|error| ChartError::Syntax {
            chart: name,
            cause: error.to_string(),
        })?;
        let initial = find::<S>(name, &file.initial)?;
        let mut specified = vec![false; S::ALL.len() * E::ALL.len()];
        let mut table = vec![None; specified.len()];
        for (state_name, state_file) in &file.states {
            let state = find::<S>(name, state_name)?;
            for (event_name, next_name) in &state_file.on {
                let index = state.index() * E::ALL.len() + find::<E>(name, event_name)?.index();
                table[index] = Some(find::<S>(name, next_name)?);
                specified[index] = true;
            }
            for event_name in &state_file.ignore {
                let index = state.index() * E::ALL.len() + find::<E>(name, event_name)?.index();
                if specified[index] {
                    let (state, event) = (state_name.clone(), event_name.clone());
                    return Err(ChartError::Ambiguous {
                        chart: name,
                        state,
                        event,
                    });
                }
                specified[index] = true;
            }
        }
        let chart = Self {
            name,
            initial,
            table,
            events: PhantomData,
        };
        chart.check_handled(&specified)?;
        chart.check_reachable()?;
        Ok(chart)
    }

    /// The initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state that `event` leads to from `state`; `None` if `state` ignores the event.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table[state.index() * E::ALL.len() + event.index()]
    }

    /// Applies `event` to `state`; returns false if the chart ignores the event in that state.
    pub fn step(&self, state: &mut S, event: E) -> bool {
        let next = self.next(*state, event);
        if let Some(next) = next {
            *state = next;
        }
        next.is_some()
    }

    fn check_handled(&self, specified: &[bool]) -> Result<(), ChartError> {
        for &state in S::ALL {
            for &event in E::ALL {
                if !specified[state.index() * E::ALL.len() + event.index()] {
                    let (state, event) = (state.name(), event.name());
                    return Err(ChartError::Unhandled {
                        chart: self.name,
                        state,
                        event,
                    });
                }
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = vec![false; S::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            pending.extend(E::ALL.iter().filter_map(|&event| self.next(state, event)));
        }
        match S::ALL.iter().find(|state| !reached[state.index()]) {
            Some(state) => Err(ChartError::Unreachable {
                chart: self.name,
                state: state.name(),
            }),
            None => Ok(()),
        }
    }
}

fn find<T: Symbol>(chart: &'static str, name: &str) -> Result<T, ChartError> {
    let known = T::ALL.iter().copied().find(|symbol| symbol.name() == name);
    known.ok_or_else(|| ChartError::Unknown {
        chart,
        name: name.to_owned(),
    })
}
