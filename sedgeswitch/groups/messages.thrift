namespace py sedgeswitch.groups.generated

enum GroupPhase {
  SERVING = 1,
  FENCED = 2,
}

// Replicated state of one group. `version` is the table version of the last
// change that entry hosts must apply. `candidates` are the instances to which a
// promotion command may have been sent since the group was fenced. `leaving`
// instances no longer count towards the acknowledgement of writes. The start is the
// position at which the log of the primary ended when the timeline began, and
// `timeline_index` the index of the replicated command with which it did. Both are not
// set in groups that an earlier release has stored.
struct Group {
  1: required string group,
  2: required i64 term,
  3: required i64 timeline,
  4: required string primary,
  5: required GroupPhase phase,
  6: required i64 version,
  7: required list<string> instances,
  8: required string reason,
  9: required list<string> candidates,
  10: required list<string> leaving,
  11: optional i64 start_timeline,
  12: optional i64 start_lsn,
  13: optional i64 timeline_index,
}

// Commands of the replicated state machine. `term` is the term that the group is
// expected to have; for Promoted, it is the term that begins. `lsn` is the end of the
// log of the primary, and `log_timeline` the timeline in which it ends, if that may be
// earlier than `timeline`.
struct RegisterGroup {
  1: required string group,
  2: required string primary,
  3: required i64 timeline,
  4: required list<string> instances,
  5: optional i64 lsn,
  6: optional i64 log_timeline,
}

struct AddInstance {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct RetireInstance {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct RemoveInstance {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct Fence {
  1: required string group,
  2: required i64 term,
  3: required string reason,
}

struct Choose {
  1: required string group,
  2: required i64 term,
  3: required string instance,
  // Whether the instance is registered by this command, if it was not before.
  4: optional bool is_unregistered,
}

struct Promoted {
  1: required string group,
  2: required i64 term,
  3: required string primary,
  4: required i64 timeline,
  5: required i64 lsn,
  6: optional i64 log_timeline,
}

struct Command {
  1: optional RegisterGroup register_group,
  2: optional AddInstance add_instance,
  3: optional Fence fence,
  4: optional Choose choose,
  5: optional Promoted promoted,
  6: optional RetireInstance retire_instance,
  7: optional RemoveInstance remove_instance,
}

enum Outcome {
  ACCEPTED = 1,
  UNCHANGED = 2,
  STALE_TERM = 3,
  UNKNOWN_GROUP = 4,
  NOT_ALLOWED = 5,
}

struct CommandResult {
  1: required Outcome outcome,
  2: optional Group group,
}

struct Snapshot {
  1: required i64 version,
  2: required list<Group> groups,
}

// Condition of an instance, as a watcher observes it: LIVE, SLOW to answer,
// BUSY (it answers with an error, such as no free connection slot) or SUSPECT
// (it refuses connections repeatedly or does not answer).
enum Condition {
  LIVE = 1,
  SLOW = 2,
  BUSY = 3,
  SUSPECT = 4,
}

struct InstanceHealth {
  1: required string instance,
  2: required Condition condition,
  3: required i32 consecutive_failures,
  4: required i32 silence_ms,
  5: optional i32 latency_ms,
  6: optional bool in_recovery,
  7: optional i64 timeline,
  8: optional i64 lsn,
  9: optional i32 age_ms,
  // Timeline in which the log ends, if it may be earlier than `timeline`.
  10: optional i64 log_timeline,
}

struct GroupHealth {
  1: required string group,
  2: required list<InstanceHealth> instances,
  3: required bool is_stalled,
}

// Upper bound of the positions of the commits of a group that an entry host has
// acknowledged to its callers, on the timeline of its table; the largest integer if it
// is unknown. At least one of these commits is after `after_lsn`, if that is set.
struct Acknowledged {
  1: required string group,
  2: required i64 timeline,
  3: required i64 lsn,
  4: optional i64 after_lsn,
}

// Heartbeat section, from an entry host to the leader. `used_groups` is set only
// if the list has changed since an earlier report. `acknowledged` is set only by
// hosts that record their commits.
struct Report {
  1: required i64 acknowledged_version,
  2: required i64 sent_ms,
  3: required i32 round_trip_ms,
  4: required list<GroupHealth> health,
  5: optional list<string> used_groups,
  6: optional list<Acknowledged> acknowledged,
}

// Heartbeat section, from the leader to an entry host. `instance` is the index
// in the group's list of instances. `elapsed_ms` must be added to each `age_ms`.
struct Observation {
  1: required i8 instance,
  2: required bool is_usable,
  3: optional i64 timeline,
  4: optional i64 lsn,
  5: optional i32 age_ms,
  6: optional i64 log_timeline,
}

struct GroupObservation {
  1: required string group,
  2: required list<Observation> instances,
  3: required i32 elapsed_ms,
}

// Answer to a `Report`. If `knows_used_groups` is false, the leader has not received
// the host's list of used groups, and the host sends it with the next report.
// `watched_groups` is set only if the list has changed.
struct Answer {
  1: required i64 version,
  2: required list<Group> changed,
  3: required bool knows_used_groups,
  4: optional list<string> watched_groups,
  5: optional list<GroupObservation> observations,
}
