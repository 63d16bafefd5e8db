//! Who the members are, by what several sources say of them: the platform's list, a registry, the boxes themselves.
//! Sources lag, contradict one another and lose things; this settles what counts, without I/O and without a clock of
//! its own. What outranks what is documented at [`RecordVersion`], and each case of it is tested.
//!
//! The one rule above all: **who was told to drain or to be gone stays so until something newer says otherwise.** A
//! repeat, a stale copy or another peer's older view is nothing newer.

use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, TimeDelta, Timestamp};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The most endpoints that are held. A registry whose deltas name ever new ones fills the memory no further; claims on
/// endpoints that are known already are merged as before.
pub const MAX_ENDPOINTS: usize = 100_000;

/// A source of claims, in the order in which the host numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u8);

/// The registry server that vouches for a record, and the lease under which it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordAuthority {
    /// The server, by number.
    pub server: usize,
    /// When the endpoint's lease began, by the server's clock.
    pub lease_started_ms: i64,
}

/// How new a claim is, by what the endpoint said itself and not by when the claim arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordVersion {
    /// When the endpoint last started, where the source tells. A later start outranks any change stamp.
    pub started_at: Option<Timestamp>,
    /// The stamp of the endpoint's last change of itself (Eureka's `lastDirtyTimestamp`, in its own unit), or the number
    /// of the message where a source's messages come in order.
    pub change_stamp: i64,
    /// Who vouches for the record. Of one start and one stamp, the record updated last is newer if both come from one
    /// authority; `None` is none.
    pub authority: Option<RecordAuthority>,
    /// When that authority last updated the record, by its own clock.
    pub updated_at_ms: i64,
}

/// How one version of a record compares to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// It describes something later.
    Newer,
    /// It describes the same.
    Same,
    /// It describes something earlier.
    Older,
}

impl RecordVersion {
    /// How `self` compares to `held`.
    #[must_use]
    pub fn compare(&self, held: &Self) -> VersionOrder {
        let starts = self.started_at.zip(held.started_at).map(|(new, old)| new.cmp(&old));
        let same_authority = self.authority.is_some() && self.authority == held.authority;
        let updates =
            if same_authority { self.updated_at_ms.cmp(&held.updated_at_ms) } else { Ordering::Equal };
        let stamps = self.change_stamp.cmp(&held.change_stamp);
        match starts.unwrap_or(Ordering::Equal).then(stamps).then(updates) {
            Ordering::Greater => VersionOrder::Newer,
            Ordering::Equal => VersionOrder::Same,
            Ordering::Less => VersionOrder::Older,
        }
    }
}

/// What a source says of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointClaim {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens; `None` where the source does not tell or could not be read.
    pub address: Option<SocketAddr>,
    /// Its replication group; `None` keeps the one that is known.
    pub group: Option<GroupId>,
    /// Its zone.
    pub zone: String,
    /// Whether the source believes it to be the primary.
    pub primary: bool,
    /// When it last started; `None` for long ago or not told.
    pub started_at: Option<Timestamp>,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// How new all this is.
    pub version: RecordVersion,
}

/// A change that a source reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// All that the source knows.
    Snapshot {
        /// The endpoints.
        claims: Vec<EndpointClaim>,
        /// How new the snapshot is, on the scale of [`RecordVersion::change_stamp`]: an endpoint with a later stamp
        /// that is absent was not known yet, and its absence means nothing.
        version: i64,
    },
    /// Some endpoints.
    Delta(Vec<EndpointClaim>),
}

/// When a snapshot that lacks endpoints is taken for a fault of its source rather than for a smaller fleet. Eureka
/// gives this name to the same precaution of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelfPreservation {
    /// The fraction of a source's active endpoints that one snapshot may lack and still be believed; at 1 only an
    /// empty snapshot is suspected, over 1 none is.
    pub max_missing_fraction: f64,
    /// A suspected loss that lasts this long is believed; `None` never.
    pub accept_after: Option<TimeDelta>,
}

