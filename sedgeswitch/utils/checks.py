"""Validation of arguments and documents at public interfaces.

Each check returns the validated value, so that it can be used in an assignment,
or raises a `CheckError` with the field, the allowed values and the value given.
"""

import typing


class CheckError(ValueError):
    """A field has an invalid value.

    Parameters
    ----------
    field : str
        Path of the field, such as ``organisations.ward-4.rate_per_s``.
    allowed : str
        Description of the allowed values; it follows "expected" in the message.
    given : object
        The invalid value.
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
        If the value is not a number or not in the range.
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise CheckError(field, f"a number from {low} to {high}", value)
    return value


def check_name(field: str, value: object, max_length: int = 64) -> str:
    """Return `value` if it consists of ASCII letters, digits, ``-``, ``_`` and ``.``.

    Raises
    ------
    CheckError
        If the value is not a string, is empty, is longer than `max_length` or
        contains other characters.
    """
    allowed = f"1 to {max_length} letters, digits, '-', '_' or '.'"
    if not isinstance(value, str) or not 1 <= len(value) <= max_length:
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
