"""Lets ``python -m bilberryrail.node`` start a node."""

from bilberryrail.node.main import run

if __name__ == '__main__':
    run()
