//! A router that the simulator runs, and the names of its request classes and tenants.

use pooler_routing::{ClassId, Router, Settings, TenantId};
use std::collections::HashMap;

/// A router with its settings, and the lookup tables for the class and tenant names in its messages.
pub(crate) struct Instance {
    pub(crate) router: Router,
    pub(crate) settings: Settings,
    class_by_name: HashMap<String, ClassId>,
    tenant_by_name: HashMap<String, TenantId>,
}

impl Instance {
    pub(crate) fn new(seed: u64, settings: Settings) -> Self {
        let class_names = settings.classes.iter().map(|class| class.name.clone());
        let tenant_names = settings.tenants.iter().map(|tenant| tenant.name.clone());
        Self {
            router: Router::new(seed, settings.clone()),
            class_by_name: class_names.zip((0..).map(ClassId)).collect(),
            tenant_by_name: tenant_names.zip((0..).map(TenantId)).collect(),
            settings,
        }
    }

    pub(crate) fn class(&self, name: &str) -> Option<ClassId> {
        self.class_by_name.get(name).copied()
    }

    pub(crate) fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenant_by_name.get(name).copied()
    }
}
