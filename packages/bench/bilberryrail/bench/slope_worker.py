"""Measures one point: ``python -m bilberryrail.bench.slope_worker CASE SIZE``.

Imports only what the measured function needs, because other modules would add
to the memory that is measured.
"""

import json
import sys

from bilberryrail.bench.slope_cases import CASES


def main() -> None:
    """Print the measured values as JSON."""
    name, size = sys.argv[1:]
    case = next(found for found in CASES if found.name == name)
    print(json.dumps(case.load()(int(size))))  # noqa: WPS421


if __name__ == '__main__':
    main()
