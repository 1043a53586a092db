"""Sends orders to promote an instance to the platform over HTTP."""

import httptools
import loguru
import msgspec
import trio

from sedgeswitch.groups import instances
from sedgeswitch.platform import instance_driver
from sedgeswitch.transport import peer

PATH = "/promotion"
HOLDER_HEADER = "X-Sedgeswitch-Duty-Holder"
TOKEN_HEADER = "X-Sedgeswitch-Fencing-Token"
RECEIVE_BYTES = 4096
# Delay before an order that was not accepted is sent again, in seconds.
RETRY_DELAY_S = 0.2
_OK = 200


class _ResponseReader:
    """Parses one response up to its end."""

    def __init__(self):
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        self.is_complete = True


class PromotionClient:
    """Sends promotion orders on behalf of the holder of the promotion duty.

    The holder is the leader of the control hosts; its term is sent as the fencing
    token.

    Parameters
    ----------
    address : peer.Address or None
        Where the platform accepts orders; None if it does not.
    holder : str
        Name of this host as the holder of the duty.
    is_holder : callable
        Returns whether this process is still the leader in a given term.
    """

    def __init__(self, address: peer.Address | None, holder: str, is_holder):
        self._address = address
        self._holder = holder
        self._is_holder = is_holder

    async def promote(self, order: instances.PromotionOrder, timeout_s: float) -> None:
        """Send an order until the platform accepts it.

        Sending also ends after `timeout_s`, or when this process is no longer the
        leader in the order's term.
        """
        if self._address is None:
            loguru.logger.error(
                "no promotion ordered: the settings hold no cloudApi.address"
            )
            return
        with trio.move_on_after(timeout_s):
            while self._is_holder(order.leadership_term):
                status = await self._send_order(order)
                loguru.logger.info(
                    "promotion ordered",
                    group=order.group,
                    instance=order.instance,
                    token=order.leadership_term,
                    status=status,
                )
                if status == _OK:
                    return
                await trio.sleep(RETRY_DELAY_S)

    async def _send_order(self, order: instances.PromotionOrder) -> int:
        """Send an order once and return the response's status, 0 without response."""
        stream = None
        try:
            stream = await instance_driver.open_stream(*self._address)
            await stream.send_all(self._encode(order))
            reader = _ResponseReader()
            while not reader.is_complete:
                data = await stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                reader.parser.feed_data(data)
            return reader.parser.get_status_code() if reader.is_complete else 0
        except (OSError, trio.BrokenResourceError, httptools.HttpParserError) as error:
            loguru.logger.warning("could not deliver the promotion order: {}", error)
            return 0
        finally:
            if stream is not None:
                await trio.aclose_forcefully(stream)

    def _encode(self, order: instances.PromotionOrder) -> bytes:
        body = msgspec.json.encode({"service": order.group, "id": order.instance})
        lines = [
            f"POST {PATH} HTTP/1.1",
            f"Host: {self._address}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            f"{HOLDER_HEADER}: {self._holder}",
            f"{TOKEN_HEADER}: {order.leadership_term}",
            "Connection: close",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
