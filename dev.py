"""Runs the commands that developers need: ``python3 dev.py COMMAND``.

It needs only Python 3.11 and pip. The first run installs the pinned packages
into ``.venv``, or into the directory that ``BILBERRYRAIL_VENV`` names.
"""

import hashlib
import os
import pathlib
import subprocess
import sys
import venv

ROOT = pathlib.Path(__file__).resolve().parent
VENV = pathlib.Path(os.environ.get('BILBERRYRAIL_VENV', ROOT / '.venv'))
PYTHON = VENV / 'bin' / 'python'
REQUIREMENTS = ROOT / 'requirements.txt'
CONSTRAINTS = ROOT / 'constraints.txt'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
#: Holds the hash of the requirements that are installed in the environment.
FINGERPRINT_FILE = VENV / 'installed.sha256'
#: Folders of the packages in this checkout.
PACKAGES = sorted(
    path.parent
    for pattern in ('packages/*/pyproject.toml', 'platform/pyproject.toml')
    for path in ROOT.glob(pattern)
)

#: Arguments of the Python runs that each command makes, one after another.
COMMANDS = {
    'demo': [['-m', 'bilberryrail.standins.demo']],
    'lint': [
        ['-m', 'ruff', 'format', '--check', '.'],
        ['-m', 'ruff', 'check', '.'],
        ['-m', 'flake8', 'packages', 'platform'],
    ],
    'format': [
        ['-m', 'ruff', 'check', '--fix', '.'],
        ['-m', 'ruff', 'format', '.'],
    ],
    'node': [['-m', 'bilberryrail.node']],
    'cli': [['-m', 'bilberryrail.cli']],
    'bench': [['-m', 'bilberryrail.bench']],
    'soak': [['-m', 'bilberryrail.soak']],
    'rounds': [['-m', 'bilberryrail.report']],
    'drawn': [['-m', 'bilberryrail.adapter.drawing']],
}


def environment_variables() -> dict[str, str]:
    """Return the environment variables for Python.

    ``PYTHONPATH`` puts the packages of this checkout before installed ones.
    """
    paths = os.pathsep.join(str(path) for path in PACKAGES)
    return {**os.environ, 'PYTHONPATH': paths}


def requirements_fingerprint() -> str:
    """Return a hash of all files that decide what is installed."""
    digest = hashlib.sha256()
    for path in (REQUIREMENTS, CONSTRAINTS):
        digest.update(path.read_bytes())
    for package in PACKAGES:
        digest.update((package / 'pyproject.toml').read_bytes())
    return digest.hexdigest()


def pip_install(*arguments: str) -> None:
    """Run ``pip install`` with the versions in ``constraints.txt``."""
    command = [str(PYTHON), '-m', 'pip', 'install', '--quiet']
    command += ['--disable-pip-version-check', '-c', str(CONSTRAINTS)]
    subprocess.run(command + list(arguments), check=True)


def install() -> None:
    """Create or update the environment if the requirements have changed.

    An environment that ``BILBERRYRAIL_VENV`` names is only created, never
    updated, because other checkouts may use it.
    """
    wanted = requirements_fingerprint()
    if FINGERPRINT_FILE.exists() and FINGERPRINT_FILE.read_text() == wanted:
        return
    if 'BILBERRYRAIL_VENV' in os.environ and FINGERPRINT_FILE.exists():
        print('dev.py: BILBERRYRAIL_VENV does not match the pinned versions')
        return
    if not PYTHON.exists():
        venv.create(VENV, with_pip=True)
    pip_install('-r', str(REQUIREMENTS))
    editable = [option for path in PACKAGES for option in ('-e', str(path))]
    pip_install('--no-build-isolation', '--no-deps', *editable)
    FINGERPRINT_FILE.write_text(wanted)


def known_failing_tests() -> list[str]:
    """Return the ids of the tests that ``KNOWN-RED.txt`` lists."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return [entry.split(' | ')[0] for entry in entries]


def run_python(arguments: list[str]) -> int:
    """Run Python with the packages of this checkout; return its exit code."""
    command = [str(PYTHON), *arguments]
    return subprocess.run(
        command,
        cwd=ROOT,
        env=environment_variables(),
    ).returncode


def is_named(test: str, arguments: list[str]) -> bool:
    """Return whether an argument names the file of a test, or a test in it."""
    path = test.partition('::')[0]
    return any(argument.startswith(path) for argument in arguments)


def run_tests(arguments: list[str]) -> int:
    """Run pytest and return its exit code; known failures do not count.

    Tests that are known to fail are left out. If no arguments are given, they
    run after the others, and their outcome does not change the exit code.
    """
    # If an argument names its file, a test runs even if it is known to fail.
    known_failures = [
        test for test in known_failing_tests() if not is_named(test, arguments)
    ]
    deselected = [f'--deselect={test}' for test in known_failures]
    code = run_python(['-m', 'pytest', '-q', *deselected, *arguments])
    if known_failures and not arguments:
        print(
            f'known to fail, see {KNOWN_RED.name}:', *known_failures, sep='\n  '
        )
        run_python(['-m', 'pytest', '-q', '--tb=line', *known_failures])
    return code


def main() -> int:
    """Run the command that the arguments name and return its exit code."""
    names = sorted(['test', *COMMANDS])
    if len(sys.argv) < 2 or sys.argv[1] not in names:
        print(f'usage: python3 dev.py [{" | ".join(names)}] [ARGUMENTS]')
        return 2
    install()
    if sys.argv[1] == 'test':
        return run_tests(sys.argv[2:])
    for arguments in COMMANDS[sys.argv[1]]:
        code = run_python([*arguments, *sys.argv[2:]])
        if code:
            return code
    return 0


if __name__ == '__main__':
    sys.exit(main())
