namespace py sedgeswitch.membership.generated

// Renews the lease of an entry host. A section is the part of a heartbeat that
// belongs to one package (for example the directory or the groups).
struct Heartbeat {
  1: required string host_id,
  2: required string incarnation,
  3: required string availability_zone,
  4: required string host,
  5: required i32 port,
  6: required map<string, binary> sections,
  // Set by a host that shuts down gracefully; its lease has ended.
  7: required bool is_leaving,
  // Increases with each heartbeat of an incarnation; the leader rejects a
  // heartbeat that arrives after a later one.
  8: required i64 sequence,
  // If set, `sections` lacks those that are unchanged since the heartbeat with this
  // number, which the leader has answered.
  9: optional i64 base_sequence,
}

struct HeartbeatAnswer {
  1: required i32 lease_ms,
  2: required map<string, binary> sections,
  // Version of each section on the leader, sent back in the next watch.
  3: required map<string, i64> versions,
  // Whether the next heartbeat may have this one as its base.
  4: optional bool accepts_base,
  // Whether `sections` and `versions` lack what is unchanged since the answer to the
  // base of the heartbeat.
  5: optional bool is_difference,
}

// Long poll: answered as soon as a section's version differs from the given one,
// or after the timeout.
struct Watch {
  1: required map<string, i64> versions,
  2: required i32 timeout_ms,
}

struct WatchAnswer {
  1: required bool is_changed,
}

// What a backend server announces about itself.
struct Announcement {
  1: required string instance,
  2: required string group,
  3: required string host,
  4: required i32 port,
  5: required string availability_zone,
  6: required map<string, string> labels,
  7: required i32 slots,
  8: required i32 max_connections,
  9: optional bool is_leaving,
  // Whether the instance is slow after its start and its group limits its rate.
  10: optional bool is_cold,
}

// From an entry host to the leader: the announcements it received since its last
// report. `renewed` lists instances whose announcement is unchanged. `epoch` and
// `version` are those of the last answer that the host applied.
struct DirectoryReport {
  1: required i64 epoch,
  2: required i64 version,
  3: required list<Announcement> changed,
  4: required list<string> renewed,
}

// From the leader to an entry host: the changes since the reported version, or
// the full directory. `unknown` lists renewed instances that the leader has not
// recorded, to be reported in full. `epoch` identifies the leadership to which
// `version` belongs. If `is_whole` is true, `upserts` is the full directory and
// replaces that of the host.
struct DirectoryAnswer {
  1: required i64 epoch,
  2: required i64 version,
  3: required bool is_whole,
  4: required list<Announcement> upserts,
  5: required list<string> removals,
  6: required list<string> unknown,
}

// Replicated state: registers or removes an entry host that may hold a lease.
struct MemberCommand {
  1: required string host_id,
  2: required string incarnation,
  3: required string availability_zone,
  4: required string host,
  5: required i32 port,
  6: required bool is_removal,
}

// Snapshot of the registered entry hosts, and heartbeat section: a host reports its
// version without members, and the answer holds all members if it is older. If
// `is_partial` is true in a report, the host also takes the changes since its version;
// if it is true in an answer, `members` are these changes. `removal_index` is the index
// of the command that last removed a host, in snapshots only.
struct Members {
  1: required i64 version,
  2: required list<MemberCommand> members,
  3: optional bool is_partial,
  4: optional i64 removal_index,
}

// Replicated state: records or removes a backend server, so that a new leader
// starts with the directory of the previous leader.
struct ServerCommand {
  1: optional Announcement announced,
  2: optional string removed,
}

// Snapshot of the recorded backend servers.
struct Servers {
  1: required list<Announcement> announced,
}
