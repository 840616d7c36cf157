"""A load of callers that runs beside what is done to a system."""

import subprocess
from dataclasses import dataclass

import msgspec

from bilberryrail.standins.caller_report import LoadReport
from bilberryrail.standins.load_settings import LoadSettings
from bilberryrail.standins.processes import Child, Children, ProcessError

#: Time that the last calls and their patience may take after the load.
LOAD_END_S = 20.0
REPORT = 'report.json'


@dataclass(frozen=True, slots=True)
class LoadProcess:
    """A started load and the directory that its report goes to."""

    child: Child
    children: Children

    def finish(self) -> LoadReport:
        """End the arrivals, wait for the last answers and return the report.

        Raises
        ------
        ProcessError
            If the load fails or does not end.
        """
        if self.child.process.poll() is None:
            self.child.process.terminate()
        try:
            status = self.child.process.wait(LOAD_END_S)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(self._failure('did not end')) from error
        if status:
            raise ProcessError(self._failure(f'ended with {status}'))
        raw = (self.children.directory / REPORT).read_bytes()
        return msgspec.json.decode(raw, type=LoadReport)

    def _failure(self, what: str) -> str:
        return f'the load {what}:\n{self.child.tail()}'


def start_load(settings: LoadSettings, children: Children) -> LoadProcess:
    """Start a load; it runs for its time or until ``finish``."""
    path = children.write('load.json', msgspec.json.encode(settings))
    child = children.start(
        'callers',
        'bilberryrail.standins.callers',
        str(path),
        '--out',
        str(children.directory / REPORT),
    )
    children.wait_for_output(child, 'event=load-started')
    return LoadProcess(child, children)
