"""Errors of the control layer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IntentError:
    """An intent cannot be decoded or contradicts itself.

    ``field`` is the path within the intent, for example ``services[0].limits``.
    """

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class PlanError:
    """An intent does not fit the state, or a plan cannot be decoded."""

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotError:
    """All parts of a snapshot are present but form no valid state."""

    reason: str
