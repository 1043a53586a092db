"""Moves primaries off drained backend servers."""

import collections.abc
import typing

import loguru
import trio

from sedgeswitch import verdicts

INTERVAL_S = 0.2
RETRY_S = 2.0


class Move(typing.NamedTuple):
    """A primary that should move.

    Attributes
    ----------
    group : str
    instance : str
        Where to.
    """

    group: str
    instance: str


class Mover:
    """Moves the primary of each group whose primary is drained.

    Parameters
    ----------
    find_moves : callable
        ``find_moves(now_s)`` returns the moves that are due; empty while this
        host does not lead.
    move_primary : async callable
        ``await move_primary(group, instance)``; raises
        `verdicts.RefusedError`.
    """

    def __init__(
        self,
        find_moves: collections.abc.Callable[[float], list[Move]],
        move_primary: collections.abc.Callable[
            [str, str], collections.abc.Awaitable[typing.Any]
        ],
    ):
        self._find_moves = find_moves
        self._move_primary = move_primary
        self._retry_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Move primaries until cancelled."""
        while True:
            now_s = trio.current_time()
            for move in self._find_moves(now_s):
                if now_s >= self._retry_at_s.get(move.group, 0.0):
                    await self._move(move)
            await trio.sleep(INTERVAL_S)

    async def _move(self, move: Move) -> None:
        try:
            await self._move_primary(move.group, move.instance)
        except verdicts.RefusedError as error:
            loguru.logger.warning("primary of {} stays: {}", move.group, error)
            self._retry_at_s[move.group] = trio.current_time() + RETRY_S
