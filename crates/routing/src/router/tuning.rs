//! The tuned values of the decisions.

use crate::TimeDelta;

/// A member is valid while its load is under this multiple of the pool's mean; 1.0 tried, no difference.
pub(super) const THRESHOLD: f64 = 1.2;
/// How many members after the first pick are looked at (the paper's m); 4 tried, no difference.
pub(super) const FORWARD: usize = 2;
/// How often held requests are looked over, and how late a wake tells of an own stall, not of members.
pub(super) const SWEEP: TimeDelta = TimeDelta::from_millis(10);
pub(super) const STALL: TimeDelta = TimeDelta::from_millis(60);
/// How long a refused read or a lag counts against a member, and after how long an old report is news.
pub(super) const LAG_MEMORY: TimeDelta = TimeDelta::from_millis(1_000);
pub(super) const REPORT_AGE: TimeDelta = TimeDelta::from_millis(500);
/// How soon a replica that may be fit by now is asked again (reads come within a second of own writes), and
/// how long a fresh router waits for the word of the listed primary.
pub(super) const ASK_AGAIN_SOON: TimeDelta = TimeDelta::from_millis(100);
pub(super) const SEEK_LISTED: TimeDelta = TimeDelta::from_millis(250);
/// What questions for positions may cost, in points of the result, and how many may be saved up.
pub(super) const ASKS_PRICE: f64 = 0.02;
pub(super) const ASKS_MOST: f64 = 10.0;
/// An attempt is overdue after the mean of its class's answers and this many deviations, but not before a
/// part of the aim: a short guess doubles the work. A member is silent after so many times that; 1 tried.
pub(super) const OVERDUE: f64 = 4.0;
pub(super) const LEAST_PATIENCE: f64 = 0.3;
pub(super) const SILENCE: f64 = 2.0;
/// Deviations above the mean that a read must have left to be worth sending: of what waited and, from this
/// crowding (0.35 lost 0.02), of part of the new: of all, no answer would show that the crowd has gone.
pub(super) const SURE: f64 = 3.0;
pub(super) const HOPELESS_CROWD: f64 = 0.525;
pub(super) const HOPELESS_NEW: f64 = 0.8;
/// The part of its time that a read waits for a member; refused later, its client has no time to come back.
pub(super) const HELD: f64 = 0.4;
/// Illness (0 well, 1 dead): where ejection starts, the part of the way to 1 that failures add, and what an
/// answer leaves of it. The first ejection is doubled each time, up to the longest.
pub(super) const EJECTED_AT: f64 = 0.6;
pub(super) const LOST_ANSWER: f64 = 0.3;
pub(super) const NO_CONNECTION: f64 = 0.7;
pub(super) const ERROR_BESIDE_ANSWER: f64 = 0.4;
pub(super) const HEALING: f64 = 0.8;
pub(super) const EJECTION: TimeDelta = TimeDelta::from_millis(250);
pub(super) const LONGEST_EJECTION: TimeDelta = TimeDelta::from_millis(4_000);
pub(super) const MOST_DOUBLINGS: u32 = 5;
/// A request that this many members answered with an error is at fault itself; it harms no member.
pub(super) const FUTILE_ERRORS: usize = 2;
/// Concurrency limit at a member: the first (of all routers) and the least for one, what crowding leaves, the
/// part in use from which it grows, the most that it grows by, and the part of a primary's that reads fill.
pub(super) const FIRST_LIMIT: f64 = 16.0;
pub(super) const LEAST_FIRST_LIMIT: f64 = 1.5;
pub(super) const LEAST_LIMIT: f64 = 1.0;
pub(super) const LIMIT_CUT: f64 = 0.7;
pub(super) const LIMIT_USED: f64 = 0.7;
pub(super) const LIMIT_GROWTH: f64 = 0.5;
pub(super) const PRIMARY_SHARE: f64 = 0.5;
/// The same where members check their reads and all replicas lag.
pub(super) const LAGGING_SHARE: f64 = 0.8;
/// The part of the aim within which an answer comes from a member that is not crowded; 0.6 tried.
pub(super) const IN_GOOD_TIME: f64 = 0.4;
/// Crowding, the share of answers not in good time: where shedding starts and is complete, an idle fleet's,
/// how many answers a prior counts for, and how much less the primary's must be for reads to spill over.
pub(super) const CROWDED: f64 = 0.35;
pub(super) const JAMMED: f64 = 0.7;
pub(super) const CROWD_IDLE: f64 = 0.2;
pub(super) const CROWD_PRIOR: f64 = 3.0;
pub(super) const SPILL_OVER: f64 = 0.2;
/// The microseconds whose cold budget may be saved up, the least that a router's life counts as, and what
/// members can, as a multiple of what they serve while there is no jam: how busy they are nobody tells.
pub(super) const COLD_BURST: f64 = 1e5;
pub(super) const LEAST_LIFE: f64 = 3e6;
pub(super) const SPARE: f64 = 1.2;
/// What all routers together may send a cold member in one window, though they know nothing of what it can:
/// the budget has room for three, and without any nothing would be answered from which to tell.
pub(super) const LEAST_COLD_CALLS: f64 = 1.5;
/// Second tries that each request brings to the retry budget, and the most that it holds.
pub(super) const RETRY_GAIN: f64 = 0.1;
pub(super) const RETRY_MOST: f64 = 10.0;
/// The first guess of a class's pace in parts of its aim (less timed out a tenth of a quiet day), the answers
/// it counts for, and how many the pace remembers.
pub(super) const PACE_MEAN: f64 = 0.25;
pub(super) const PACE_DEV: f64 = 0.125;
pub(super) const PACE_PRIOR: f64 = 4.0;
pub(super) const PACE_MEMORY: f64 = 33.0;
/// Load: what slowness keeps with an answer, its bounds, what an attempt out at most and illness count.
pub(super) const SLOW_KEEPS: f64 = 0.9;
pub(super) const QUICKEST: f64 = 0.3;
pub(super) const SLOWEST: f64 = 10.0;
pub(super) const LONGEST_WAIT: f64 = 4.0;
pub(super) const ILL_COUNTS: f64 = 4.0;
/// A class this close to the worst served counts as it.
pub(super) const NEAR_WORST: f64 = 0.02;
/// The least retry-after (at once would add to a crowd), and when a failed call for the list is made again.
pub(super) const LEAST_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);
pub(super) const ASK_AGAIN: TimeDelta = TimeDelta::from_millis(1_000);
/// Remembered sessions beyond this many are dropped once every member has what they wrote.
pub(super) const TOKENS: usize = 8_192;
/// How long counts of the late past last, and those of crowding, in microseconds; and the pause between logs.
pub(super) const MEMORY: f64 = 7e6;
pub(super) const CROWD_MEMORY: f64 = 3e6;
pub(super) const LOG_EVERY: TimeDelta = TimeDelta::from_millis(1_000);