impl SelfPreservation {
    /// Believes every snapshot, as the platform's endpoint list asks for.
    pub const DISABLED: Self = Self { max_missing_fraction: 2.0, accept_after: None };
}

/// A snapshot that was not believed, as it lacked too many active endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectedLoss {
    /// How many it lacked.
    pub missing: usize,
    /// Of so many.
    pub active: usize,
}

/// What a watch event changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeResult {
    /// The entries that differ from before, as the router takes them.
    pub changed: Vec<EndpointEntry>,
    /// Endpoints that were evicted.
    pub evicted: Vec<EndpointId>,
    /// Claims that were ignored since what is held is newer.
    pub stale_claims: usize,
    /// Of those, claims that would have brought back an endpoint that drains or was removed.
    pub rejected_revivals: usize,
    /// Claims of one registration with two addresses: two endpoints under one id.
    pub address_conflicts: usize,
    /// A snapshot that was not believed.
    pub suspected_loss: Option<SuspectedLoss>,
}

/// An endpoint as a host needs it, resolved from all sources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedEndpoint {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its lifecycle state, all sources taken together.
    pub lifecycle: Lifecycle,
    /// Its replication group.
    pub group: GroupId,
    /// Its zone.
    pub zone: String,
    /// Whether a source believes it to be the primary.
    pub primary: bool,
    /// When it last started.
    pub started_at: Option<Timestamp>,
}

/// What one source holds of one member.
#[derive(Clone, Debug)]
struct HeldClaim {
    claim: EndpointClaim,
    /// It went by not being named in a list this new. Only a newer view brings it back, or newer evidence.
    absent: Option<i64>,
    /// When this source last said so.
    since: Timestamp,
}

#[derive(Clone, Debug)]
struct Record {
    /// In the order of the sources. There are one or two, and a map would take up ten times their size.
    held: Vec<(SourceId, HeldClaim)>,
    known: ResolvedEndpoint,
    gone_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    doubt: SelfPreservation,
    /// Since when it has told the doubted story.
    doubted: Option<Timestamp>,
}

impl Record {
    fn of(&self, source: SourceId) -> Option<&HeldClaim> {
        self.held.iter().find(|(of, _)| *of == source).map(|(_, held)| held)
    }

    fn set(&mut self, source: SourceId, held: HeldClaim) {
        match self.held.binary_search_by_key(&source, |(of, _)| *of) {
            Ok(at) => self.held[at].1 = held,
            Err(at) => {
                self.held.reserve_exact(1);
                self.held.insert(at, (source, held));
            }
        }
    }
}

/// The members by what all sources say.
#[derive(Debug)]
pub struct Membership {
    sources: BTreeMap<SourceId, Source>,
    members: BTreeMap<EndpointId, Record>,
    /// Who is gone, by when; so that forgetting costs what it forgets.
    gone: BTreeSet<(Timestamp, EndpointId)>,
    remembers: TimeDelta,
    most_gone: usize,
}

impl Membership {
    /// An empty one. Who is gone is remembered for `remembers`, and no more than `most_gone` of them: a stale claim that
    /// comes later than that is taken for a new member.
    #[must_use]
    pub fn new(remembers: TimeDelta, most_gone: usize) -> Self {
        Self {
            sources: BTreeMap::new(),
            members: BTreeMap::new(),
            gone: BTreeSet::new(),
            remembers,
            most_gone,
        }
    }

    /// Says how a source's full lists are doubted. Without it all is believed.
    pub fn set_self_preservation(&mut self, source: SourceId, doubt: SelfPreservation) {
        self.sources.insert(source, Source { doubt, doubted: None });
    }

    /// A member that is known, gone ones included for as long as they are remembered.
    #[must_use]
    pub fn get(&self, member: &EndpointId) -> Option<&ResolvedEndpoint> {
        self.members.get(member).map(|record| &record.known)
    }

