"""Entry point for everything a developer runs: ``python3 dev.py COMMAND``.

Needs only Python 3.11 and pip; the first run installs pinned packages into
``.venv`` (or the directory that ``BILBERRYRAIL_VENV`` names).
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
STAMP = VENV / 'installed.sha256'
PACKAGES = sorted(
    path.parent
    for pattern in ('packages/*/pyproject.toml', 'platform/pyproject.toml')
    for path in ROOT.glob(pattern)
)

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


def environment() -> dict[str, str]:
    """Put the packages of this checkout before installed ones."""
    paths = os.pathsep.join(str(path) for path in PACKAGES)
    return {**os.environ, 'PYTHONPATH': paths}


def wanted_stamp() -> str:
    """Hash everything that decides what is installed."""
    digest = hashlib.sha256()
    for path in (REQUIREMENTS, CONSTRAINTS):
        digest.update(path.read_bytes())
    for package in PACKAGES:
        digest.update((package / 'pyproject.toml').read_bytes())
    return digest.hexdigest()


def pip_install(*arguments: str) -> None:
    """Install with the pinned versions."""
    command = [str(PYTHON), '-m', 'pip', 'install', '--quiet']
    command += ['--disable-pip-version-check', '-c', str(CONSTRAINTS)]
    subprocess.run(command + list(arguments), check=True)


def install() -> None:
    """Create the environment unless it matches the pinned versions."""
    wanted = wanted_stamp()
    if STAMP.exists() and STAMP.read_text() == wanted:
        return
    if 'BILBERRYRAIL_VENV' in os.environ and STAMP.exists():
        print('dev.py: shared environment differs from constraints.txt')
        return
    if not PYTHON.exists():
        venv.create(VENV, with_pip=True)
    pip_install('-r', str(REQUIREMENTS))
    editable = [word for path in PACKAGES for word in ('-e', str(path))]
    pip_install('--no-build-isolation', '--no-deps', *editable)
    STAMP.write_text(wanted)


def known_red() -> list[str]:
    """Return the ids of tests that fail because of a known fault."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return [entry.split(' | ')[0] for entry in entries]


def run_python(arguments: list[str]) -> int:
    """Run Python with the packages of this checkout; return its exit code."""
    command = [str(PYTHON), *arguments]
    return subprocess.run(command, cwd=ROOT, env=environment()).returncode


def is_named(test: str, arguments: list[str]) -> bool:
    """Tell whether the arguments ask for a test's file or for the test."""
    path = test.partition('::')[0]
    return any(argument.startswith(path) for argument in arguments)


def run_tests(arguments: list[str]) -> int:
    """Run all tests; those known to be red run apart and do not count."""
    # A test that is named runs also if it is known to be red.
    red = [test for test in known_red() if not is_named(test, arguments)]
    deselected = [f'--deselect={test}' for test in red]
    code = run_python(['-m', 'pytest', '-q', *deselected, *arguments])
    if red and not arguments:
        print(f'known to be red, see {KNOWN_RED.name}:', *red, sep='\n  ')
        run_python(['-m', 'pytest', '-q', '--tb=line', *red])
    return code


def main() -> int:
    """Run one command and return its exit code."""
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
