"""Child processes of a demo or a test.

``Children`` is a context manager that ends every process it has started when
its block is left, also after an error or Ctrl-C. Signals are sent only to
processes that it has started itself, by their process ids.
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
#: Ports are chosen from here up to, but excluding, ``PORTS_END``. The range
#: lies below the one from which Linux takes ports for outgoing connections,
#: because such a connection could occupy a chosen port before its process
#: listens on it.
MIN_PORT = 20_000
PORTS_END = 32_768


class ProcessError(Exception):
    """A child process ended too early, failed, or did not react in time."""


@dataclass(frozen=True, slots=True)
class Child:
    """A started process and the file that receives its output."""

    name: str
    process: subprocess.Popen[bytes]
    output: pathlib.Path

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of the output."""
        text = self.output.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-lines:])


def free_ports(count: int) -> tuple[int, ...]:
    """Choose loopback ports that are currently unused."""
    # Not seeded, because other processes on this host choose ports at the
    # same time.
    ports = range(MIN_PORT, PORTS_END)
    candidates = random.SystemRandom().sample(ports, len(ports))
    return tuple(itertools.islice(filter(_is_free, candidates), count))


class Children:
    """Starts Python modules as child processes and ends them.

    Attributes
    ----------
    directory
        Temporary directory for settings files and output; removed on exit.
    stop_timeout_s
        Time in seconds between SIGTERM and SIGKILL.
    """

    def __init__(self, stop_timeout_s: float = 5.0) -> None:
        self.stop_timeout_s = stop_timeout_s
        self.children: list[Child] = []
        self._temporary = tempfile.TemporaryDirectory(prefix='bilberryrail-')
        self.directory = pathlib.Path(self._temporary.name)

    def __enter__(self) -> Self:
        """Return this object; no child is started yet."""
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
        # The file is numbered, because a process may be started again under
        # the same name.
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
        """Write a file into the directory and return its path."""
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
        """Wait until the output of a child contains a text.

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
        """Send SIGTERM to children, then SIGKILL to those that still run.

        Returns
        -------
        dict
            Exit status by name; negative if a signal ended the process.
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