    /// All that are known, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &ResolvedEndpoint)> {
        self.members.iter().map(|(id, record)| (id, &record.known))
    }

    /// Takes what a source says. The cost goes with what it names, and for a full list with what is known.
    pub fn merge(&mut self, now: Timestamp, source: SourceId, news: WatchEvent) -> MergeResult {
        let mut taken = MergeResult::default();
        match news {
            WatchEvent::Delta(claims) => {
                for claim in claims {
                    self.claim(now, source, claim, None, &mut taken);
                }
            }
            WatchEvent::Snapshot { claims, version: view } => {
                let named: BTreeSet<EndpointId> = claims.iter().map(|claim| claim.endpoint.clone()).collect();
                let (missing, lost, in_service) = self.missing(source, &named, view);
                let sick = self.sick(now, source, lost, in_service, named.is_empty());
                for claim in claims {
                    self.claim(now, source, claim, Some(view), &mut taken);
                }
                if sick {
                    taken.suspected_loss = Some(SuspectedLoss { missing: lost, active: in_service });
                } else {
                    for member in missing {
                        self.absent(now, source, member, view, &mut taken);
                    }
                }
            }
        }
        self.forget(now, &mut taken);
        taken
    }

    /// Those that a list of this view should have named and did not; how many of them are in service by this source's
    /// word, and how many members are.
    fn missing(
        &self,
        source: SourceId,
        named: &BTreeSet<EndpointId>,
        view: i64,
    ) -> (Vec<EndpointId>, usize, usize) {
        let (mut missing, mut lost, mut in_service) = (Vec::new(), 0, 0);
        for (id, record) in &self.members {
            let Some(held) = record.of(source) else { continue };
            if held.claim.lifecycle == Lifecycle::Removed {
                continue;
            }
            let serves = usize::from(held.claim.lifecycle == Lifecycle::Active);
            in_service += serves;
            if !named.contains(id) && held.claim.version.change_stamp <= view {
                lost += serves;
                missing.push(id.clone());
            }
        }
        (missing, lost, in_service)
    }

    fn sick(
        &mut self,
        now: Timestamp,
        source: SourceId,
        lost: usize,
        in_service: usize,
        empty: bool,
    ) -> bool {
        let Some(of) = self.sources.get_mut(&source) else { return false };
        // What has begun to be doubted is doubted until all are named again: a registry that lost its memory fills up
        // one by one, and at some point lacks few enough.
        let share = if of.doubted.is_some() { 0.0 } else { of.doubt.max_missing_fraction };
        let lost = lost > 0 && lost as f64 > share * in_service as f64;
        let nothing = empty && in_service > 0 && of.doubt.max_missing_fraction <= 1.0;
        if !(lost || nothing) {
            of.doubted = None;
            return false;
        }
        let since = *of.doubted.get_or_insert(now);
        let believed = of.doubt.accept_after.is_some_and(|after| now - since >= after);
        if believed {
            of.doubted = None;
        }
        !believed
    }

    fn claim(
        &mut self,
        now: Timestamp,
        source: SourceId,
        mut claim: EndpointClaim,
        view: Option<i64>,
        taken: &mut MergeResult,
    ) {
        let held = self.members.get(&claim.endpoint).and_then(|record| record.of(source));
        if let Some(held) = held {
            let moved = claim.address.zip(held.claim.address).is_some_and(|(new, old)| new != old);
            let worse = rank(claim.lifecycle) > rank(held.claim.lifecycle);
            let better = rank(claim.lifecycle) < rank(held.claim.lifecycle);
            let back = held.absent.zip(view).is_some_and(|(absent, view)| view > absent);
            let counts = match claim.version.compare(&held.claim.version) {
                VersionOrder::Newer => true,
                // The same registration: it may only get worse, but for one that was merely not named.
                VersionOrder::Same => !better || back,
                VersionOrder::Older => false,
            };
            if !counts {
                taken.stale_claims += 1;
                taken.rejected_revivals += usize::from(better);
                return;
            }
            // Two members under one id, as far as can be seen: the one that was there first stays.
            if moved && claim.version.compare(&held.claim.version) == VersionOrder::Same {
                taken.address_conflicts += 1;
                if !worse {
                    return;
                }
                claim.address = held.claim.address;
            }
            claim.address = claim.address.or(held.claim.address);
            claim.group = claim.group.or(held.claim.group);
        }
        if self.members.len() >= MAX_ENDPOINTS && !self.members.contains_key(&claim.endpoint) {
            taken.stale_claims += 1;
            return;
        }
        let member = claim.endpoint.clone();
        self.hold(now, source, member, HeldClaim { claim, absent: None, since: now }, taken);
    }

    fn absent(
        &mut self,
        now: Timestamp,
        source: SourceId,
        member: EndpointId,
        view: i64,
        taken: &mut MergeResult,
    ) {
        let held = self.members.get(&member).and_then(|record| record.of(source));
        if let Some(mut held) = held.cloned() {
            held.claim.lifecycle = Lifecycle::Removed;
            (held.absent, held.since) = (Some(view), now);
            self.hold(now, source, member, held, taken);
        }
    }

    /// Holds what a source says, and tells if all sources taken together now say something else than before.
    fn hold(
        &mut self,
        now: Timestamp,
        source: SourceId,
        member: EndpointId,
        held: HeldClaim,
        taken: &mut MergeResult,
    ) {
        let entry = self.members.entry(member.clone());
        let new = matches!(entry, std::collections::btree_map::Entry::Vacant(_));
        let record = entry.or_insert_with(|| Record {
            held: Vec::new(),
            known: ResolvedEndpoint::default(),
            gone_since: None,
        });
        record.set(source, held);
        let known = combine(&record.held);
        match (record.gone_since, known.lifecycle == Lifecycle::Removed) {
            (None, true) => {
                record.gone_since = Some(now);
                self.gone.insert((now, member.clone()));
            }
            (Some(since), false) => {
                record.gone_since = None;
                self.gone.remove(&(since, member.clone()));
            }
            _ => {}
        }
        if new || record.known != known {
            let ResolvedEndpoint { lifecycle: state, group, zone, primary, started_at: started, .. } =
                known.clone();
            taken.changed.push(EndpointEntry {
                endpoint: member,
                group,
                lifecycle: state,
                primary,
                started_at: started,
                zone,
            });
            record.known = known;
        }
    }

    fn forget(&mut self, now: Timestamp, taken: &mut MergeResult) {
        while let Some((since, _)) = self.gone.first() {
            if now - *since < self.remembers && self.gone.len() <= self.most_gone {
                return;
            }
            if let Some((_, member)) = self.gone.pop_first() {
                self.members.remove(&member);
                taken.evicted.push(member);
            }
        }
    }
}

