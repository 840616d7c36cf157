"""Tests of the counts of bytes sent to other nodes."""

from twisted.internet.task import Clock

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.traffic import REPORT_INTERVAL_S, Place, Traffic


def test_bytes_are_summed_by_place_and_cause():
    # Guards against costs of traffic that cannot be attributed to a cause.
    clock = Clock()
    lines = []
    metrics = Metrics()
    traffic = Traffic(
        clock,
        lambda: peer('n1'),
        metrics,
        lambda event, **fields: lines.append((event, fields)),
    )
    traffic.start()
    traffic.sent(peer('n2', region='far'), 'Forward', 100)
    traffic.sent(peer('n3', region='far'), 'Forward', 20)
    traffic.sent(peer('n4', zone='west'), 'Load', 7)
    traffic.sent(None, 'Hello', 3)
    clock.advance(REPORT_INTERVAL_S)
    assert lines == [
        ('traffic', {'place': 'unknown', 'Hello': 3}),
        ('traffic', {'place': 'region', 'Load': 7}),
        ('traffic', {'place': 'other-region', 'Forward': 120}),
    ]
    assert b'place="other-region"} 120' in metrics.render().body
    clock.advance(REPORT_INTERVAL_S)
    assert len(lines) == 3


def test_place_of_a_node():
    # Guards against counting traffic as free although it is paid for.
    traffic = Traffic(Clock(), lambda: peer('n1'), Metrics(), print)
    assert traffic.place_of(peer('n2')) is Place.ZONE
    assert traffic.place_of(peer('n2', zone='west')) is Place.REGION
    far = peer('n2', region='far')
    assert traffic.place_of(far) is Place.OTHER_REGION
