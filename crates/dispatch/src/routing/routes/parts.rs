//! Splits a configuration into parts that nodes fetch from each other by their digests.
//!
//! Consecutive versions usually differ in a few routes. A node that knows one of them
//! needs only the parts that differ, and checks each part by its digest, whichever node
//! sent it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use super::{CallerLimits, Route, RouteSet};
use crate::gate::warm_up::WarmUp;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Maximum number of parts that a manifest may name.
const MAX_PARTS: usize = 4_096;

/// Version of a configuration, and the digests of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesManifest {
    version: u64,
    /// Digest of the common part, then those of the routes.
    parts: Vec<PartDigest>,
}

impl RoutesManifest {
    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Encodes the manifest, so that it can be fetched by its digest like a part.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest cannot be encoded.
    pub fn encode(&self) -> Result<Bytes, PartFault> {
        Ok(Bytes::from(postcard::to_stdvec(self)?))
    }

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a manifest.
    pub fn decode(encoded: &[u8]) -> Result<Self, PartFault> {
        Ok(postcard::from_bytes(encoded)?)
    }

    /// Returns the digests of all parts.
    #[must_use]
    pub fn parts(&self) -> &[PartDigest] {
        &self.parts
    }
}

/// Why parts do not form a configuration.
#[derive(Debug, thiserror::Error)]
pub enum PartFault {
    /// The manifest names no part, or too many.
    #[error("a configuration of {0} parts")]
    Count(usize),
    /// A part that the manifest names is not known.
    #[error("the part {0} is missing")]
    Missing(PartDigest),
    /// A part cannot be decoded.
    #[error("a part is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The common part is not the first one.
    #[error("the common part is not the first part")]
    Order,
}

/// Content of a part.
#[derive(Serialize, Deserialize)]
enum Part {
    /// What a configuration says besides its routes.
    Common {
        limits: CallerLimits,
        health_paths: BTreeMap<ServiceName, String>,
        warm_ups: BTreeMap<ServiceName, WarmUp>,
    },
    /// Routes with their hosts, in the order of hosts and prefixes.
    Routes(Vec<(String, Arc<Route>)>),
}

/// A configuration in parts.
#[derive(Clone, Debug)]
pub struct RouteParts {
    /// Names the parts.
    pub manifest: RoutesManifest,
    /// Encoded parts by digest.
    pub parts: HashMap<PartDigest, Bytes>,
}

/// Returns the digest of an encoded part.
#[must_use]
pub fn digest(encoded: &[u8]) -> PartDigest {
    PartDigest::new(xxh3_128(encoded))
}

/// Splits a configuration into parts.
///
/// Both the number of parts and their size grow with the square root of the number of
/// routes, so that neither the manifest nor the part of a changed route becomes large.
///
/// # Errors
///
/// Returns an error if a part cannot be encoded.
pub fn split(routes: &RouteSet) -> Result<RouteParts, PartFault> {
    let mut sorted: Vec<(&String, &Arc<Route>)> = Vec::new();
    for (host, of_host) in &routes.hosts {
        sorted.extend(of_host.iter().map(|route| (host, route)));
    }
    // The sort is stable: of two routes with the same prefix, the first one counts.
    sorted.sort_by(|(host, route), (other_host, other)| {
        (host, &route.prefix).cmp(&(other_host, &other.prefix))
    });
    let count = bucket_count(sorted.len());
    let mut buckets: Vec<Vec<(String, Arc<Route>)>> = vec![Vec::new(); count];
    for (host, route) in sorted {
        let bucket = &mut buckets[bucket_of(host, &route.prefix, count)];
        bucket.push((host.clone(), Arc::clone(route)));
    }
    let common = Part::Common {
        limits: routes.limits,
        health_paths: routes.health_paths.clone().into_iter().collect(),
        warm_ups: routes.warm_ups.clone().into_iter().collect(),
    };
    let mut manifest = RoutesManifest {
        version: routes.version,
        parts: Vec::with_capacity(count + 1),
    };
    let mut parts = HashMap::with_capacity(count + 1);
    for part in std::iter::once(common).chain(buckets.into_iter().map(Part::Routes)) {
        let encoded = Bytes::from(postcard::to_stdvec(&part)?);
        let digest = digest(&encoded);
        manifest.parts.push(digest);
        parts.insert(digest, encoded);
    }
    Ok(RouteParts { manifest, parts })
}

