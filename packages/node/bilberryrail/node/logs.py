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
    """Set the lowest level of log lines that are written."""
    logging.set_verbosity(_LEVELS[name])
    logging.set_stderrthreshold(_LEVELS[name])


def decisions_enabled() -> bool:
    """Return whether log lines about single decisions are written."""
    return logging.get_verbosity() >= logging.INFO


def decision(name: str, fields: Mapping[str, object]) -> None:
    """Write the log line of one decision.

    The fields are formatted only if the line is written.
    """
    if decisions_enabled():
        logging.info('%s', event_line(name, fields))


def warning(name: str, **fields: object) -> None:
    """Write a log line about a failure outside this process."""
    logging.warning('%s', event_line(name, fields))


def fault(name: str, **fields: object) -> None:
    """Write a log line about the exception that is being handled."""
    logging.exception('%s', event_line(name, fields))
