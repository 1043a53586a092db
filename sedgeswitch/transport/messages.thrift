namespace py sedgeswitch.transport.generated

// The answer to a request that failed.
struct Failure {
  1: required string code,
  2: required string detail,
  3: required bool may_have_run,
}
