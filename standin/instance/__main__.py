"""Command of the stand-in instance: ``python -m standin.instance``."""

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
    option("data-folder", None, "Folder of the data.", flag=False),
    option("host", None, "IP number.", flag=False, default="127.0.0.1"),
    option("port", None, "Port for clients.", flag=False, default="0"),
    option("announced-port", None, "Port to announce.", flag=False, default="0"),
    option("peer-port", None, "Port for instances.", flag=False, default="0"),
    option("control-port", None, "Port for tests.", flag=False, default="0"),
    option("primary", None, "Start as the primary if there are no data yet."),
    option("peers", None, "Peer ports, host:port,...", flag=False, default=""),
    option("announce-to", None, "Entry hosts, host:port,...", flag=False, default=""),
    option("announce-interval-s", None, "Interval.", flag=False, default="1"),
    option("availability-zone", None, "Zone to announce.", flag=False, default=""),
    option("labels", None, "Labels, name=value,...", flag=False, default=""),
    option("slots", None, "Statements at once.", flag=False, default="3"),
    option("max-connections", None, "Connections at once.", flag=False, default="20"),
    option("connect-delay-ms", None, "Connect delay.", flag=False, default="0"),
    option("statement-ms", None, "Service time.", flag=False, default="0"),
    option("replication-lag-ms", None, "Replay lag.", flag=False, default="0"),
    option("lock-timeout-ms", None, "Write lock wait.", flag=False, default="5000"),
]


class RunCommand(cleo.commands.command.Command):
    """Run one instance until it is told to end."""

    name = "run"
    description = "Run one stand-in instance of a PostgreSQL database group."
    options = _OPTIONS

    def handle(self) -> int:
        """Read the options and serve."""
        try:
            own = self._read_settings()
        except ValueError as error:
            self.line_error(f"<error>{error}</error>")
            return 2
        loguru.logger.configure(handlers=[{"sink": sys.stderr, "serialize": True}])
        try:
            trio.run(_run, own)
        except Exception:
            loguru.logger.exception("the instance ends by an error")
            return 1
        return 0

    def _read_settings(self) -> settings.Settings:
        for name in ("instance", "group", "data-folder"):
            if not self.option(name):
                raise ValueError(f"--{name}: expected a value, got nothing")
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
            peers=addresses.get_addresses(self.option("peers")),
            announce_to=addresses.get_addresses(self.option("announce-to")),
            availability_zone=self.option("availability-zone"),
            labels=settings.get_labels(self.option("labels")),
            slots=int(self.option("slots")),
            max_connections=int(self.option("max-connections")),
            connect_delay_ms=float(self.option("connect-delay-ms")),
            statement_ms=float(self.option("statement-ms")),
            replication_lag_ms=float(self.option("replication-lag-ms")),
            lock_timeout_ms=float(self.option("lock-timeout-ms")),
            announce_interval_s=float(self.option("announce-interval-s")),
        )


async def _run(own: settings.Settings) -> None:
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(program.run, own)
        print(msgspec.json.encode(ports._asdict()).decode(), flush=True)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()


def main() -> int:
    """Run the command line."""
    return commands.run_program("python -m standin.instance", RunCommand())


if __name__ == "__main__":
    sys.exit(main())
