"""A planned stop breaks off lookups that the node has accepted late.

Rule LOST. Exits with 0 if the rule held, 1 if it was broken, 2 if the case
could not run. ``TROUBLE=0`` leaves out the SIGTERM.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

CASE = pathlib.Path(__file__).resolve().parent
#: Figures of the site's class stock-check: usual and longest work, in seconds.
USUAL_WORK_S = 0.15
LONGEST_WORK_S = 1.1
TIMEOUT_S = 2.0
TARGET_LATENCY_S = 0.4
DEADLINE_S = 4.0
#: Interval at which the clients of the node send, in seconds.
SEND_INTERVAL_S = 0.05
#: Times after SIGTERM at which a lookup is sent that takes the longest time.
LONG_AT_S = (4.60, 4.66, 4.72, 4.78)
LONG_PATH = '/stock/all-papers'
WARM_UP_S = 3.0
#: Connections that a client opens for one lookup at most.
MAX_SENDS = 3
#: Pause between the machines of a planned restart, in seconds.
GAP_S = 1.0
#: From so long after SIGTERM on, a request has no excuse, in seconds.
LATE_AFTER_S = 3.0


def make(case: pathlib.Path) -> harness.Deployment:
    """Build two zones with two machines each."""
    shape = [
        ('krakow-a', 'pl-south', 'magazyn'),
        ('krakow-a', 'pl-south', 'magazyn'),
        ('krakow-b', 'pl-south', 'magazyn'),
        ('krakow-b', 'pl-south', 'magazyn'),
    ]
    routes = {
        'stock': {
            'host': 'lantern.example',
            'path_prefix': '/stock/',
            'kind': 'safe',
            'timeout': TIMEOUT_S,
            'target_latency': TARGET_LATENCY_S,
            'priority': 2,
            'service': 'magazyn',
            'max_attempts': 2,
            'allowed_regions': [],
        }
    }
    config = harness.configuration(routes, ['magazyn'])
    deployment = harness.Deployment(case, shape, config)
    for worker in deployment.workers.values():
        worker.work_s = work_s
    return deployment


def work_s(request: harness.Message) -> float:
    """Return how long a lookup takes."""
    is_long = request.target == LONG_PATH
    return LONGEST_WORK_S if is_long else USUAL_WORK_S


async def send(
    deployment: harness.Deployment, node: harness.Node, target: str
) -> tuple[bool, bool]:
    """Send one lookup; return whether LOST held, and if it was not read."""
    attempt = harness.attempt_id()
    headers = {
        'Host': 'lantern.example',
        'Bilberryrail-Attempt-Id': attempt,
        'Bilberryrail-Deadline-Ms': str(int(DEADLINE_S * 1000)),
    }
    sent_at = time.monotonic()
    since_term_s = sent_at - node.term_at if node.term_at else 0
    deployment.record(
        'sent', attempt, target=target, since_term_s=round(since_term_s, 3)
    )
    payload = harness.request_bytes('GET', target, headers)
    answer = await harness.call(node.outbound, payload, DEADLINE_S)
    took_s = time.monotonic() - sent_at
    status = answer.status if answer else 0
    deployment.record(
        'answered', attempt, status=status, took_s=round(took_s, 3)
    )
    is_late = since_term_s > LATE_AFTER_S
    is_cut = status in {0, 502, 504} and took_s < TIMEOUT_S
    is_passed_on = attempt in deployment.passed_on
    is_broken = is_late and is_cut and is_passed_on
    return not is_broken, not status and not is_passed_on


async def play(deployment: harness.Deployment, has_trouble: bool) -> bool:
    """Restart both nodes of a zone in turn while clients look things up."""
    deployment.passed_on = watch_runs(deployment)
    first, second = deployment.nodes[:2]
    began_at = time.monotonic() + WARM_UP_S
    stops = [
        asyncio.create_task(stop(deployment, first, has_trouble, 0)),
        asyncio.create_task(stop(deployment, second, has_trouble, GAP_S)),
    ]
    sending = [
        asyncio.create_task(
            send_at(deployment, first, LONG_PATH, began_at + after_s)
        )
        for after_s in LONG_AT_S
    ]
    while time.monotonic() < began_at + LONG_AT_S[-1]:
        lookup = send_at(deployment, first, '/stock/paper', 0)
        sending.append(asyncio.create_task(lookup))
        await asyncio.sleep(SEND_INTERVAL_S)
    held = await asyncio.gather(*sending)
    await asyncio.gather(*stops)
    deployment.record('result', held=sum(held), broken=held.count(False))
    return all(held)


async def stop(
    deployment: harness.Deployment,
    node: harness.Node,
    has_trouble: bool,
    after_s: float,
) -> None:
    """Send SIGTERM to a node, as in a planned restart."""
    await asyncio.sleep(WARM_UP_S + after_s)
    if has_trouble:
        node.term_at = time.monotonic()
        node.send(signal.SIGTERM)
        deployment.record('SIGTERM', node=node.name)


async def send_at(
    deployment: harness.Deployment,
    node: harness.Node,
    target: str,
    due_at: float,
) -> bool:
    """Send a lookup at a time, if the platform lets clients send to a node.

    If the node closes the connection without having read the request, the
    client sends it again over a new connection.
    """
    await asyncio.sleep(max(0, due_at - time.monotonic()))
    has_held = True
    for _ in range(MAX_SENDS):
        if not deployment.takes_clients(node):
            deployment.record('not-sent', node=node.name)
            return True
        has_held, is_unread = await send(deployment, node, target)
        if not is_unread:
            break
    return has_held


def watch_runs(deployment: harness.Deployment) -> set[str]:
    """Return the set of attempts that servers have begun and not finished."""
    begun: set[str] = set()
    record = deployment.record

    def recorded(event: str, attempt: str = '-', **fields: object) -> None:
        record(event, attempt, **fields)
        if event == 'run':
            begun.add(attempt)
        elif event == 'done':
            begun.discard(attempt)

    for worker in deployment.workers.values():
        worker.record = recorded
    return begun


if __name__ == '__main__':
    sys.exit(harness.run_case(CASE, make, play))
