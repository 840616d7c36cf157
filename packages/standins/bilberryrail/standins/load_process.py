"""Runs a load of callers in a child process of a demo or a test."""

import subprocess
from dataclasses import dataclass

import msgspec

from bilberryrail.standins.caller_report import LoadReport
from bilberryrail.standins.load_settings import LoadSettings
from bilberryrail.standins.processes import Child, Children, ProcessError

#: Time in seconds that the last calls, with their retries, may take after the
#: arrivals have ended.
LOAD_END_TIMEOUT_S = 20.0
REPORT_FILE = 'report.json'


@dataclass(frozen=True, slots=True)
class LoadProcess:
    """A child process that runs a load and writes a report at its end."""

    child: Child
    children: Children

    def finish(self) -> LoadReport:
        """Start no more calls, wait for the last answers, return the report.

        Raises
        ------
        ProcessError
            If the load fails or does not end in time.
        """
        if self.child.process.poll() is None:
            self.child.process.terminate()
        try:
            status = self.child.process.wait(LOAD_END_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(self._failure('did not end')) from error
        if status:
            raise ProcessError(self._failure(f'ended with {status}'))
        raw = (self.children.directory / REPORT_FILE).read_bytes()
        return msgspec.json.decode(raw, type=LoadReport)

    def _failure(self, problem: str) -> str:
        return f'the load {problem}:\n{self.child.tail()}'


def start_load(settings: LoadSettings, children: Children) -> LoadProcess:
    """Start a load; it runs for its set time or until ``finish`` is called."""
    path = children.write('load.json', msgspec.json.encode(settings))
    child = children.start(
        'callers',
        'bilberryrail.standins.callers',
        str(path),
        '--out',
        str(children.directory / REPORT_FILE),
    )
    children.wait_for_output(child, 'event=load-started')
    return LoadProcess(child, children)
