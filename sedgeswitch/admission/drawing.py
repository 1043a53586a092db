"""The task that sends an entry host's draws to the control leader."""

import typing

import trio

from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import messages
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks

CallDraw: typing.TypeAlias = typing.Callable[
    [messages.Draw], typing.Awaitable[messages.DrawReply]
]


async def run(
    limiter: host_limiter.HostLimiter,
    call_leader: CallDraw,
    settings: admission_settings.Settings | None = None,
) -> None:
    """Send draws and apply their replies, until cancelled.

    After a failed draw the next one is sent with a growing delay, of at most
    `settings.Settings.draw_timeout_s`.

    Parameters
    ----------
    limiter : host_limiter.HostLimiter
    call_leader : callable
        Sends a draw to the current leader and returns its reply; raises
        `transport.failures.CallError` if no leader can be reached.
    settings : settings.Settings, optional
    """
    given = admission_settings.Settings() if settings is None else settings
    pause_s = 0.0
    while True:
        now_s = clocks.get_now_s()
        next_s = limiter.get_next_draw_s(now_s)
        if next_s > now_s:
            with trio.move_on_after(next_s - now_s):
                await limiter.wait_until_draw_requested()
            continue
        if await _draw(limiter, call_leader):
            pause_s = 0.0
        else:
            pause_s = min(2 * pause_s + given.urgent_interval_s, given.draw_timeout_s)
            await trio.sleep(pause_s)


async def _draw(limiter: host_limiter.HostLimiter, call_leader: CallDraw) -> bool:
    """Send one draw and wait for its answer until its timeout.

    Returns
    -------
    bool
        False if the call failed; True if it was answered or timed out, so that an
        answer may still arrive.
    """
    sent_s = clocks.get_now_s()
    request = limiter.build_draw(sent_s)
    with limiter.wait_for_answer():
        try:
            reply = await call_leader(request)
        except failures.CallError:
            limiter.abandon_draw()
            return False
        limiter.receive_grants(reply, sent_s, clocks.get_now_s())
    return True
