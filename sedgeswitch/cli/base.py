"""Base classes of the commands: options, client, errors and output."""

import pathlib
import re
import sys
import typing

import msgspec
from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output as outputs

from sedgeswitch import verdicts
from sedgeswitch.cli import client
from sedgeswitch.cli import environment as environments
from sedgeswitch.cli import exit_codes
from sedgeswitch.configuration import changes
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

CONTROL_VARIABLE = "SEDGESWITCH_CONTROL"
TOKEN_VARIABLE = "SEDGESWITCH_OPERATOR_TOKEN"
TOKEN_FILE_VARIABLE = "SEDGESWITCH_OPERATOR_TOKEN_FILE"
AUTHOR_VARIABLES = ("SEDGESWITCH_AUTHOR", "USER")
DEFAULT_AUTHOR = "operator"
DEFAULT_TIMEOUT_S = "10"
MAX_CONFLICT_RETRIES = 5

_REQUEST_ID_BYTES = 16
_CONFLICT_STATUS = 409

JSON_OPTION = helpers.option("json", None, "Print JSON for scripts.")
LOGS_ARGUMENT = helpers.argument(
    "files",
    "Log files; standard input by default.",
    optional=True,
    multiple=True,
)
CONTROL_OPTIONS = (
    helpers.option(
        "control",
        None,
        f"Control hosts as host:port,... (default: {CONTROL_VARIABLE}).",
        flag=False,
    ),
    helpers.option(
        "timeout",
        None,
        "Seconds after which a request without a response is no longer retried.",
        flag=False,
        default=DEFAULT_TIMEOUT_S,
    ),
    JSON_OPTION,
)


class CommandError(Exception):
    """Ends a command with an exit code and an error message.

    Parameters
    ----------
    exit_code : exit_codes.ExitCode
    detail : str
        Error message for the operator.
    """

    def __init__(self, exit_code: exit_codes.ExitCode, detail: str):
        super().__init__(detail)
        self.exit_code = exit_code


class ConfigurationInForce(typing.NamedTuple):
    """The newest version of the configuration on the control hosts."""

    version: int
    document: documents.Document


BuildOperations = typing.Callable[
    [documents.Document], typing.Sequence[operations.Operation]
]


class BaseCommand(command.Command):
    """A command that reports errors on standard error and by its exit code.

    Parameters
    ----------
    environment : environment.Environment
    """

    def __init__(self, environment: environments.Environment):
        super().__init__()
        self.environment = environment

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return self.execute_command()
        except CommandError as error:
            return self._fail(error.exit_code, str(error))
        except checks.CheckError as error:
            return self._fail(exit_codes.ExitCode.REFUSED, str(error))
        except client.UnreachableError as error:
            return self._fail(exit_codes.ExitCode.UNREACHABLE, str(error))

    def execute_command(self) -> int:
        """Do the work of the command and return its exit code."""
        raise NotImplementedError

    def read_texts(self, files: list[str]) -> list[str]:
        """Return the lines of files, or of standard input if there are none.

        Raises
        ------
        CheckError
            If a file cannot be read.
        """
        if not files:
            return sys.stdin.read().splitlines()
        texts = []
        for name in files:
            try:
                texts += pathlib.Path(name).read_text(errors="replace").splitlines()
            except OSError as error:
                raise checks.CheckError(
                    "files", "readable files", str(error)
                ) from error
        return texts

    def print_text(self, text: str) -> None:
        """Print a line without interpreting markup in it."""
        self.io.write_line(text, type=outputs.Type.RAW)

    def print_json(self, value: typing.Any) -> None:
        """Print a value or record as JSON."""
        body = records.encode_json(value)
        self.print_text(msgspec.json.format(body, indent=2).decode())

    def print_rows(
        self, headers: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
    ) -> None:
        """Print a table with aligned columns."""
        rows = [[_to_text(value) for value in row] for row in rows]
        lines = [list(headers), *rows]
        widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
        for line in lines:
            cells = zip(line, widths, strict=True)
            self.print_text(
                "  ".join(cell.ljust(width) for cell, width in cells).rstrip()
            )

    def print_result(self, value: typing.Any, text: str) -> None:
        """Print `value` as JSON if the option ``--json`` is set, else `text`."""
        if self.option("json"):
            self.print_json(value)
        else:
            self.print_text(text)

    def _fail(self, exit_code: exit_codes.ExitCode, detail: str) -> int:
        self.io.write_error_line(f"error: {detail}", type=outputs.Type.RAW)
        return exit_code


