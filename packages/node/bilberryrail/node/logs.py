"""Log lines of the form ``event=<name> key=value ...``."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from absl import logging

from bilberryrail.core.log_lines import event_line

_LEVELS: Final = MappingProxyType(
    {
        'debug': logging.DEBUG,
        'info': logging.INFO,
        'warning': logging.WARNING,
        'error': logging.ERROR,
    },
)


def set_level(name: str) -> None:
    """Choose the lowest level that is written."""
    logging.set_verbosity(_LEVELS[name])
    logging.set_stderrthreshold(_LEVELS[name])


def decisions_enabled() -> bool:
    """Tell whether lines about single decisions are written."""
    return logging.get_verbosity() >= logging.INFO


def decision(name: str, fields: Mapping[str, object]) -> None:
    """Write the line of one decision; formats only if it is written."""
    if decisions_enabled():
        logging.info('%s', event_line(name, fields))


def warning(name: str, **fields: object) -> None:
    """Write a line about something that went wrong outside this process."""
    logging.warning('%s', event_line(name, fields))


def fault(name: str, **fields: object) -> None:
    """Write a line about an exception that is being handled."""
    logging.exception('%s', event_line(name, fields))
