"""Command line of the stand-in instance: ``python -m standin.instance``."""

import pathlib
import signal
import sys

import cleo.commands.command
import cleo.helpers
import loguru
import msgspec
import trio

from standin import addresses
from standin import commands
from standin.instance import program
from standin.instance import settings

option = cleo.helpers.option

_OPTIONS = [
    option("instance", None, "Name of the instance.", flag=False),
    option("group", None, "Name of the database group.", flag=False),
    option("data-folder", None, "Folder of the SQLite file.", flag=False),
    option(
        "host",
        None,
        "IP address to listen on and to announce.",
        flag=False,
        default="127.0.0.1",
    ),
    option("port", None, "Port for clients; 0 for any.", flag=False, default="0"),
    option(
        "announced-port",
        None,
        "Port to announce; 0 for the client port.",
        flag=False,
        default="0",
    ),
    option(
        "peer-port", None, "Port for replication; 0 for any.", flag=False, default="0"
    ),
    option(
        "control-port",
        None,
        "Port for statistics and faults; 0 for any.",
        flag=False,
        default="0",
    ),
    option("primary", None, "Start as the primary if the data folder holds no data."),
    option(
        "peers",
        None,
        "Peer ports of the other instances, host:port,...",
        flag=False,
        default="",
    ),
    option("announce-to", None, "Entry hosts, host:port,...", flag=False, default=""),
    option("announce-interval-s", None, "Interval.", flag=False, default="1"),
    option(
        "availability-zone",
        None,
        "Availability zone to announce.",
        flag=False,
        default="",
    ),
    option(
        "labels", None, "Labels to announce, name=value,...", flag=False, default=""
    ),
    option(
        "slots",
        None,
        "Maximum number of concurrent statements.",
        flag=False,
        default="3",
    ),
    option(
        "max-connections",
        None,
        "Maximum number of open connections.",
        flag=False,
        default="20",
    ),
    option(
        "connect-delay-ms",
        None,
        "Delay of each new connection.",
        flag=False,
        default="0",
    ),
    option(
        "statement-ms", None, "Service time of a statement.", flag=False, default="0"
    ),
    option(
        "replication-lag-ms",
        None,
        "Delay before a log entry is applied.",
        flag=False,
        default="0",
    ),
    option(
        "lock-timeout-ms",
        None,
        "Timeout of waiting for the write lock.",
        flag=False,
        default="5000",
    ),
]


class RunCommand(cleo.commands.command.Command):
    """Run one instance until it receives SIGTERM or SIGINT."""

    name = "run"
    description = "Run one stand-in instance of a PostgreSQL database group."
    options = _OPTIONS

    def handle(self) -> int:
        """Serve until stopped; return the exit status.

        The status is 0 after a signal, 1 after an unexpected error and 2 if an
        option is not valid.
        """
        try:
            instance_settings = self._read_settings()
        except ValueError as error:
            self.line_error(f"<error>{error}</error>")
            return 2
        loguru.logger.configure(handlers=[{"sink": sys.stderr, "serialize": True}])
        try:
            trio.run(_run, instance_settings)
        except Exception:
            loguru.logger.exception("instance stopped by an unexpected error")
            return 1
        return 0

    def _read_settings(self) -> settings.Settings:
        for name in ("instance", "group", "data-folder"):
            if not self.option(name):
                raise ValueError(f"--{name}: expected a non-empty value, got nothing")
        return settings.Settings(
            instance=self.option("instance"),
            group=self.option("group"),
            data_folder=pathlib.Path(self.option("data-folder")),
            host=self.option("host"),
            port=int(self.option("port")),
            announced_port=int(self.option("announced-port")),
            peer_port=int(self.option("peer-port")),
            control_port=int(self.option("control-port")),
            is_first_primary=self.option("primary"),
            peers=addresses.parse_addresses(self.option("peers")),
            announce_to=addresses.parse_addresses(self.option("announce-to")),
            availability_zone=self.option("availability-zone"),
            labels=settings.parse_labels(self.option("labels")),
            slots=int(self.option("slots")),
            max_connections=int(self.option("max-connections")),
            connect_delay_ms=float(self.option("connect-delay-ms")),
            statement_ms=float(self.option("statement-ms")),
            replication_lag_ms=float(self.option("replication-lag-ms")),
            lock_timeout_ms=float(self.option("lock-timeout-ms")),
            announce_interval_s=float(self.option("announce-interval-s")),
        )


async def _run(instance_settings: settings.Settings) -> None:
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(program.run, instance_settings)
        print(msgspec.json.encode(ports._asdict()).decode(), flush=True)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()


def main() -> int:
    """Run the command line."""
    return commands.run_program("python -m standin.instance", RunCommand())


if __name__ == "__main__":
    sys.exit(main())
