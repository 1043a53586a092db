"""Runs single writes on the primary.

A write is acknowledged only if the permit is still valid when its reply arrives.
"""

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import table
from sedgeswitch.observability import stages
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import reads
from sedgeswitch.relay import steps
from sedgeswitch.scheduling import work as works
from sedgeswitch.utils import clocks

# Failures after which the write has not run, so that it may be sent again.
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
    """Runs single writes, outside a transaction, on the primary.

    Parameters
    ----------
    components : context.Components
    """

    def __init__(self, components: context.Components):
        self._components = components

    async def run(
        self, access: accesses.Access, deadline_s: float, run: reads.Run
    ) -> sessions.Reply:
        """Run a write and return the reply.

        Retries with backoff until the deadline while the write has not run.

        Parameters
        ----------
        access : access.Access
        deadline_s : float
            On trio's clock.
        run : callable
            Sends the write; see `reads.Run`.

        Raises
        ------
        steps.FailedError
            ``IN_DOUBT`` if the write may have run, otherwise a failure after which it
            has no effect.
        """
        context.check_any_eligible(self._components, access)
        backoff = context.build_backoff(self._components)
        while True:
            permit = await reads.wait_for_permit(
                self._components, access.database.group, deadline_s
            )
            before_lsn = self._components.local_observations.get_primary_lsn(permit)
            try:
                reply = await self._run_under_permit(permit, access, deadline_s, run)
            except cold_instances.ColdInstanceError as error:
                reply = build_not_run(error.detail)
                left_s = deadline_s - trio.current_time()
                if left_s < cold_instances.MIN_RETRY_LEFT_S:
                    return reply
            except steps.FailedError as error:
                if not error.is_retryable:
                    raise
                reply = build_not_run(error.detail)
            if reply.failure is None:
                confirm_commit(self._components, permit, reply, before_lsn)
                return reply
            pause_s = backoff.next_delay_s()
            is_late = trio.current_time() + pause_s >= deadline_s
            if reply.failure not in _NOT_RUN or is_late:
                return reply
            await stages.sleep(pause_s)

    async def _run_under_permit(
        self,
        permit: table.WritePermit,
        access: accesses.Access,
        deadline_s: float,
        run: reads.Run,
    ) -> sessions.Reply:
        components = self._components
        server = context.get_primary_server(components, permit, access)
        work = context.build_work(components, access, works.Kind.WRITE, deadline_s)
        is_sent = False
        reply = None
        with (
            trio.move_on_at(deadline_s),
            components.interrupter.interruptible(permit),
        ):
            async with connections.hold_connection(
                components.connector,
                server,
                access.organisation,
                deadline_s,
                access.allowed_regions,
                work,
            ) as acquired:
                # The permit may have ended while this write waited for a connection.
                if not components.groups.is_permit_valid(permit, clocks.get_now_s()):
                    return build_not_run(
                        "the primary is being replaced, or this host lost its lease"
                    )
                refusal = context.find_refusal(components, acquired)
                if refusal is not None:
                    return build_not_run(refusal)
                sent_s = clocks.get_now_s()
                is_sent = True
                try:
                    reply = await run(acquired, None)
                except sessions.ConnectionLostError:
                    components.local_observations.record_no_answer(server.instance)
        if reply is None:
            if is_sent:
                raise build_in_doubt("no answer to the write; it may have run")
            return build_not_run("the primary was replaced or had no free connection")
        components.local_observations.record_reply(server.instance, reply)
        components.local_observations.record_primary_reply(permit, sent_s, reply)
        return reply


def confirm_commit(
    components: context.Components,
    permit: table.WritePermit,
    reply: sessions.Reply,
    before_lsn: int,
) -> None:
    """Record a commit as acknowledged, if the permit is still valid.

    Call it before the commit is answered as successful.

    Parameters
    ----------
    components : context.Components
    permit : table.WritePermit
    reply : sessions.Reply
    before_lsn : int
        `context.LocalObservations.get_primary_lsn` before the commit was sent.

    Raises
    ------
    steps.FailedError
        ``IN_DOUBT`` if the primary may have been replaced, or this host lost its lease,
        since the commit was sent.
    """
    if not components.groups.is_permit_valid(permit, clocks.get_now_s()):
        raise build_in_doubt(
            "the primary was replaced, or this host lost its lease, before the answer"
            " arrived"
        )
    components.observations.record_acknowledged(
        permit.group, permit.timeline, reply.position, before_lsn
    )


def build_in_doubt(detail: str) -> steps.FailedError:
    """Return the failure of a write or commit that may have run."""
    return steps.FailedError(sessions.Failure.IN_DOUBT, detail)


def build_not_run(detail: str) -> sessions.Reply:
    """Return a reply for an attempt that did not run."""
    return sessions.Reply(
        (), b"", sessions.Failure.OVERLOADED, detail, False, False, None
    )
