"""Errors in settings files."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Why a settings file cannot be used.

    Attributes
    ----------
    filename
        Path of the file, as the caller gave it.
    field
        Dotted path of the field; empty if the error concerns the whole file.
    reason
        What is wrong.
    allowed
        What is allowed instead; empty if nothing more can be said.
    """

    filename: str
    field: str
    reason: str
    allowed: str = ''

    def __str__(self) -> str:
        """Format the error as one line for operators."""
        location = (
            f'{self.filename}: {self.field}' if self.field else self.filename
        )
        allowed = f'; allowed: {self.allowed}' if self.allowed else ''
        return f'{location}: {self.reason}{allowed}'
