"""Tests of decoding items of the platform's store and its load reports."""

import base64
import hashlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from agateshelf.core.directory import models as directory_models
from agateshelf.core.target_notices import const as notice_const
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


def test_registration_is_decoded():
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
        sequence=4,
    )


@pytest.mark.parametrize("missing", sorted(TARGET))
def test_registration_lacking_a_field_counts_as_removed(missing):
    value = {k: v for k, v in TARGET.items() if k != missing}
    good = item(TARGET, "servers/i-2")
    decoded = documents.decode_targets([item(value), good])
    assert isinstance(decoded[0], directory_models.Removal)
    assert decoded[1].id == "i-2"
    assert isinstance(decoded[1], directory_models.Registration)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("service", 7),
        ("address", None),
        ("address", "nowhere"),
        ("slots", "2"),
        ("slots", 0),
        ("state", "asleep"),
        ("sequence", "x"),
        ("born", 17.5),
        ("born", "1700"),
    ],
)
def test_registration_with_an_invalid_field_counts_as_removed(name, value):
    (decoded,) = documents.decode_targets([item({**TARGET, name: value})])
    assert decoded == directory_models.Removal("i-1", 5)


@pytest.mark.parametrize("value", ["1500ms", -1, None, [], True])
def test_registration_with_an_invalid_warmup_keeps_its_target(value):
    # A target that is well must not be lost for how it tells its warm-up.
    (decoded,) = documents.decode_targets(
        [item({**TARGET, "warmup_left": value})]
    )
    assert isinstance(decoded, directory_models.Registration)
    assert decoded.warmup == notice_const.INVALID_WARMUP


@pytest.mark.parametrize(
    "address",
    [
        "10.1.0.9:0",
        "10.1.0.9:65536",
        "10.1.0.9:99999",
        "1.1:80",
        "10.1.0.9.1:80",
        "10.1.0.256:80",
        "010.1.0.9:80",
        "10.1..9:80",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "10.1.0.9:8080\n",
        "10.1.0.\u0669:80",
    ],
)
def test_a_registration_names_an_ip_address_and_a_port(address):
    # A port out of range ended each request for that target by an error, and
    # a resolver reads a short address as one that nobody named.
    value = {**TARGET, "address": address}
    (decoded,) = documents.decode_targets([item(value)])
    assert decoded == directory_models.Removal("i-1", 5)


@pytest.mark.parametrize("address", ["10.1.0.9:1", "127.0.0.1:65535"])
def test_any_ip_address_and_port_of_a_server_is_used(address):
    value = {**TARGET, "address": address}
    (decoded,) = documents.decode_targets([item(value)])
    assert decoded.address == address


NESTED = b"[" * 5000 + b"]" * 5000


@pytest.mark.parametrize("name", [*sorted(TARGET), "unknown"])
def test_a_deeply_nested_registration_names_no_target_and_the_others_hold(
    name,
):
    # The error of the decoder for it ended the task that reads the store, so
    # that no entry heard of any target any more.
    value = json.dumps({**TARGET, name: "@"}).encode().replace(b'"@"', NESTED)
    good = item(TARGET, "servers/i-2")
    odd, other = documents.decode_targets([item(value), good])
    assert odd == directory_models.Removal("i-1", 5)
    assert isinstance(other, directory_models.Registration)


@pytest.mark.parametrize("value", [NESTED, b'{"a":' + NESTED + b"}"])
def test_a_deeply_nested_evacuation_is_unreadable_and_holds(value):
    odd = item(value, "op/evacuate/east")
    assert documents.find_unreadable_evacuations([odd]) == [odd]
    (change,) = documents.decode_evacuations([odd])
    assert change.evacuated


@hypothesis.given(strategies.binary(max_size=60))
def test_invalid_registration_counts_as_removed(data):
    (decoded,) = documents.decode_targets([item(data)])
    assert isinstance(decoded, directory_models.Removal)


def test_tombstone_and_invalid_base64_count_as_removed():
    removed = items.Item("servers/i-1", 9, tombstone=True)
    invalid = items.Item("servers/i-2", 9, "%%%")
    for decoded in documents.decode_targets([removed, invalid]):
        assert isinstance(decoded, directory_models.Removal)
        assert decoded.revision == 9


def test_routes_are_decoded():
    table = documents.decode_route_table([item(CONFIGURATION, "op/config")])
    first, second = table.routes
    assert table.version == 7
    assert table.health_paths["book"] == "/h"
    assert not first.idempotent
    assert first.timeout == 1.2
    assert first.target_latency == 0.4
    assert [s.service for s in first.shares] == ["book"]
    assert second.idempotent
    assert [s.weight for s in second.shares] == [90, 10]
    assert table.limits.idle_seconds == 15.0