/// Joins the parts that a manifest names.
///
/// # Errors
///
/// Returns an error if a part is missing or malformed; nothing is lost then, since the
/// configuration in force stays as it is.
pub fn join(
    manifest: &RoutesManifest,
    parts: &HashMap<PartDigest, Bytes>,
) -> Result<RouteSet, PartFault> {
    let count = manifest.parts.len();
    if !(1..=MAX_PARTS).contains(&count) {
        return Err(PartFault::Count(count));
    }
    let mut routes = RouteSet::default();
    for (index, digest) in manifest.parts.iter().enumerate() {
        let encoded = parts.get(digest).ok_or(PartFault::Missing(*digest))?;
        match (postcard::from_bytes(encoded)?, index) {
            (
                Part::Common {
                    limits,
                    health_paths,
                    warm_ups,
                },
                0,
            ) => {
                routes = RouteSet::new(manifest.version, limits);
                routes.health_paths = health_paths.into_iter().collect();
                routes.warm_ups = warm_ups.into_iter().collect();
            }
            (Part::Routes(of_bucket), 1..) => {
                for (host, route) in of_bucket {
                    routes.hosts.entry(host).or_default().push(route);
                }
            }
            _ => return Err(PartFault::Order),
        }
    }
    for of_host in routes.hosts.values_mut() {
        super::sort(of_host);
    }
    Ok(routes)
}

/// Result of looking up a route among some of the parts of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartLookup {
    /// The route that the whole configuration has for the request.
    Found(Arc<Route>),
    /// The whole configuration has no route for the request.
    NoRoute,
    /// This part is missing or malformed, and may contain the route.
    Missing(PartDigest),
    /// The manifest is malformed.
    Unknown,
}

/// Returns the route with the longest prefix of a path, as [`RouteSet::find`] does with the
/// whole configuration, from those parts that may contain it.
#[must_use]
pub fn find(
    manifest: &RoutesManifest,
    parts: &HashMap<PartDigest, Bytes>,
    host: &str,
    path: &str,
) -> PartLookup {
    let Some((_, buckets @ [_, ..])) = manifest.parts.split_first() else {
        return PartLookup::Unknown;
    };
    let host = super::host_name(host).to_ascii_lowercase();
    // A prefix ends with a slash. Longer ones first: the first that has a route decides.
    for (index, _) in path.rmatch_indices('/') {
        let prefix = &path[..=index];
        let digest = buckets[bucket_of(&host, prefix, buckets.len())];
        let decoded = parts.get(&digest).map(|part| postcard::from_bytes(part));
        let Some(Ok(Part::Routes(routes))) = decoded else {
            return PartLookup::Missing(digest);
        };
        for (of_host, route) in routes {
            if of_host == host && route.prefix == prefix {
                return PartLookup::Found(route);
            }
        }
    }
    PartLookup::NoRoute
}

/// Returns the number of parts for this many routes: a power of two, so that it rarely
/// changes between versions.
const fn bucket_count(routes: usize) -> usize {
    let count = (routes * 4).isqrt().next_power_of_two();
    if count < MAX_PARTS {
        count
    } else {
        MAX_PARTS / 2
    }
}

fn bucket_of(host: &str, prefix: &str, count: usize) -> usize {
    let mut hasher = Xxh3::new();
    hasher.update(host.as_bytes());
    // No host contains this byte.
    hasher.update(&[0]);
    hasher.update(prefix.as_bytes());
    (hasher.digest() % count as u64) as usize
}
