"""Least squares: how a measured figure grows with a size."""

import statistics
import typing


class Line(typing.NamedTuple):
    """A straight line through measured points.

    Attributes
    ----------
    intercept : float
    slope : float
    """

    intercept: float
    slope: float

    def get_at(self, size: float) -> float:
        """Return the figure at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: typing.Sequence[float], figures: typing.Sequence[float]) -> Line:
    """Return the line of least squares."""
    slope, intercept = statistics.linear_regression(sizes, figures)
    return Line(intercept, slope)
