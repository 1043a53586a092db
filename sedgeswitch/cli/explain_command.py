"""The command that explains the result of a request from the logs of the hosts."""

from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import exit_codes
from sedgeswitch.observability import explain


class ExplainCommand(base.BaseCommand):
    """Prints the log lines of a request and those that show the cause of its result."""

    name = "explain"
    description = "Explain the result of a request from log lines of the hosts."
    arguments = [
        helpers.argument("request", "Id of the statement."),
        base.LOGS_ARGUMENT,
    ]
    options = [base.JSON_OPTION]

    def execute_command(self) -> int:
        """Print the lines of the request, marked by ``>``, and the related lines.

        Times are relative to the last line of the request.
        """
        texts = self.read_texts(self.argument("files"))
        request = self.argument("request")
        explained = explain.explain(explain.read_lines(texts), request)
        if not explained:
            raise base.CommandError(
                exit_codes.ExitCode.REFUSED,
                f"no log line of request {request}: only requests without a result are"
                " logged, and excess lines are replaced by a count",
            )
        if self.option("json"):
            self.print_json([line for line, _ in explained])
            return exit_codes.ExitCode.OK
        last_s = max(line.time_s for line, is_of_request in explained if is_of_request)
        for line, is_of_request in explained:
            mark = ">" if is_of_request else " "
            fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
            offset_s = line.time_s - last_s
            self.print_text(
                f"{mark} {offset_s:+8.3f} s  {line.host_id}  {line.message}  {fields}"
            )
        return exit_codes.ExitCode.OK
