"""Position tokens: the positions that a caller has seen, stored by the caller.

A token lists a position for each database group that the caller has written to or
read from. A read that sends the token back is at least as fresh, on any entry host,
without a request to another host.
"""

import re

import expression

from sedgeswitch.groups import positions

MAX_TOKEN_LENGTH = 2048
MAX_GROUPS = 16
_GROUP_SEPARATOR = ","
_PART_SEPARATOR = ":"
_EXPECTED_FORMAT = "expected group:timeline:position, separated by commas"
_PART = re.compile(r"([!-+\--9;-~]{1,64}):([0-9]{1,10}):([0-9a-f]{1,16})")

Decoded = expression.Result[dict[str, positions.Position], str]


def encode_token(floors: dict[str, positions.Position]) -> str:
    """Return the token for the given position of each group.

    Examples
    --------
    >>> encode_token({"draw": positions.Position(2, 255)})
    'draw:2:ff'
    """
    parts = [
        f"{group}{_PART_SEPARATOR}{position.timeline}{_PART_SEPARATOR}{position.lsn:x}"
        for group, position in floors.items()
    ]
    return _GROUP_SEPARATOR.join(parts)


def decode_token(token: str) -> Decoded:
    """Return the position of each group in a token, or why it is not valid.

    Examples
    --------
    >>> decode_token("draw:2:ff").ok
    {'draw': Position(timeline=2, lsn=255)}
    """
    if len(token) > MAX_TOKEN_LENGTH:
        return expression.Error(
            f"expected at most {MAX_TOKEN_LENGTH} characters, got {len(token)}"
        )
    floors = {}
    for part in token.split(_GROUP_SEPARATOR):
        fields = _PART.fullmatch(part)
        if fields is None:
            return expression.Error(_EXPECTED_FORMAT)
        group, timeline, lsn = fields.groups()
        floors[group] = positions.Position(int(timeline), int(lsn, 16))
    return expression.Ok(floors)


def merge_floor(
    first: positions.Position | None, second: positions.Position | None
) -> positions.Position | None:
    """Return a floor that is at least as high as both, None if both are None."""
    if first is None or second is None:
        return first or second
    return positions.Position(
        max(first.timeline, second.timeline), max(first.lsn, second.lsn)
    )


def add_floor(
    floors: dict[str, positions.Position], group: str, position: positions.Position
) -> dict[str, positions.Position]:
    """Return floors in which that of `group` is at least as high as `position`.

    At most `MAX_GROUPS` groups are kept: those that were changed longest ago are
    removed. The replicas of the session's floors still hold their positions.
    """
    others = {name: floor for name, floor in floors.items() if name != group}
    merged = merge_floor(floors.get(group), position) or position
    recent = list(others.items())[-(MAX_GROUPS - 1) :]
    return {**dict(recent), group: merged}
