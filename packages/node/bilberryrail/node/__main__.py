"""Entry point of ``python -m bilberryrail.node``."""

from bilberryrail.node.main import run

if __name__ == '__main__':
    run()
