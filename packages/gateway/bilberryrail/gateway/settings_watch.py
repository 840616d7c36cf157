"""Detects changes of the settings file and reloads it."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from bilberryrail.gateway.settings import GatewaySettings, read_settings
from bilberryrail.gateway.tasks import PeriodicTask

#: Interval at which the settings file is checked, in seconds; it may change
#: without a signal to the process.
CHECK_INTERVAL_S: Final = 1.0


class SettingsWatch:
    """Reloads the settings when their file changes, or on demand.

    Attributes
    ----------
    settings
        Settings that currently apply.
    on_changed
        Called with the new settings.
    """

    def __init__(
        self,
        reactor: Any,
        path: Path,
        settings: GatewaySettings,
        log: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.path = path
        self.settings = settings
        self.log = log
        self.on_changed: Callable[[GatewaySettings], None] | None = None
        self._last_stamp = self._file_stamp()
        self.check = PeriodicTask(reactor, CHECK_INTERVAL_S, self._check, log)

    def start(self) -> None:
        """Start to check the file periodically."""
        self.check.start()

    def reload(self) -> None:
        """Read the settings again; keep the current ones if they are invalid.

        Changes of the listening addresses are ignored.
        """
        self._last_stamp = self._file_stamp()
        found = read_settings(self.path)
        if found.is_err():
            self.log('reload_failed', reason=str(found.unwrap_err()))
            return
        settings = found.unwrap()
        if settings.listen != self.settings.listen:
            self.log('reload_ignored', field='listen')
        self.settings = settings
        self.log('reload', service=settings.service, backend=settings.backend)
        if self.on_changed is not None:
            self.on_changed(settings)

    def _check(self) -> None:
        if self._file_stamp() != self._last_stamp:
            self.reload()

    def _file_stamp(self) -> tuple[int, int]:
        try:
            found = self.path.stat()
        except OSError as error:
            self.log('settings_unreadable', reason=error.strerror)
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
