"""Least-squares fit of a measured value by the size of a fleet."""

import statistics
import typing


class Line(typing.NamedTuple):
    """A straight line fitted to measured points.

    Attributes
    ----------
    intercept : float
        Value at size 0.
    slope : float
        Increase of the value per unit of size.
    """

    intercept: float
    slope: float

    def get_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: typing.Sequence[float], values: typing.Sequence[float]) -> Line:
    """Return the least-squares line of values by size."""
    slope, intercept = statistics.linear_regression(sizes, values)
    return Line(intercept, slope)
