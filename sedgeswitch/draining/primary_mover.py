"""Moves primaries off drained backend servers."""

import collections.abc
import typing

import loguru
import trio

from sedgeswitch import verdicts

# Time between two searches for moves that are needed, in seconds.
POLL_INTERVAL_S = 0.2
# Time after a rejected move at which the same group is tried again, in seconds.
RETRY_DELAY_S = 2.0


class PrimaryMove(typing.NamedTuple):
    """A planned move of a group's primary.

    Attributes
    ----------
    group : str
    instance : str
        The instance that should become the primary.
    alternatives : tuple of str
        Instances to try next, in this order, if one does not catch up.
    reason : str
        Why the present primary cannot stay, for the log.
    retry_delay_s : float
        Time before the group is tried again if the move ends with another primary,
        in seconds.
    """

    group: str
    instance: str
    reason: str = "drained"
    retry_delay_s: float = 0.0
    alternatives: tuple[str, ...] = ()


class DrainedPrimaryMover:
    """Moves the primary role off instances whose backend server is drained.

    Parameters
    ----------
    find_moves : callable
        ``find_moves(now_s)`` returns the moves that are needed; empty while this
        host does not lead.
    move_primary : async callable
        ``await move_primary(group, instance)``; raises `verdicts.RefusedError`
        if the move is rejected, after which it is retried in `RETRY_DELAY_S`.
        Otherwise it returns a report with the attribute ``new_primary``.
    """

    def __init__(
        self,
        find_moves: collections.abc.Callable[[float], list[PrimaryMove]],
        move_primary: collections.abc.Callable[
            [str, str], collections.abc.Awaitable[typing.Any]
        ],
    ):
        self._find_moves = find_moves
        self._move_primary = move_primary
        self._retry_at_s: dict[str, float] = {}
        self._moving: set[str] = set()
        # By group, the instances that did not catch up in time.
        self._failed_targets: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Start the moves that are needed, at most one per group, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now_s = trio.current_time()
                moves = self._find_moves(now_s)
                self._forget_other_groups({move.group for move in moves})
                for move in moves:
                    if self._is_due(move.group, now_s):
                        self._moving.add(move.group)
                        nursery.start_soon(self._move, move)
                await trio.sleep(POLL_INTERVAL_S)

    def _forget_other_groups(self, groups: set[str]) -> None:
        for group in self._failed_targets.keys() - groups:
            del self._failed_targets[group]

    def _take_target(self, move: PrimaryMove) -> str:
        """Return the first instance that has not failed; any after all have failed."""
        failed = self._failed_targets.setdefault(move.group, set())
        targets = (move.instance, *move.alternatives)
        if failed.issuperset(targets):
            failed.clear()
        return next(target for target in targets if target not in failed)

    def _is_due(self, group: str, now_s: float) -> bool:
        if group in self._moving:
            return False
        return now_s >= self._retry_at_s.get(group, 0.0)

    async def _move(self, move: PrimaryMove) -> None:
        target = self._take_target(move)
        loguru.logger.info(
            "primary move started",
            group=move.group,
            instance=target,
            reason=move.reason,
        )
        try:
            report = await self._move_primary(move.group, target)
            if report.new_primary != target:
                loguru.logger.warning(
                    "primary was not moved",
                    group=move.group,
                    instance=target,
                    primary=report.new_primary,
                )
                self._failed_targets.setdefault(move.group, set()).add(target)
                retry_at_s = trio.current_time() + move.retry_delay_s
                self._retry_at_s[move.group] = retry_at_s
        except verdicts.RefusedError as error:
            loguru.logger.warning("primary of {} stays: {}", move.group, error)
            self._retry_at_s[move.group] = trio.current_time() + RETRY_DELAY_S
        finally:
            self._moving.discard(move.group)
