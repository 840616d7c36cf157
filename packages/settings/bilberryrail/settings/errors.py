"""Errors of the settings layer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Why a settings file cannot be used.

    Attributes
    ----------
    filename
        Path as it was given.
    field
        Dotted name of the field; empty when the whole file is meant.
    reason
        What is wrong.
    allowed
        What is allowed instead.
    """

    filename: str
    field: str
    reason: str
    allowed: str = ''

    def __str__(self) -> str:
        """Write the error as one line for the operator."""
        place = (
            f'{self.filename}: {self.field}' if self.field else self.filename
        )
        allowed = f'; allowed: {self.allowed}' if self.allowed else ''
        return f'{place}: {self.reason}{allowed}'
