//! Names, from the settings, of the items that the decision module identifies by index.

use super::raw::{RawNamed, RawNames};
use serde::Deserialize;

/// Names from the settings, each list in index order.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(from = "RawNames")]
pub struct Names {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the hardware models.
    pub hardware_models: Vec<String>,
    /// Fields of a load report.
    pub report_fields: Vec<String>,
}

impl From<RawNames> for Names {
    fn from(raw: RawNames) -> Self {
        let names = |named: Vec<RawNamed>| named.into_iter().map(|raw| raw.name).collect();
        Names {
            classes: names(raw.classes),
            tenants: names(raw.tenants),
            zones: raw.zones,
            hardware_models: raw.flavors,
            report_fields: raw.report.fields,
        }
    }
}