/// What all sources say of a member, taken together. The worst of them counts, unless another source shows a start
/// after it: who started anew is not who drained. What only one tells comes from the first source that tells it.
fn combine(held: &[(SourceId, HeldClaim)]) -> ResolvedEndpoint {
    let all = || held.iter().map(|(_, held)| held);
    let shown = |than: &HeldClaim| {
        let after = than.claim.started_at.unwrap_or(than.since);
        all().any(|one| one.claim.lifecycle == Lifecycle::Active && one.claim.started_at > Some(after))
    };
    let counted = || all().filter(|one| one.claim.lifecycle == Lifecycle::Active || !shown(one));
    let state = counted()
        .map(|one| one.claim.lifecycle)
        .max_by_key(|state| rank(*state))
        .unwrap_or(Lifecycle::Removed);
    ResolvedEndpoint {
        address: counted().find_map(|one| one.claim.address).or(all().find_map(|one| one.claim.address)),
        lifecycle: state,
        group: all().find_map(|one| one.claim.group).unwrap_or_default(),
        zone: all().map(|one| &one.claim.zone).find(|zone| !zone.is_empty()).cloned().unwrap_or_default(),
        primary: counted().any(|one| one.claim.primary),
        started_at: all().filter_map(|one| one.claim.started_at).max(),
    }
}

/// The more, the more care a state asks for.
fn rank(state: Lifecycle) -> u8 {
    match state {
        Lifecycle::Active => 0,
        Lifecycle::Draining => 1,
        Lifecycle::Removed => 2,
    }
}
