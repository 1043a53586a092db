"""Commands that create, withdraw and list keys."""

import typing

from cleo import helpers

from sedgeswitch import verdicts
from sedgeswitch.cli import base
from sedgeswitch.cli import client
from sedgeswitch.cli import exit_codes
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.keys import key_format
from sedgeswitch.utils import checks


class KeyGiveCommand(base.ControlCommand):
    """Creates a key for an organisation."""

    name = "key give"
    description = "Create a new key for an organisation and print it once."
    arguments = [helpers.argument("organisation", "Id of the organisation.")]
    options = [*base.CONTROL_OPTIONS]
    help = """\
The key is generated on this machine; only its digest is sent and stored.  It is
printed once and cannot be shown again.

Examples:
  sedgeswitch key give ward-4"""

    def execute_command(self) -> int:
        """Create a key for the organisation."""
        control = self.build_client()
        organisation = self.argument("organisation")
        key = key_format.generate_key(self.environment.get_random_bytes)
        operation = operations.SetKey(organisation, key.key_id, key.digest)
        try:
            version = self.change_latest_version(control, lambda _: (operation,))
        except client.UnreachableError as error:
            if error.verdict is verdicts.Verdict.MAY_HAVE_RUN:
                self.print_text(
                    f"if key {key.key_id} is listed for {organisation}, withdraw it"
                )
            raise
        result = {"key": key.plain, "key_id": key.key_id, "version": version}
        self.print_result(
            result,
            f"key {key.plain}\nid {key.key_id} of {organisation}, version {version}; "
            "the key is not shown again",
        )
        return exit_codes.ExitCode.OK


class KeyWithdrawCommand(base.ControlCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraw a key permanently."
    arguments = [
        helpers.argument("organisation", "Id of the organisation."),
        helpers.argument("key_id", "Id of the key, as key list prints it."),
    ]
    options = [*base.CONTROL_OPTIONS]
    help = """\
The key stops working within seconds, also on open connections; in-force
reports when the change is in force on all entry hosts.

Examples:
  sedgeswitch key withdraw ward-4 k-0123456789ab
  sedgeswitch in-force --wait 5"""

    def execute_command(self) -> int:
        """Withdraw a key."""
        organisation = self.argument("organisation")
        key_id = self.argument("key_id")

        def build_operations(
            document: documents.Document,
        ) -> typing.Sequence[operations.Operation]:
            key = get_keys(document, organisation).get(key_id)
            if key is not None and key.withdrawn:
                return ()
            return (operations.WithdrawKey(organisation, key_id),)

        version = self.change_latest_version(self.build_client(), build_operations)
        result = {"key_id": key_id, "version": version}
        self.print_result(result, f"{key_id} is withdrawn, version {version}")
        return exit_codes.ExitCode.OK


class KeyListCommand(base.ControlCommand):
    """Lists the keys of an organisation."""

    name = "key list"
    description = "List the ids of an organisation's keys."
    arguments = [helpers.argument("organisation", "Id of the organisation.")]
    options = [*base.CONTROL_OPTIONS]
    help = """Examples:
  sedgeswitch key list ward-4"""

    def execute_command(self) -> int:
        """List the keys of an organisation."""
        current = self.read_configuration(self.build_client())
        keys = get_keys(current.document, self.argument("organisation"))
        if self.option("json"):
            self.print_json(keys)
        else:
            rows = [(key_id, key.withdrawn) for key_id, key in sorted(keys.items())]
            self.print_rows(("key_id", "withdrawn"), rows)
        return exit_codes.ExitCode.OK


class TokenMakeCommand(base.BaseCommand):
    """Generates an operators' token and its digest."""

    name = "token make"
    description = "Generate an operators' token and its digest for the settings."
    options = [base.JSON_OPTION]
    help = f"""\
Set operator_token_digest to the digest in the settings of each control host,
and set the environment variable {base.TOKEN_VARIABLE} to the token for operators.

Examples:
  sedgeswitch token make"""

    def execute_command(self) -> int:
        """Generate and print an operators' token and its digest."""
        key = key_format.generate_key(self.environment.get_random_bytes)
        result = {"token": key.plain, "operator_token_digest": key.digest}
        text = f"token {key.plain}\noperator_token_digest {key.digest}"
        self.print_result(result, text)
        return exit_codes.ExitCode.OK


def get_keys(
    document: documents.Document, organisation: str
) -> typing.Mapping[str, documents.Key]:
    """Return the keys of an organisation by their ids.

    Raises
    ------
    CheckError
        If there is no such organisation.
    """
    record = document.organisations.get(organisation)
    if record is None:
        allowed = "the name of an organisation of the configuration in force"
        raise checks.CheckError("organisation", allowed, organisation)
    return record.keys
