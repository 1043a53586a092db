"""Tests of how an entry host finds the leader by hints, over real connections."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import messages
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.transport import server


class HintTest(unittest.TestCase):
    def test_leader_missing_in_settings_is_found_by_hint(self):
        trio.run(self._find_leader)

    async def _find_leader(self):
        async with trio.open_nursery() as nursery:
            leader = await self._serve(nursery, self._answer)
            detail = leader_hints.encode_hint("c4", leader)

            async def refuse(watch):
                raise failures.CallError(
                    leader_hints.NOT_LEADER, detail, verdicts.Verdict.NOT_RUN
                )

            known = await self._serve(nursery, refuse)
            control = heartbeat_client.ControlPeers({"c1": known})
            nursery.start_soon(control.run)
            with trio.fail_after(10):
                answer = await self._call_until_answered(control)
            self.assertTrue(answer.is_changed)
            nursery.cancel_scope.cancel()

    async def _answer(self, watch):
        return messages.WatchAnswer(True)

    async def _serve(self, nursery, handler):
        serving = server.Server()
        serving.register_handler(messages.Watch, handler)
        listeners = await nursery.start(serving.serve, "127.0.0.1", 0)
        return peer.Address("127.0.0.1", listeners[0].socket.getsockname()[1])

    async def _call_until_answered(self, control):
        while True:
            try:
                return await control.call(messages.Watch({}, 0), 1.0)
            except failures.CallError:
                await trio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
