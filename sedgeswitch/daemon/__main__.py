"""The command ``sedgeswitchd``."""

import random
import sys

import expression
import loguru
import trio
from cleo import application
from cleo.commands import command
from cleo.helpers import option

import sedgeswitch
from sedgeswitch import settings as daemon_settings
from sedgeswitch.daemon import daemon
from sedgeswitch.keys import key_format
from sedgeswitch.observability import logs
from sedgeswitch.utils import checks

EXIT_OK = 0
EXIT_INVALID = 1
EXIT_CRASHED = 2


class RunCommand(command.Command):
    """Runs a daemon until it receives SIGTERM or SIGINT."""

    name = "sedgeswitchd"
    description = "Runs an entry host, a control host or both, by its settings."
    options = [
        option("settings", "s", "The JSON file of settings.", flag=False),
        option("check", None, "Check the settings and exit.", flag=True),
    ]
    help = (
        "Examples:\n"
        "  sedgeswitchd --settings /etc/sedgeswitch/host.json\n"
        "  sedgeswitchd --settings host.json --check\n\n"
        "SIGTERM shuts down gracefully: running requests are completed.\n"
        "Exit codes: 0 after a shutdown, 1 for invalid settings,\n"
        "2 after a crash; the log contains the traceback."
    )

    def handle(self) -> int:
        """Check the settings, and run the daemon unless ``--check`` is given."""
        path = self.option("settings")
        if not path:
            self.line_error("<error>--settings: expected the path of a file</error>")
            return EXIT_INVALID
        loaded = read_settings(path)
        if loaded.is_error():
            self.line_error(f"<error>{loaded.error}</error>")
            return EXIT_INVALID
        settings = loaded.ok
        if self.option("check"):
            self.line(f"{path}: the settings of {settings.host_id} are valid")
            return EXIT_OK
        return run_daemon(settings)


def read_settings(path: str) -> expression.Result[daemon_settings.Settings, str]:
    """Return the settings in a file, or a message that says why they are invalid."""
    try:
        return expression.Ok(daemon_settings.load_settings(path))
    except (checks.CheckError, OSError) as error:
        return expression.Error(str(error))


def run_daemon(settings: daemon_settings.Settings) -> int:
    """Run a daemon that logs to standard error, and return its exit code."""
    logs.configure_logs(
        settings.host_id, settings.log_level, sys.stderr, key_format.redact
    )
    rng = random.SystemRandom()
    try:
        trio.run(_run, settings, rng)
    except Exception:
        loguru.logger.exception("the daemon crashed")
        return EXIT_CRASHED
    return EXIT_OK


async def _run(settings: daemon_settings.Settings, rng: random.Random) -> None:
    await daemon.Daemon(settings, rng).run()


def main() -> int:
    """Run the command line and return its exit code."""
    app = application.Application("sedgeswitchd", sedgeswitch.__version__)
    app.add(RunCommand())
    app.auto_exits(False)
    arguments = sys.argv[1:]
    if not arguments or arguments[0] != RunCommand.name:
        sys.argv[1:1] = [RunCommand.name]
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
