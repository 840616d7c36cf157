"""Errors of the control layer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IntentError:
    """An intent that cannot be read or that contradicts itself.

    ``field`` names the place in the intent, for example ``services[0].limits``.
    """

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class PlanError:
    """An intent that does not fit the state, or a plan that cannot be read."""

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotError:
    """A snapshot whose parts are complete but do not hold a state."""

    reason: str