class ControlCommand(BaseCommand):
    """A command that sends requests to the control hosts."""

    def build_client(self) -> client.ControlClient:
        """Return a client for the control hosts of ``--control`` or the environment.

        Raises
        ------
        CommandError
            If neither states any.
        """
        control_hosts = self.option("control") or self.environment.variables.get(
            CONTROL_VARIABLE
        )
        if not control_hosts:
            raise CommandError(
                exit_codes.ExitCode.USAGE,
                f"no control hosts given: use --control or set {CONTROL_VARIABLE}",
            )
        addresses = [client.build_address(part) for part in control_hosts.split(",")]
        timeout_s = parse_seconds("timeout", self.option("timeout"))
        return client.ControlClient(
            addresses, self._load_token(), timeout_s, self.environment
        )

    def call(
        self,
        control: client.ControlClient,
        method: str,
        path: str,
        plain: object = None,
        response_timeout_s: float = client.RESPONSE_TIMEOUT_S,
    ) -> typing.Any:
        """Send a request and return the document of a successful response.

        Parameters
        ----------
        control : client.ControlClient
        method, path : str
            HTTP method and path.
        plain : object
            Value that is sent as the JSON body; None for an empty body.
        response_timeout_s : float
            Longest wait for data of the response in one attempt.

        Raises
        ------
        CommandError
            If the request was rejected.
        """
        body = b"" if plain is None else records.encode_json(plain)
        return _check_response(control.call(method, path, body, response_timeout_s))

    def read_configuration(self, control: client.ControlClient) -> ConfigurationInForce:
        """Return the newest version of the configuration from the control hosts."""
        view = self.call(control, "GET", "/v1/configuration")
        document = documents.build_document(view["document"])
        return ConfigurationInForce(view["version"], document)

    def send_change(
        self,
        control: client.ControlClient,
        base_version: int,
        operation_list: typing.Sequence[operations.Operation],
    ) -> int:
        """Send a change and return the version that it created.

        Raises
        ------
        CommandError
            If `base_version` is no longer the newest version (exit code CONFLICT),
            or if the change is rejected.
        """
        request_id = self.environment.get_random_bytes(_REQUEST_ID_BYTES).hex()
        change = changes.Change(
            base_version, request_id, self._get_author(), operation_list
        )
        body = changes.encode_change(change)
        response = control.call("POST", "/v1/configuration/changes", body)
        return _check_response(response)["version"]

    def change_latest_version(
        self, control: client.ControlClient, build_operations: BuildOperations
    ) -> int:
        """Change the newest version and return the version created.

        After a conflict with another change, the operations are built again from
        the newest document and sent again, `MAX_CONFLICT_RETRIES` attempts in all.
        Use it only for changes that are correct whatever else has changed.  If
        `build_operations` returns no operations, nothing is sent and the newest
        version is returned.
        """
        for _ in range(MAX_CONFLICT_RETRIES):
            current = self.read_configuration(control)
            operation_list = build_operations(current.document)
            if not operation_list:
                return current.version
            try:
                return self.send_change(control, current.version, operation_list)
            except CommandError as error:
                if error.exit_code != exit_codes.ExitCode.CONFLICT:
                    raise
                conflict = error
        raise conflict

    def _get_author(self) -> str:
        for variable in AUTHOR_VARIABLES:
            name = re.sub(
                r"[^A-Za-z0-9._-]", "-", self.environment.variables.get(variable, "")
            )
            if name:
                return name[:64]
        return DEFAULT_AUTHOR

    def _load_token(self) -> str | None:
        variables = self.environment.variables
        if TOKEN_VARIABLE in variables:
            return variables[TOKEN_VARIABLE]
        if TOKEN_FILE_VARIABLE in variables:
            return load_text(variables[TOKEN_FILE_VARIABLE]).strip()
        return None


def parse_seconds(name: str, text: str) -> float:
    """Return the value in seconds of the option `name`.

    Raises
    ------
    CommandError
        If the text is not a number from 0 to 86400.
    """
    try:
        return checks.check_range(name, float(text), 0, 86_400)
    except ValueError as error:
        detail = f"--{name}: expected seconds from 0 to 86400, got {text!r}"
        raise CommandError(exit_codes.ExitCode.USAGE, detail) from error


def parse_labels(texts: typing.Sequence[str]) -> dict[str, str]:
    """Return the labels of arguments of the form ``LABEL=VALUE``.

    Raises
    ------
    CommandError
        If an argument has another form.
    CheckError
        If a label or value is not a valid name.
    """
    labels = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not equals:
            detail = f"labels: expected LABEL=VALUE, got {text!r}"
            raise CommandError(exit_codes.ExitCode.USAGE, detail)
        labels[checks.check_name("label", name)] = checks.check_name("value", value)
    return labels


def load_text(path: str) -> str:
    """Return the text of a file.

    Raises
    ------
    CommandError
        If it cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(exit_codes.ExitCode.USAGE, f"{path}: {error}") from error


def load_json(path: str) -> typing.Any:
    """Return the decoded value of a JSON file.

    Raises
    ------
    CommandError
        If it cannot be read.
    CheckError
        If it is not JSON.
    """
    return records.decode_json(load_text(path).encode(), path)


def _check_response(response: client.Response) -> typing.Any:
    if response.status == 200:
        return response.document
    conflict = response.status == _CONFLICT_STATUS
    exit_code = (
        exit_codes.ExitCode.CONFLICT if conflict else exit_codes.ExitCode.REFUSED
    )
    detail = f"{response.document['detail']} ({response.document['code']})"
    if response.document["verdict"] == verdicts.Verdict.MAY_HAVE_RUN.value:
        detail += "; it may have been done"
    raise CommandError(exit_code, detail)


def _to_text(value: typing.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, dict):
        return (
            ",".join(f"{name}={_to_text(item)}" for name, item in sorted(value.items()))
            or "-"
        )
    if isinstance(value, (list, tuple)):
        return ",".join(_to_text(item) for item in value) or "-"
    return str(value)
