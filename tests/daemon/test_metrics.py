"""Tests of metrics that are sent to a statsd server."""

import socket

from agateshelf.daemon import metrics


def test_metrics_are_sent_in_batches():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
        port = sock.getsockname()[1]
        counters = metrics.create_metrics(f"127.0.0.1:{port}")
        for _ in range(50):
            counters.count("calls.answered")
            counters.timing("calls.seconds", 0.002)
        counters.flush()
        text = sock.recv(65536).decode()
        assert "agateshelf.calls.answered:50|c" in text
        assert "agateshelf.calls.seconds:2.0" in text
        assert counters.counts == {"calls.answered": 50}
        assert counters.pending_counts == {}
    counters.count("calls.answered")
    counters.flush()


def test_nothing_is_pending_without_a_server():
    counters = metrics.create_metrics(None)
    counters.timing("calls.seconds", 1.0)
    counters.count("calls.answered")
    counters.flush()
    assert counters.pending_timings == []
    assert counters.counts == {"calls.answered": 1}
