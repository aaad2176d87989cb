//! Packing of models into targets: feasibility check for edits, and layout of the static
//! baseline.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ModelName, TargetName};
use crate::table::site::{ModelKind, SiteSpec, TargetSpec};

/// Assignment of one home to each model.
pub type Layout = BTreeMap<ModelName, TargetName>;

/// Assigns one home to each wanted model, and to the base of each wanted adapter.
///
/// First-fit decreasing over families (a base model with its adapters), leaving out the site's
/// largest targets as spares. Returns the first model that did not fit. The worst-case cost is
/// models × targets.
pub fn pack<'a>(
    site: &'a SiteSpec,
    wanted: impl Iterator<Item = &'a ModelName>,
) -> Result<Layout, ModelName> {
    let targets = site.targets.iter();
    let mut bins = bins(targets.filter(|(_, spec)| spec.memory_mib > 0));
    bins.drain(..site.spare_targets.min(bins.len()));
    pack_into(site, bins, wanted)
}

/// Like [`pack`], but only into the given targets and without spares.
pub fn pack_live<'a>(
    site: &'a SiteSpec,
    live: impl Iterator<Item = &'a TargetName>,
    wanted: impl Iterator<Item = &'a ModelName>,
) -> Result<Layout, ModelName> {
    let targets = live.filter_map(|target| site.targets.get_key_value(target));
    pack_into(site, bins(targets), wanted)
}

fn pack_into<'a>(
    site: &'a SiteSpec,
    mut bins: Vec<Bin<'a>>,
    wanted: impl Iterator<Item = &'a ModelName>,
) -> Result<Layout, ModelName> {
    let mut families = families(site, wanted)?;
    families.sort_by(|a, b| b.mib.cmp(&a.mib).then(a.base.cmp(b.base)));
    let mut layout = Layout::new();
    for family in &families {
        let fits = bins.iter_mut().find(|bin| bin.free_mib >= family.mib);
        match fits {
            Some(bin) => {
                bin.free_mib -= family.mib;
                for model in &family.members {
                    layout.insert((*model).clone(), bin.target.clone());
                }
            }
            None => return Err(family.base.clone()),
        }
    }
    Ok(layout)
}

/// Returns the models that must be resident: the wanted ones, and the bases of wanted adapters.
pub fn resident_set<'a>(
    site: &'a SiteSpec,
    wanted: impl Iterator<Item = &'a ModelName>,
) -> BTreeSet<&'a ModelName> {
    let mut set = BTreeSet::new();
    for model in wanted {
        match site.models.get(model).map(|spec| &spec.kind) {
            Some(ModelKind::Base) => {
                set.insert(model);
            }
            Some(ModelKind::Adapter(base)) => {
                set.insert(model);
                set.insert(base);
            }
            Some(ModelKind::Service(_)) | None => {}
        }
    }
    set
}

struct Family<'a> {
    base: &'a ModelName,
    members: BTreeSet<&'a ModelName>,
    mib: u64,
}

struct Bin<'a> {
    target: &'a TargetName,
    free_mib: u64,
}

fn families<'a>(
    site: &'a SiteSpec,
    wanted: impl Iterator<Item = &'a ModelName>,
) -> Result<Vec<Family<'a>>, ModelName> {
    let mut families: BTreeMap<&ModelName, Family<'a>> = BTreeMap::new();
    for model in wanted {
        let spec = site.models.get(model).ok_or_else(|| model.clone())?;
        let base = match &spec.kind {
            ModelKind::Base => model,
            ModelKind::Adapter(base) => base,
            ModelKind::Service(_) => continue,
        };
        let base_spec = site.models.get(base).ok_or_else(|| base.clone())?;
        let family = families.entry(base).or_insert_with(|| Family {
            base,
            members: BTreeSet::from([base]),
            mib: base_spec.weights_mib,
        });
        if family.members.insert(model) {
            family.mib += spec.weights_mib;
        }
    }
    Ok(families.into_values().collect())
}

/// Returns the bins by free memory, largest first.
fn bins<'a>(targets: impl Iterator<Item = (&'a TargetName, &'a TargetSpec)>) -> Vec<Bin<'a>> {
    let mut bins: Vec<Bin<'_>> = targets
        .map(|(target, spec)| Bin {
            target,
            free_mib: spec.weights_capacity_mib(),
        })
        .collect();
    bins.sort_by(|a, b| b.free_mib.cmp(&a.free_mib).then(a.target.cmp(b.target)));
    bins
}
