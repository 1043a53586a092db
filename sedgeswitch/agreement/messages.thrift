namespace py sedgeswitch.agreement.generated

// Asks a host which disk it runs on, before it is made a voter.
struct IdentifyRequest {
  1: required string sender_id,
}

struct IdentifyReply {
  1: required string node_id,
  2: required string incarnation,
  // Whether the host holds a set of voters, and so may hold history.
  3: required bool is_formed,
}

struct VoteRequest {
  1: required i64 term,
  2: required string candidate_key,
  3: required string target_incarnation,
  4: required i64 last_index,
  5: required i64 last_term,
  6: required bool is_pre_vote,
  // Whether the candidate has known no leader since its process started.
  7: required bool is_unled,
  // The run that the receiver told in its pre-vote; empty if it told none.
  8: required string unled_run_id,
}

struct VoteReply {
  1: required i64 term,
  2: required bool is_granted,
  // This run of the voter's process, if it has known no leader; else empty.
  3: required string unled_run_id,
}

struct HeartbeatRequest {
  1: required i64 term,
  2: required string leader_id,
  3: required string target_incarnation,
  // Never above what the receiver is known to hold.
  4: required i64 commit_index,
}

struct HeartbeatReply {
  1: required i64 term,
}

struct LogEntry {
  1: required i64 term,
  2: required i16 kind,
  3: required binary body,
}

// The entries follow prev_index without a gap.
struct AppendRequest {
  1: required i64 term,
  2: required string leader_id,
  3: required string target_incarnation,
  4: required i64 prev_index,
  5: required i64 prev_term,
  6: required list<LogEntry> entries,
  7: required i64 commit_index,
}

struct AppendReply {
  1: required i64 term,
  2: required bool is_success,
  // On success the last index held as the leader holds it, else a hint below
  // which the logs may agree.
  3: required i64 match_index,
  4: required bool needs_snapshot,
}

struct SnapshotRequest {
  1: required i64 term,
  2: required string leader_id,
  3: required string target_incarnation,
  4: required i64 index,
  5: required i64 index_term,
  6: required binary voter_set,
  7: required i64 offset_bytes,
  8: required i64 total_bytes,
  9: required binary chunk,
  10: required binary checksum,
}

struct SnapshotReply {
  1: required i64 term,
  // Where the next chunk starts; total_bytes once the snapshot is in force.
  2: required i64 next_offset_bytes,
}

// A host that is no voter, as far as it knows, asks the leader for a place.
struct JoinRequest {
  1: required string node_id,
  2: required string host,
  3: required i32 port,
}

struct JoinReply {
  1: required bool is_voter,
}
