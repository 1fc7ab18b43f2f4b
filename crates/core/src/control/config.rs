//! Decoded form of the configuration slices that this node uses.

use std::collections::BTreeMap;
use std::sync::Arc;

use hornbeamhitch_wire::control::{ListedVm, SliceBytes, SliceName, decode_slice, encode_slice};

use super::api::CheckedText;
use super::document::{Document, Slice};
use crate::prelude::*;

/// A decoded value with the digest of its slice.
#[derive(Debug)]
struct Decoded<T> {
    digest: u64,
    value: Arc<T>,
}

/// Decoded policies in force.
#[derive(Debug, Default)]
pub(super) struct Config {
    deployment: Option<Decoded<DeploymentPolicy>>,
    names: Option<Decoded<Vec<ServiceName>>>,
    policies: BTreeMap<ServiceName, Decoded<ServicePolicy>>,
}

impl Config {
    /// Returns the deployment-wide policy, or its default before the first one is known.
    pub(super) fn deployment(&self) -> Arc<DeploymentPolicy> {
        match &self.deployment {
            Some(known) => Arc::clone(&known.value),
            None => Arc::default(),
        }
    }

    /// Returns the sorted names of all services. Empty before they are known.
    pub(super) fn names(&self) -> Arc<Vec<ServiceName>> {
        match &self.names {
            Some(known) => Arc::clone(&known.value),
            None => Arc::default(),
        }
    }

    /// Returns whether the configuration in force is known not to contain a service.
    pub(super) fn lacks(&self, service: &ServiceName) -> bool {
        match &self.names {
            Some(known) => known.value.binary_search(service).is_err(),
            None => false,
        }
    }

    /// Returns the policy of a tracked service.
    pub(super) fn policy(&self, service: &ServiceName) -> Option<&Arc<ServicePolicy>> {
        Some(&self.policies.get(service)?.value)
    }

    /// Decodes the changed slices of these services. A slice that cannot be decoded
    /// leaves the previous value in place.
    pub(super) fn refresh(&mut self, text: &Document, services: &[ServiceName]) {
        update(&mut self.deployment, text.slice(&SliceName::Deployment));
        update(&mut self.names, text.slice(&SliceName::ServiceNames));
        let mut policies = BTreeMap::new();
        for service in services {
            let Some(slice) = text.slice(&SliceName::Service(service.clone())) else {
                continue;
            };
            let mut known = self.policies.remove(service);
            update(&mut known, Some(slice));
            if let Some(known) = known {
                policies.insert(service.clone(), known);
            }
        }
        self.policies = policies;
    }
}

fn update<T: serde::de::DeserializeOwned>(known: &mut Option<Decoded<T>>, slice: Option<&Slice>) {
    let Some(slice) = slice else {
        return;
    };
    if known.as_ref().is_some_and(|old| old.digest == slice.digest) {
        return;
    }
    let Some(value) = decode_slice(&slice.bytes) else {
        return;
    };
    *known = Some(Decoded {
        digest: slice.digest,
        value: Arc::new(value),
    });
}

/// Splits a checked text into slices.
pub(super) fn slices_of_text(checked: &CheckedText) -> Vec<SliceBytes> {
    let mut names = Vec::with_capacity(checked.services.len());
    for policy in &checked.services {
        names.push(policy.service.clone());
    }
    names.sort();
    let mut slices = vec![
        SliceBytes {
            name: SliceName::Deployment,
            bytes: encode_slice(&checked.deployment),
        },
        SliceBytes {
            name: SliceName::ServiceNames,
            bytes: encode_slice(&names),
        },
    ];
    for policy in &checked.services {
        slices.push(SliceBytes {
            name: SliceName::Service(policy.service.clone()),
            bytes: encode_slice(policy),
        });
    }
    slices
}

/// Returns whether this build can decode a slice from a peer.
pub(super) fn is_valid_slice(part: &SliceBytes) -> bool {
    match &part.name {
        SliceName::Deployment => decode_slice::<DeploymentPolicy>(&part.bytes).is_some(),
        SliceName::ServiceNames => decode_slice::<Vec<ServiceName>>(&part.bytes).is_some(),
        SliceName::Service(_) => decode_slice::<ServicePolicy>(&part.bytes).is_some(),
        SliceName::Members(_) => decode_slice::<Vec<ListedVm>>(&part.bytes).is_some(),
    }
}
