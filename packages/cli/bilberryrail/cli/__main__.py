"""Runs the operator command line as ``python -m bilberryrail.cli``."""

from bilberryrail.cli.main import run

if __name__ == '__main__':
    run()
