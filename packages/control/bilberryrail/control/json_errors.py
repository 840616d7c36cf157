"""Extraction of the field from an error that msgspec raised."""


def field_and_reason(error: Exception, whole: str) -> tuple[str, str]:
    """Split an error into the path of the field and the reason.

    Parameters
    ----------
    whole
        Name of the whole document, returned if the error names no field.
    """
    reason, _, path = str(error).partition(' - at `$')
    return path.strip('`.') or whole, reason
