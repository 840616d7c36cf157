"""Reads the place out of an error that msgspec raised."""


def field_and_reason(error: Exception, whole: str) -> tuple[str, str]:
    """Split an error into the field it concerns and what is wrong there.

    Parameters
    ----------
    whole
        Name of the document, used if the error names no field.
    """
    reason, _, path = str(error).partition(' - at `$')
    return path.strip('`.') or whole, reason
