"""Orders to promote an instance, given to the platform over HTTP."""

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
# Pause before an order that was not taken is given again, in seconds.
RETRY_DELAY_S = 0.2
_OK = 200


class _ResponseReader:
    """Collects the status of one response."""

    def __init__(self):
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        self.is_complete = True


class PromotionClient:
    """Gives orders to promote in the name of one holder.

    Parameters
    ----------
    address : peer.Address or None
        Where the platform takes them; None if it takes none.
    holder : str
    is_holder : callable
        Tells whether this process still holds the duty.
    """

    def __init__(self, address: peer.Address | None, holder: str, is_holder):
        self._address = address
        self._holder = holder
        self._is_holder = is_holder

    async def promote(self, order: instances.PromotionOrder, timeout_s: float) -> None:
        """Give an order until the platform takes it or the time is over."""
        if self._address is None:
            loguru.logger.error("no address for promotions")
            return
        with trio.move_on_after(timeout_s):
            while self._is_holder(order.leadership_term):
                status = await self._try(order)
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

    async def _try(self, order: instances.PromotionOrder) -> int:
        """Return the status of the platform's response, 0 for none."""
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
            loguru.logger.warning("the platform took no order: {}", error)
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
