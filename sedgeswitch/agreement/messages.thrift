namespace py sedgeswitch.agreement.generated

// Asks a host for its id and incarnation before it becomes a voter.
struct IdentifyRequest {
  1: required string sender_id,
}

struct IdentifyReply {
  1: required string node_id,
  2: required string incarnation,
  // Whether the host has a set of voters in its log: it is in a cluster already.
  3: required bool is_formed,
}

// The request for a vote or, with is_pre_vote, for a pre-vote of Raft.
struct VoteRequest {
  1: required i64 term,
  2: required string candidate_key,
  3: required string target_incarnation,
  4: required i64 last_index,
  5: required i64 last_term,
  6: required bool is_pre_vote,
  // Whether the candidate starts an election after a restart of all voters: its
  // process is unled, that is, it has had no contact with a leader since it started.
  7: required bool is_unled,
  // The unled_run_id in the receiver's reply to the pre-vote; empty if there was none.
  8: required string unled_run_id,
}

struct VoteReply {
  1: required i64 term,
  2: required bool is_granted,
  // Random id of the voter's process if it is unled, that is, if it has had no
  // contact with a leader since it started; else empty.
  3: required string unled_run_id,
}

struct HeartbeatRequest {
  1: required i64 term,
  2: required string leader_id,
  3: required string target_incarnation,
  // At most the index up to which the leader has recorded the receiver's log as equal
  // to its own.
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

// The AppendEntries call of Raft; the entries follow prev_index without a gap.
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
  // On success the last index up to which the receiver's log matches the leader's;
  // otherwise a hint: the highest index at which the logs may match.
  3: required i64 match_index,
  4: required bool needs_snapshot,
}

// The InstallSnapshot call of Raft, with one chunk of the snapshot.
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
  // Offset of the next chunk; total_bytes once the snapshot is installed.
  2: required i64 next_offset_bytes,
}

// The request of a host to become a voter, sent to the leader while the host is no
// voter according to its own log or has no contact with a leader.
struct JoinRequest {
  1: required string node_id,
  2: required string host,
  3: required i32 port,
}

struct JoinReply {
  1: required bool is_voter,
}
