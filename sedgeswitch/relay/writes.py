"""Single writes: on the primary, answered once the permit still holds."""

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import table
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import context
from sedgeswitch.relay import links
from sedgeswitch.relay import reads
from sedgeswitch.relay import steps
from sedgeswitch.utils import clocks

# Failures which say that the write has not run, so that it may be sent again.
_NOT_RUN = frozenset(
    [
        sessions.Failure.OVERLOADED,
        sessions.Failure.READ_ONLY,
        sessions.Failure.WRONG_INSTANCE,
        sessions.Failure.TOO_MANY_CONNECTIONS,
        sessions.Failure.UNKNOWN_STATEMENT,
    ]
)


class Writer:
    """Runs single writes.

    Parameters
    ----------
    components : context.Components
    """

    def __init__(self, components: context.Components):
        self._components = components

    async def run(
        self, access: accesses.Access, deadline_s: float, run: reads.Run
    ) -> sessions.Reply:
        """Run a write and return the reply once it may be answered.

        Raises
        ------
        steps.FailedError
            ``IN_DOUBT`` if the write may have run, else a failure which says that
            nothing is kept.
        """
        refused = context.build_pauses(self._components)
        while True:
            permit = await reads.wait_permit(
                self._components, access.database.group, deadline_s
            )
            try:
                reply = await self._run_under(permit, access, deadline_s, run)
            except steps.FailedError as error:
                if not error.is_retryable:
                    raise
                reply = build_not_run(error.detail)
            if reply.failure is None:
                confirm(self._components, permit, reply)
                return reply
            pause_s = refused.next_delay_s()
            is_late = trio.current_time() + pause_s >= deadline_s
            if reply.failure not in _NOT_RUN or is_late:
                return reply
            await trio.sleep(pause_s)

    async def _run_under(
        self,
        permit: table.WritePermit,
        access: accesses.Access,
        deadline_s: float,
        run: reads.Run,
    ) -> sessions.Reply:
        components = self._components
        server = context.get_primary(components, permit)
        is_sent = False
        reply = None
        with (
            trio.move_on_at(deadline_s),
            components.interrupter.interruptible(permit),
        ):
            async with links.hold_link(
                components.backends, server, access.organisation, deadline_s
            ) as link:
                # The wait for a connection may have outlasted the permit.
                if not components.groups.is_permit_valid(permit, clocks.get_now_s()):
                    return build_not_run("the primary is being replaced")
                sent_s = clocks.get_now_s()
                is_sent = True
                try:
                    reply = await run(link, None)
                except sessions.ConnectionLostError:
                    components.local_observations.record_no_answer(server.instance)
        if reply is None:
            if is_sent:
                raise build_doubt("no answer to the write")
            return build_not_run("the primary was replaced or had no free connection")
        components.local_observations.record_reply(server.instance, reply)
        components.local_observations.record_primary_reply(permit, sent_s, reply)
        return reply


def confirm(
    components: context.Components, permit: table.WritePermit, reply: sessions.Reply
) -> None:
    """Return if a commit may be answered as done.

    Raises
    ------
    steps.FailedError
        ``IN_DOUBT`` if the primary may have been replaced meanwhile.
    """
    if not components.groups.is_permit_valid(permit, clocks.get_now_s()):
        raise build_doubt("the primary was replaced before the answer came")
    if reply.position is not None:
        components.observations.record_acknowledged(permit.group, reply.position)


def build_doubt(detail: str) -> steps.FailedError:
    """Return the failure of work that may have been kept."""
    return steps.FailedError(sessions.Failure.IN_DOUBT, detail)


def build_not_run(detail: str) -> sessions.Reply:
    """Return a reply that stands for a try which has not run."""
    return sessions.Reply(
        (), b"", sessions.Failure.OVERLOADED, detail, False, False, None
    )
