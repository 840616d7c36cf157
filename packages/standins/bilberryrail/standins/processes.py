"""Child processes of a demo or a test, ended in every case.

``Children`` is a context manager: whatever it started is ended when it is
left, also after an error or Ctrl-C. Every process is addressed by its id.
"""

import itertools
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Self

LOOPBACK = '127.0.0.1'
POLL_INTERVAL_S = 0.05
#: Below the range that Linux takes ports for outgoing connections from; one
#: of those could take a chosen port before its process listens on it.
FIRST_PORT = 20_000
END_OF_PORTS = 32_768


class ProcessError(Exception):
    """A child process ended early, does not listen, or does not end."""


@dataclass(frozen=True, slots=True)
class Child:
    """A started process and the file that holds its output."""

    name: str
    process: subprocess.Popen[bytes]
    output: pathlib.Path

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of output."""
        text = self.output.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-lines:])


def free_ports(count: int) -> tuple[int, ...]:
    """Choose loopback ports that nothing listens on now."""
    # Not seeded: others on this host choose ports at the same time.
    ports = range(FIRST_PORT, END_OF_PORTS)
    candidates = random.SystemRandom().sample(ports, len(ports))
    return tuple(itertools.islice(filter(_is_free, candidates), count))


class Children:
    """Starts Python modules as child processes and ends them.

    Attributes
    ----------
    directory
        Temporary directory for settings files and output; removed at the end.
    stop_timeout_s
        Time between SIGTERM and SIGKILL.
    """

    def __init__(self, stop_timeout_s: float = 5.0) -> None:
        self.stop_timeout_s = stop_timeout_s
        self.children: list[Child] = []
        self._temporary = tempfile.TemporaryDirectory(prefix='bilberryrail-')
        self.directory = pathlib.Path(self._temporary.name)

    def __enter__(self) -> Self:
        """Return itself; children are started one by one."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every child and remove the directory."""
        self.stop(self.children)
        self._temporary.cleanup()

    def start(self, name: str, module: str, *arguments: str) -> Child:
        """Start ``python -m module arguments``."""
        # Numbered, because a process may be started again under its name.
        output = self.directory / f'{name}-{len(self.children)}.log'
        with output.open('wb') as sink:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=subprocess.STDOUT,
            )
        child = Child(name, process, output)
        self.children.append(child)
        return child

    def write(self, name: str, body: bytes) -> pathlib.Path:
        """Write a file for a child into the directory."""
        path = self.directory / name
        path.write_bytes(body)
        return path

    def wait_until_listening(
        self,
        child: Child,
        ports: Sequence[int],
        timeout_s: float = 20.0,
    ) -> None:
        """Wait until a child accepts connections on all ports.

        Raises
        ------
        ProcessError
            If the child ends first or the time is up.
        """
        deadline = time.monotonic() + timeout_s
        waiting = list(ports)
        while waiting:
            waiting = [port for port in waiting if not _accepts(port)]
            if child.process.poll() is not None:
                raise ProcessError(f'{child.name} ended early:\n{child.tail()}')
            if waiting and time.monotonic() > deadline:
                raise ProcessError(
                    f'{child.name} does not listen on {waiting} after '
                    f'{timeout_s} s:\n{child.tail()}',
                )
            time.sleep(POLL_INTERVAL_S if waiting else 0)

    def wait_for_output(
        self,
        child: Child,
        text: str,
        timeout_s: float = 20.0,
    ) -> None:
        """Wait until a child has written a text.

        Raises
        ------
        ProcessError
            If the child ends first or the time is up.
        """
        deadline = time.monotonic() + timeout_s
        while text not in child.output.read_text(errors='replace'):
            if child.process.poll() is not None:
                raise ProcessError(f'{child.name} ended early:\n{child.tail()}')
            if time.monotonic() > deadline:
                raise ProcessError(
                    f'{child.name} did not write {text!r} within '
                    f'{timeout_s} s:\n{child.tail()}',
                )
            time.sleep(POLL_INTERVAL_S)

    def stop(self, children: Sequence[Child]) -> dict[str, int]:
        """Send SIGTERM to children, then SIGKILL to those that stay.

        Returns
        -------
        dict
            Exit status by name; negative for a signal.
        """
        for started in children:
            if started.process.poll() is None:
                started.process.terminate()
        deadline = time.monotonic() + self.stop_timeout_s
        return {
            child.name: _wait_or_kill(child.process, deadline)
            for child in children
        }


def _wait_or_kill(process: subprocess.Popen[bytes], deadline: float) -> int:
    try:
        return process.wait(max(deadline - time.monotonic(), 0))
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def _is_free(port: int) -> bool:
    with socket.socket() as unbound:
        try:
            unbound.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def _accepts(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(1)
        return probe.connect_ex((LOOPBACK, port)) == 0
