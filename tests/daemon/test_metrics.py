"""Metrics gathered and sent to a statsd service."""

import socket

from agateshelf.daemon import metrics


def test_counts_gather_into_few_datagrams():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
        port = sock.getsockname()[1]
        counted = metrics.create_metrics(f"127.0.0.1:{port}")
        for _ in range(50):
            counted.count("calls.answered")
            counted.timing("calls.seconds", 0.002)
        counted.flush()
        text = sock.recv(65536).decode()
        assert "agateshelf.calls.answered:50|c" in text
        assert "agateshelf.calls.seconds:2.0" in text
        assert counted.counts == {"calls.answered": 50}
        assert counted.unsent == {}
    counted.count("calls.answered")
    counted.flush()


def test_without_a_service_nothing_gathers():
    counted = metrics.create_metrics(None)
    counted.timing("calls.seconds", 1.0)
    counted.count("calls.answered")
    counted.flush()
    assert counted.timings == []
    assert counted.counts == {"calls.answered": 1}
