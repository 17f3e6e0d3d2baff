"""Items of the platform's store, decoded into the product's types."""

import base64
import json

import hypothesis
from hypothesis import strategies
import pytest

from agateshelf.core.directory import models as directory_models
from agateshelf.platform import dialect
from agateshelf.platform import documents
from agateshelf.platform import items

TARGET = {
    "service": "status",
    "address": "10.1.0.9:8080",
    "zone": "boston",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left": 1500,
    "sequence": 4,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/x/",
            "kind": "unsafe",
            "timeout": 1200,
            "target_latency": 400,
            "priority": 1,
            "service": "book",
            "max_attempts": 2,
        },
        {
            "name": "r2",
            "host": "b.example",
            "prefix": "/",
            "kind": "safe",
            "timeout": 1000,
            "target_latency": 300,
            "priority": 2,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 3,
        },
    ],
    "services": [
        {"name": "book", "health_path": "/h", "max_connections": 220},
        {"name": "s1", "health_path": "/health"},
        {"name": "s2", "health_path": "/health"},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": 3000,
        "idle_timeout": 15000,
    },
}


def item(value, key="servers/i-1", revision=5):
    if not isinstance(value, bytes):
        value = json.dumps(value).encode()
    text = base64.b64encode(value).decode()
    return items.Item(key, revision, text)


def test_a_registration_is_decoded():
    (target,) = documents.decode_targets([item({**TARGET, "born": 1700})])
    assert target == directory_models.Registration(
        id="i-1",
        service="status",
        address="10.1.0.9:8080",
        failure_domain="boston",
        slots=2,
        draining=False,
        warmup=1.5,
        born=1700,
        revision=5,
    )


@pytest.mark.parametrize("missing", sorted(TARGET))
def test_a_registration_without_a_field_names_no_target(missing):
    value = {k: v for k, v in TARGET.items() if k != missing}
    good = item(TARGET, "servers/i-2")
    read = documents.decode_targets([item(value), good])
    assert isinstance(read[0], directory_models.Removal)
    assert read[1].id == "i-2"
    assert isinstance(read[1], directory_models.Registration)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("service", 7),
        ("address", None),
        ("address", "nowhere"),
        ("slots", "2"),
        ("slots", 0),
        ("state", "asleep"),
        ("warmup_left", "1500ms"),
        ("sequence", "x"),
        ("born", 17.5),
        ("born", "1700"),
    ],
)
def test_a_field_of_another_kind_names_no_target(name, value):
    (read,) = documents.decode_targets([item({**TARGET, name: value})])
    assert read == directory_models.Removal("i-1", 5)


@hypothesis.given(strategies.binary(max_size=60))
def test_unreadable_bytes_name_no_target(data):
    (read,) = documents.decode_targets([item(data)])
    assert isinstance(read, directory_models.Removal)


def test_a_removal_and_broken_base64_name_no_target():
    removed = items.Item("servers/i-1", 9, tombstone=True)
    broken = items.Item("servers/i-2", 9, "%%%")
    for read in documents.decode_targets([removed, broken]):
        assert isinstance(read, directory_models.Removal)
        assert read.revision == 9


def test_routes_are_decoded():
    table = documents.decode_route_table([item(CONFIGURATION, "op/config")])
    booking, lookup = table.routes
    assert table.version == 7
    assert table.health_paths["book"] == "/h"
    assert not booking.idempotent
    assert booking.timeout == 1.2
    assert booking.target_latency == 0.4
    assert [s.service for s in booking.shares] == ["book"]
    assert lookup.idempotent
    assert [s.weight for s in lookup.shares] == [90, 10]
    assert table.limits.idle_seconds == 15.0


def test_an_unknown_kind_may_run_once_at_most():
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["routes"][1]["kind"] = "keyed"
    table = documents.decode_route_table([item(changed, "op/config")])
    assert not table.routes[1].idempotent


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"x"}'])
def test_unreadable_routes_are_none(value):
    assert documents.decode_route_table([item(value, "op/config")]) is None
    assert (
        documents.decode_route_table([item(CONFIGURATION, "op/other")]) is None
    )


@pytest.mark.parametrize(
    ("value", "figures"),
    [
        (b"3,0,8", (3, 0, 8, 1.0)),
        (b"3,0,8,100", (3, 0, 8, 1.0)),
        (b"2, 4, 2, 400", (2, 4, 2, 4.0)),
    ],
)
def test_a_load_report_is_read(value, figures):
    load = dialect.parse_load(value)
    told = (load.in_flight, load.queued, load.slots, load.slowness)
    assert told == figures


@hypothesis.given(strategies.binary(max_size=20))
def test_any_load_report_is_read_or_none(value):
    load = dialect.parse_load(value)
    assert load is None or load.slowness >= 0
