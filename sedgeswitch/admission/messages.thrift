namespace py sedgeswitch.admission.generated

// The tokens of one organisation that an entry host holds, and its demand for more.
struct Holding {
  1: required string organisation
  // Tokens that the host can spend at once.
  2: required i64 in_hand
  // Tokens spent since the start of the host's process.
  3: required i64 spent_total
  // Requests that wait for a token.
  4: required i64 pending
  5: required double demand_per_s
  // Sequence number of the draw whose grant the host applied last; 0 if none.
  6: required i64 answered_sequence
  // Rate at which the host refills its tokens itself while no draw is answered, from
  // the last applied grant.
  7: required double allowance_per_s
  // Tokens that the host has refilled itself since that grant.
  8: required i64 refilled
  // Most tokens that the host held under the last applied grant; 0 once the grant has
  // expired. Hosts of earlier releases leave it out.
  9: optional i64 capacity
}

// The state of an organisation's bucket in the last grant that the host received. A
// report carries it, so that a new leader can restore the bucket.
struct BucketMemory {
  1: required string organisation
  // Term of the leader, and position of its reply within the term.
  2: required i64 term
  3: required i64 index
  // Tokens in the bucket, and tokens that hosts may hold.
  4: required double bucket
  5: required double held
  6: required double rate_per_s
  // Time since the reply was received, its draw was sent and a token was last spent.
  7: required double received_age_s
  8: required double sent_age_s
  9: required double spent_age_s
}

// A host's request for tokens of all organisations that need some.
struct Draw {
  1: required string host_id
  2: required string incarnation
  // Number of the draw; a duplicate of a draw has the same number.
  3: required i64 sequence
  // Term of the leader that last asked for a report; 0 if none.
  4: required i64 term
  // Whether the draw reports the host's state to a new leader.
  5: required bool is_report
  6: required double uptime_s
  7: required list<Holding> holdings
  8: required list<BucketMemory> memories
}

// REPORT_WANTED: the leader has no record of the host and grants after a report only.
// REFUSED: the host is not registered, or the draw is out of date.
enum DrawStatus {
  GRANTED = 1
  REPORT_WANTED = 2
  REFUSED = 3
}

// The leader's answer to a draw for one organisation.
struct Grant {
  1: required string organisation
  // Tokens added to those that the host has.
  2: required i64 granted
  // Tokens that the host should prefetch at its demand; its draws return any above.
  3: required i64 keep
  // The host's share of the rate.
  4: required double share_per_s
  // Whether the bucket was too empty for all pending requests.
  5: required bool is_short
  // State of the bucket after this grant, see BucketMemory.
  6: required double bucket
  7: required double held
  8: required double rate_per_s
  // Rate at which the host may refill its tokens itself while no draw is answered.
  9: required double allowance_per_s
}

struct DrawReply {
  1: required i64 term
  // The draw that is answered.
  2: required i64 sequence
  // Number of granting replies of this leader in its term.
  3: required i64 index
  4: required DrawStatus status
  // Time for which the granted tokens may be spent, from sending the draw.
  5: required double lifetime_s
  // Shortest time between two draws of a host while requests wait.
  6: required double urgent_interval_s
  7: required list<Grant> grants
  // Whether the leader still waits for reports of other hosts.
  8: optional bool is_collecting
}
