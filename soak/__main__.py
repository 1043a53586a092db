"""Command line of the fault soak: ``python -m soak``."""

import pathlib
import sys

import cleo.commands.command
import cleo.helpers

from benchmarks import processes
from sedgeswitch.utils import checks
from soak import run
from standin import commands

FIRST_PORT = 21000

option = cleo.helpers.option


class RunCommand(cleo.commands.command.Command):
    """Run one or more seeds sequentially."""

    name = "run"
    description = "Run a fleet under random faults and check its guarantees."
    options = [
        option(
            "seeds", None, "One seed, or a range FIRST-LAST.", flag=False, default="1"
        ),
        option(
            "duration-s",
            None,
            "Seconds of load in each run, at least 10.",
            flag=False,
            default="30",
        ),
        option(
            "first-port",
            None,
            "First of 100 free ports.",
            flag=False,
            default=str(FIRST_PORT),
        ),
        option(
            "folder", None, "Folder for data and logs.", flag=False, default="run/soak"
        ),
    ]

    def handle(self) -> int:
        """Run the seeds and return 1 if a run violated a guarantee, else 0."""
        processes.exit_on_sigterm()
        failed = []
        for seed in self._read_seeds():
            try:
                result = run.run(self._build_options(seed))
            except OSError as error:
                print(f"seed {seed}: not completed: {error}", flush=True)
                failed.append(seed)
                continue
            print(
                f"seed {seed}: {result.faults} faults, {result.changes} changes,"
                f" {result.success_share:.4f} of requests succeeded,"
                f" {len(result.violations)} violations",
                flush=True,
            )
            for violation in result.violations:
                print(f"  seed {seed}: {violation}", flush=True)
            if result.violations:
                failed.append(seed)
        print(f"failed seeds: {failed or 'none'}")
        return 1 if failed else 0

    def _read_seeds(self) -> range:
        first, _, last = self.option("seeds").partition("-")
        if not first.isdigit() or (last and not last.isdigit()):
            raise checks.CheckError(
                "--seeds", "a seed N or a range N-M", self.option("seeds")
            )
        return range(int(first), int(last or first) + 1)

    def _build_options(self, seed: int) -> run.Options:
        duration_s = float(self.option("duration-s"))
        return run.Options(
            seed,
            checks.check_range("--duration-s", duration_s, 10.0),
            int(self.option("first-port")),
            pathlib.Path(self.option("folder")).resolve() / f"seed-{seed}",
        )


def main() -> int:
    """Run the command and return its exit code."""
    return commands.run_program("python -m soak", RunCommand())


if __name__ == "__main__":
    sys.exit(main())