def test_route_of_an_unknown_kind_is_not_idempotent():
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["routes"][1]["kind"] = "keyed"
    table = documents.decode_route_table([item(changed, "op/config")])
    assert not table.routes[1].idempotent


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"x"}'])
def test_invalid_routes_are_ignored(value):
    assert documents.decode_route_table([item(value, "op/config")]) is None
    assert (
        documents.decode_route_table([item(CONFIGURATION, "op/other")]) is None
    )


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8", (3, 0, 8, 1.0)),
        (b"3,0,8,100", (3, 0, 8, 1.0)),
        (b"2, 4, 2, 400", (2, 4, 2, 4.0)),
    ],
)
def test_load_report_is_parsed(value, expected):
    load = dialect.parse_load(value)
    parsed = (load.in_flight, load.queued, load.slots, load.slowness)
    assert parsed == expected


@hypothesis.given(strategies.binary(max_size=20))
def test_arbitrary_load_report_is_parsed_or_ignored(value):
    load = dialect.parse_load(value)
    assert load is None or load.slowness >= 0


@pytest.mark.parametrize("number", [10**22, -(10**22), 2**64])
def test_numbers_that_no_message_can_hold_are_invalid(number):
    # Each message with such a number would fail, and with it the event that
    # sends it.
    for name in ("slots", "sequence", "born"):
        (decoded,) = documents.decode_targets([item({**TARGET, name: number})])
        assert isinstance(decoded, directory_models.Removal)
    route = {**CONFIGURATION["routes"][0]}
    for changes in (
        {"version": number},
        {"routes": [{**route, "priority": number}]},
        {"routes": [{**route, "max_attempts": number}]},
        {"limits": {**CONFIGURATION["limits"], "max_body_bytes": number}},
    ):
        stored = item({**CONFIGURATION, **changes}, key="op/config")
        assert documents.decode_route_table([stored]) is None
    # A tenant with one is left out alone.
    tenants = [{"name": "north", "priority": number}]
    stored = item({**CONFIGURATION, "tenants": tenants}, key="op/config")
    assert documents.decode_route_table([stored]).workspaces == ()


GOOD_TENANT = {"name": "south", "api_keys": ["good-key"], "rate_per_s": 4}


@pytest.mark.parametrize(
    "bad",
    [
        {"api_keys": None},
        {"api_keys": "secret-key"},
        {"api_keys": ["secret-key", None]},
        {"allowed_regions": None},
        {"allowed_regions": [""]},
        {"name": ""},
        {"name": None},
        {"rate_per_s": -1},
        {"rate_per_s": "secret-key"},
        {"burst": -0.5},
        {"priority": "high"},
        None,
        ["secret-key"],
        "secret-key",
    ],
)
def test_an_unreadable_tenant_is_left_out_alone(bad):
    # The whole configuration would be ignored otherwise, and the keys that it
    # withdraws served on.
    if isinstance(bad, dict):
        bad = {"name": "north", "api_keys": ["secret-key"], **bad}
    value = {**CONFIGURATION, "tenants": [bad, GOOD_TENANT]}
    decoded = documents.decode_configuration([item(value, "op/config", 8)])
    (workspace,) = decoded.table.workspaces
    assert (workspace.name, workspace.rate) == ("south", 4)
    assert decoded.revision == 8
    assert decoded.problem.startswith("1 unreadable tenants left out: 0")
    assert "key" not in decoded.problem


def test_a_configuration_of_unreadable_tenants_alone_still_needs_keys():
    # Without a list of workspaces every caller would be served.
    value = {**CONFIGURATION, "tenants": [{"name": n} for n in [""] * 5000]}
    decoded = documents.decode_configuration([item(value, "op/config")])
    assert decoded.table.workspaces == ()
    assert len(decoded.problem) < 200


# A half of a surrogate pair can't be skipped by the decoder.
@pytest.mark.parametrize("tenants", [{}, 7, {"name": "north"}, ["\ud800"]])
def test_tenants_that_are_no_list_of_values_make_the_configuration_unreadable(
    tenants,
):
    value = {**CONFIGURATION, "tenants": tenants}
    decoded = documents.decode_configuration([item(value, "op/config")])
    assert decoded.table is None
    assert decoded.problem


def test_a_deeply_nested_configuration_is_unreadable():
    # The error of the decoder for it would end the task that reads the store.
    deep = b"[" * 100_000 + b"]" * 100_000
    for value in (deep, b'{"version":7,"tenants":[' + deep + b"]}"):
        assert documents.decode_route_table([item(value, "op/config")]) is None


def test_tenants_become_workspaces_without_their_keys():
    # A key in the route table would reach peers, logs and memory dumps.
    changed = {
        **CONFIGURATION,
        "tenants": [
            {
                "name": "north",
                "api_keys": ["secret-key"],
                "priority": 1,
                "rate_per_s": 5,
                "burst": 10,
                "allowed_regions": ["east"],
            }
        ],
    }
    table = documents.decode_route_table([item(changed, "op/config")])
    (workspace,) = table.workspaces
    assert workspace.name == "north"
    assert (workspace.rate, workspace.burst) == (5, 10)
    assert workspace.regions == ("east",)
    assert "secret-key" not in repr(table)
    digest = hashlib.sha256(b"secret-key").hexdigest()
    assert workspace.key_digests == (digest,)


def test_configuration_without_tenants_needs_no_keys():
    table = documents.decode_route_table([item(CONFIGURATION, "op/config")])
    assert table.workspaces is None
    assert not table.warmups
