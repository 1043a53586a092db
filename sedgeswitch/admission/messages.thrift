namespace py sedgeswitch.admission.generated

// What an entry host holds of one organisation's tokens, and what it needs.
struct Holding {
  1: required string organisation
  2: required i64 in_hand
  3: required i64 spent_total
  4: required i64 pending
  5: required double demand_per_s
  // The draw whose grant the host applied last; 0 if there was none.
  6: required i64 answered_sequence
  // What the host refills itself with while no draw is answered, as granted last.
  7: required double allowance_per_s
  // Tokens that it has refilled itself with since that grant.
  8: required i64 refilled
}

// The last state of a bucket that a leader told the host, for the next leader.
struct BucketMemory {
  1: required string organisation
  2: required i64 term
  3: required i64 index
  4: required double bucket
  5: required double held
  6: required double rate_per_s
  7: required double received_age_s
  8: required double sent_age_s
  9: required double spent_age_s
}

struct Draw {
  1: required string host_id
  2: required string incarnation
  3: required i64 sequence
  4: required i64 term
  5: required bool is_report
  6: required double uptime_s
  7: required list<Holding> holdings
  8: required list<BucketMemory> memories
}

enum DrawStatus {
  GRANTED = 1
  REPORT_WANTED = 2
  REFUSED = 3
}

struct Grant {
  1: required string organisation
  2: required i64 granted
  3: required i64 keep
  4: required double share_per_s
  5: required bool is_short
  6: required double bucket
  7: required double held
  8: required double rate_per_s
  9: required double allowance_per_s
}

struct DrawReply {
  1: required i64 term
  2: required i64 sequence
  3: required i64 index
  4: required DrawStatus status
  5: required double lifetime_s
  6: required double urgent_interval_s
  7: required list<Grant> grants
}
