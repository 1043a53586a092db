namespace py sedgeswitch.membership.generated

// Renews the lease of an entry host; carries one section per slice.
struct Heartbeat {
  1: required string host_id,
  2: required string incarnation,
  3: required string availability_zone,
  4: required string host,
  5: required i32 port,
  6: required map<string, binary> sections,
  // Set by a host that shuts down gracefully: it holds no lease any more.
  7: required bool is_leaving,
  // Grows with each heartbeat of an incarnation; late ones are refused.
  8: required i64 sequence,
}

struct HeartbeatAnswer {
  1: required i32 lease_ms,
  2: required map<string, binary> sections,
  // Versions of the sections' agreed state, for the next watch.
  3: required map<string, i64> versions,
}

// Long poll: answered when a version differs from the given ones.
struct Watch {
  1: required map<string, i64> versions,
  2: required i32 timeout_ms,
}

struct WatchAnswer {
  1: required bool is_changed,
}

// A backend server's own announcement.
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
}

// Entry host to leader: what was announced since the last report.
struct DirectoryReport {
  1: required i64 epoch,
  2: required i64 version,
  3: required list<Announcement> changed,
  4: required list<string> renewed,
}

// Leader to entry host: changes since the reported version, or everything.
struct DirectoryAnswer {
  1: required i64 epoch,
  2: required i64 version,
  3: required bool is_whole,
  4: required list<Announcement> upserts,
  5: required list<string> removals,
  6: required list<string> unknown,
}

// Agreed state: the entry hosts that may hold a lease.
struct MemberCommand {
  1: required string host_id,
  2: required string incarnation,
  3: required string availability_zone,
  4: required string host,
  5: required i32 port,
  6: required bool is_removal,
}

struct Members {
  1: required i64 version,
  2: required list<MemberCommand> members,
}

// Agreed state: the backend servers that a new leader starts with.
struct ServerCommand {
  1: optional Announcement announced,
  2: optional string removed,
}

struct Servers {
  1: required list<Announcement> announced,
}
