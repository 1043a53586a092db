namespace py sedgeswitch.forwarding.generated

// What the holder of an instance's connections is asked to do. READ, WRITE and COMMIT
// are all sent as RUN, with their text unchanged.
enum Operation {
  RUN = 1,
  BEGIN = 2,
  ROLL_BACK = 3,
  // Closes the connection of a transaction, which rolls it back.
  DISCARD = 4,
}

// Log position of an instance.
struct Position {
  1: required i64 timeline,
  2: required i64 lsn,
}

struct PreparedShape {
  1: required bool is_write,
  2: required binary text,
}

struct Statement {
  1: required binary statement_id,
  2: required binary text,
  // Set for the execution of a prepared statement.
  3: optional binary prepared_arguments,
  4: optional PreparedShape shape,
}

// From the host of a caller to a holder. It names the caller's organisation, but does
// not contain its key. `transaction` is that of the answer to BEGIN.
struct ForwardRequest {
  1: required string instance,
  2: required string organisation,
  3: required Operation operation,
  // Time after which the holder gives up and answers, in milliseconds.
  4: required i32 timeout_ms,
  5: optional i64 transaction,
  6: optional map<binary, binary> session_values,
  7: optional Statement statement,
  8: optional Position floor,
  9: optional bool is_read_only,
  // For BEGIN: idle time after which the holder rolls the transaction back.
  10: optional i32 idle_timeout_ms,
  // Priorities of the database and of the organisation; 0 is the highest.
  11: optional i32 priority,
  12: optional i32 organisation_priority,
  // Time left until the target latency of the operation, negative if it has passed.
  13: optional i32 target_ms,
  14: optional bool is_write,
}

// What a holder knows of an instance that it holds connections to.
struct InstanceLoad {
  // Statements that the instance runs at the same time.
  1: optional i32 slots,
  // Statements of this holder that run and that wait.
  2: optional i32 running,
  3: optional i32 waiting,
  // Number of holders that divide the instance's connections.
  4: optional i32 holders,
  5: optional i32 service_ms,
  // Recent statements without a useful answer, in percent.
  6: optional i32 failed_percent,
  // Waiting statements by the priority of their database.
  7: optional map<i32, i32> waiting_by_priority,
  // Whether the holder's traffic shows that the instance is unhealthy.
  8: optional bool is_unhealthy,
  // Statements that arrive at this holder, in percent of what its slots can run.
  9: optional i32 demand_percent,
}

enum Outcome {
  // The instance answered; the answer may be a failure.
  ANSWERED = 1,
  // Nothing was sent to the instance.
  NOT_RUN = 2,
  // The statement was sent to the instance, which did not answer in time.
  NO_ANSWER = 3,
}

struct ForwardAnswer {
  1: required Outcome outcome,
  2: optional list<binary> rows,
  3: optional binary signature,
  // Name of the failure, absent if the statement succeeded.
  4: optional string failure,
  5: optional string detail,
  6: optional bool is_in_transaction,
  7: optional bool is_transaction_failed,
  8: optional Position position,
  9: optional i64 transaction,
  // For NOT_RUN: whether another attempt may soon succeed.
  10: optional bool is_retryable,
  // For NOT_RUN: whether the reason is the holder's own state, so that another holder
  // may run the statement.
  11: optional bool is_host_unavailable,
  // Time that the holder and the instance took, in milliseconds.
  12: optional i32 service_ms,
  13: optional InstanceLoad load,
  // For NOT_RUN: whether the reason is that the instance is slow after its start.
  20: optional bool is_cold,
}

// Asks a host that draws the tokens of an organisation to admit one request.
struct AdmitRequest {
  1: required string organisation,
  // Time after which the host stops waiting for a token, in milliseconds.
  2: required i32 timeout_ms,
}

struct AdmitAnswer {
  1: required bool is_admitted,
  // Whether the host draws no tokens for the organisation, so that another may.
  2: optional bool is_host_unavailable,
  // For a request that is refused by the organisation's limit.
  3: optional string code,
  4: optional string detail,
  5: optional i32 retry_after_ms,
  6: optional i32 status,
}
