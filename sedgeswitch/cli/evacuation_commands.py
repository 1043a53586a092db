"""Commands that start, end and list evacuations of availability zones."""

from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import exit_codes
from sedgeswitch.utils import checks

_PATH = "/v1/evacuations"
_ZONE_ARGUMENT = helpers.argument("zone", "Name of the availability zone.")


class EvacuateCommand(base.ControlCommand):
    """Starts the evacuation of an availability zone."""

    name = "evacuate"
    description = "Send nothing more to the instances of an availability zone."
    arguments = [_ZONE_ARGUMENT]
    options = [*base.CONTROL_OPTIONS]
    help = """\
Returns once the control hosts have stored the request.  Within 5 seconds no statement
reaches an instance in the zone; primaries are moved to instances outside.  It stays in
force until it is ended.

Examples:
  sedgeswitch evacuate bagmati-1"""

    def execute_command(self) -> int:
        """Start the evacuation."""
        zone = checks.check_name("zone", self.argument("zone"))
        result = self.call(self.build_client(), "POST", f"{_PATH}/{zone}")
        self.print_result(result, f"{zone} is evacuated")
        return exit_codes.ExitCode.OK


class EndEvacuationCommand(base.ControlCommand):
    """Ends the evacuation of an availability zone."""

    name = "end-evacuation"
    description = "Let the instances of an availability zone serve again."
    arguments = [_ZONE_ARGUMENT]
    options = [*base.CONTROL_OPTIONS]
    help = """\
Primaries stay where they are.

Examples:
  sedgeswitch end-evacuation bagmati-1"""

    def execute_command(self) -> int:
        """End the evacuation."""
        zone = checks.check_name("zone", self.argument("zone"))
        result = self.call(self.build_client(), "DELETE", f"{_PATH}/{zone}")
        self.print_result(result, f"{zone} may serve again")
        return exit_codes.ExitCode.OK


class EvacuationsCommand(base.ControlCommand):
    """Lists the evacuated availability zones."""

    name = "evacuations"
    description = "List the evacuated availability zones."
    options = [*base.CONTROL_OPTIONS]
    help = """Examples:
  sedgeswitch evacuations --json"""

    def execute_command(self) -> int:
        """List the evacuated zones."""
        view = self.call(self.build_client(), "GET", _PATH)
        text = "\n".join(view["zones"]) or "no zone is evacuated"
        self.print_result(view, text)
        return exit_codes.ExitCode.OK
