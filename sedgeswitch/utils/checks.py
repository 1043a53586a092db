"""Checks of arguments and documents at the public edges.

Every check returns the value it was given, so that it can stand in an
assignment, and raises `CheckError` naming the field, what is allowed and what
was given.
"""

import typing


class CheckError(ValueError):
    """A field holds a value that is not allowed.

    Parameters
    ----------
    field : str
        Path of the field, such as ``organisations.ward-4.rate_per_s``.
    allowed : str
        What the field may hold.
    given : object
        What it held.
    """

    def __init__(self, field: str, allowed: str, given: object):
        super().__init__(f"{field}: expected {allowed}, got {given!r}")
        self.field = field
        self.allowed = allowed
        self.given = given


def check_range(
    field: str, value: float, low: float, high: float = float("inf")
) -> float:
    """Return `value` if ``low <= value <= high``.

    Raises
    ------
    CheckError
        If the value is not a number in the range.
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise CheckError(field, f"a number from {low} to {high}", value)
    return value


def check_name(field: str, value: object, longest: int = 64) -> str:
    """Return `value` if it is a name: letters, digits, ``-``, ``_`` and ``.``.

    Raises
    ------
    CheckError
        If the value is no text, is empty, too long or holds other characters.
    """
    allowed = f"1 to {longest} letters, digits, '-', '_' or '.'"
    if not isinstance(value, str) or not 1 <= len(value) <= longest:
        raise CheckError(field, allowed, value)
    if not all(char.isascii() and (char.isalnum() or char in "-_.") for char in value):
        raise CheckError(field, allowed, value)
    return value


def check_choice(field: str, value: object, choices: typing.Collection) -> object:
    """Return `value` if it is one of `choices`.

    Raises
    ------
    CheckError
        If the value is not among the choices.
    """
    if value not in choices:
        options = ", ".join(sorted(str(choice) for choice in choices))
        raise CheckError(field, f"one of {options}", value)
    return value
