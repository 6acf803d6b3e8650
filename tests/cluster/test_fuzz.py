"""Fuzz tests: any external input is either accepted completely or rejected with the intended error.

PEBBLEDRIFT_FUZZ=N multiplies the number of examples by N; with N other than 1 the examples are random:

    PEBBLEDRIFT_FUZZ=100 python -m pytest tests/cluster/test_fuzz.py
"""

from __future__ import annotations

import contextlib
import copy
import json
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pebbledrift.bounds import Limits
from pebbledrift.chain import slots
from pebbledrift.chain.messages import Entry, Identity, Stamp
from pebbledrift.chain.storage import Storage
from pebbledrift.cluster.codec import FrameReader, decode, encode, frame
from pebbledrift.cluster.errors import InvalidConfiguration, MessageError, StorageError
from pebbledrift.console.difference import compare
from pebbledrift.control.orders import ConfigurationState, Order, OrderKind, OrderStatus
from pebbledrift.control.quota import quotas_of
from pebbledrift.control.registry import Instance, MalformedHeartbeat, Registry, parse_heartbeat
from pebbledrift.control.schema import check
from pebbledrift.keeper.api import ORDER_KINDS
from pebbledrift.net.http import HttpError, Parser
from pebbledrift.overlay.gossip import Gossip, Rumor
from pebbledrift.overlay.sampling import MAX_VIEW_ENTRIES, PeerDescriptor, Shuffle
from pebbledrift.router.events import EventSplitter, EventTooLong
from pebbledrift.router.request import parse_parts, parse_prompt
from pebbledrift.router.routes import RoutingTable
from rig.fleet import example_config

EXAMPLES = 100 * int(os.environ.get("PEBBLEDRIFT_FUZZ", "1"))
many = settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=EXAMPLES == 100,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**300, max_value=10**310)
    | st.floats()
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=8,
)
HEARTBEAT: dict[str, Any] = {
    "backend": "lm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "revision": "v1",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 0,
    "stage": "both",
    "sequence": 4,
}
MESSAGES = (
    Rumor((parse_heartbeat("i", HEARTBEAT),)),
    Shuffle("10.0.0.1:1", (PeerDescriptor("10.0.0.2:1", "a", True, 3),), True),
    Entry(1, 2, Order(OrderKind.REPLACE, 0, b"{}")),
)


def paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the path of every value that is nested in a JSON value, starting with the value itself."""
    children = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    return [prefix, *(path for key, child in children for path in paths(child, (*prefix, key)))]


def replaced(value: Any, path: tuple[Any, ...], replacement: Any) -> Any:
    """Returns a copy of a JSON value with the part at `path` replaced."""
    if not path:
        return replacement
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = replacement
    return changed


def full_config() -> dict[str, Any]:
    """Returns a valid configuration that uses traffic split, engine limits and quotas."""
    config = example_config(5)
    config["routes"][0]["traffic-split"] = [{"backend": "lm", "weight": 2.0}]
    config["backends"][0]["engine"] = {"slots": 4, "kv-cache-tokens": 1000}
    config["tenants"][0].update({"rate-per-s": 100.0, "burst": 10, "unit": "tokens", "priority": 2})
    return config


@many
@given(st.data())
def test_a_configuration_is_refused_or_can_be_routed_by(data: st.DataObject) -> None:
    config = full_config()
    for _ in range(data.draw(st.integers(1, 3))):
        config = replaced(config, data.draw(st.sampled_from(paths(config))), data.draw(json_values))
        if not isinstance(config, dict):
            break
    try:
        check(config)
    except InvalidConfiguration as error:
        assert error.faults and all(fault for fault in error.faults)
        return
    table = RoutingTable(config)
    for routes in table.routes.values():
        for route in routes:
            assert route.backend_for("an-id") in table.backends
    quotas_of(config)
    compare(full_config(), config)


@many
@given(st.binary(max_size=200) | json_values.map(lambda value: json.dumps(value).encode()))
def test_an_order_is_judged_whatever_its_body_and_refused_ones_change_nothing(body: bytes) -> None:
    state = ConfigurationState(check)
    state.apply(Order(OrderKind.REPLACE, 0, json.dumps(full_config()).encode()))
    before = state.config
    for kind in ORDER_KINDS.values():
        judgement = state.copy(check).apply(Order(kind, 5, body))
        assert judgement.status in (OrderStatus.INVALID, OrderStatus.ACCEPTED)
    assert state.apply(Order(OrderKind.REFUSAL, 5, body)).status == OrderStatus.CONFLICT
    assert state.config == before


@many
@given(st.data())
def test_a_change_of_items_is_judged_whatever_it_holds(data: st.DataObject) -> None:
    state = ConfigurationState(check)
    state.apply(Order(OrderKind.REPLACE, 0, json.dumps(full_config()).encode()))
    change: Any = {
        "revision": 6,
        "upsert": {"routes": [full_config()["routes"][0]]},
        "delete": {"routes": ["x"]},
    }
    change = replaced(change, data.draw(st.sampled_from(paths(change))), data.draw(json_values))
    judgement = state.apply(Order(OrderKind.UPDATE, 5, json.dumps(change).encode()))
    assert judgement.status in (OrderStatus.INVALID, OrderStatus.ACCEPTED)
    assert state.config is not None
    RoutingTable(state.config)


@many
@given(st.data())
def test_a_heartbeat_is_refused_or_makes_an_instance_that_can_be_told(data: st.DataObject) -> None:
    body: Any = replaced(HEARTBEAT, data.draw(st.sampled_from(paths(HEARTBEAT))), data.draw(json_values))
    try:
        instance = parse_heartbeat("i", body)
    except MalformedHeartbeat:
        return
    assert decode(encode(instance)) == instance
    Registry().merge(instance, 0.0)


@many
@given(st.binary(max_size=300))
def test_bytes_of_a_peer_are_a_message_or_an_error(data: bytes) -> None:
    with contextlib.suppress(MessageError):
        assert type(decode(data)).__module__.startswith("pebbledrift.")


@many
@given(st.data())
def test_a_damaged_message_is_a_message_or_an_error(data: st.DataObject) -> None:
    whole = bytearray(frame(data.draw(st.sampled_from(MESSAGES))))
    for _ in range(data.draw(st.integers(1, 4))):
        whole[data.draw(st.integers(0, len(whole) - 1))] = data.draw(st.integers(0, 255))
    reader = FrameReader()
    try:
        reader.feed(bytes(whole[:7]))
        reader.feed(bytes(whole[7:]))
    except MessageError:
        return


@many
@given(st.lists(st.sampled_from(MESSAGES), max_size=5), st.data())
def test_messages_come_whole_however_they_are_cut(messages: list[Any], data: st.DataObject) -> None:
    text = b"".join(frame(message) for message in messages)
    reader, found = FrameReader(), []
    while text:
        size = data.draw(st.integers(1, len(text)))
        found += reader.feed(text[:size])
        text = text[size:]
    assert found == messages


@many
@given(
    st.lists(
        st.builds(PeerDescriptor, st.text(max_size=12), st.text(max_size=4), st.booleans(), st.integers()),
        max_size=40,
    )
)
def test_a_view_stays_bounded_whatever_it_is_told(told: list[PeerDescriptor]) -> None:
    heard: list[Instance] = []
    own = PeerDescriptor("10.0.0.1:1", "a", False, 0)
    gossip = Gossip(own, [], 1, lambda address, message: None, heard.extend)
    gossip.received(Shuffle("10.0.0.2:1", tuple(told), True))
    gossip.tick(100.0)
    assert len(gossip.view.peers) <= MAX_VIEW_ENTRIES


@many
@given(st.data())
def test_a_damaged_log_is_cut_off_and_never_guessed(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    folder: Path = tmp_path_factory.mktemp("disk")
    storage = Storage(folder)
    storage.open()
    records = [Identity("a:1/0")] + [
        Entry(1, number, Order(OrderKind.REPLACE, number - 1, b"x" * number)) for number in range(1, 6)
    ]
    storage.append(records)
    storage.close()
    path = next(folder.glob("log-*"))
    content = bytearray(path.read_bytes())
    if data.draw(st.booleans()):
        content = content[: data.draw(st.integers(0, len(content)))]
    else:
        content[data.draw(st.integers(0, len(content) - 1))] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    again = Storage(folder)
    try:
        recovered = again.open()
    except StorageError:
        return
    finally:
        again.close()
    kept = recovered.stored.entries
    assert [entry.sequence for entry in kept] == list(range(1, len(kept) + 1))
    assert all(entry in records for entry in kept)


@many
@given(st.binary(max_size=300), st.data())
def test_events_are_the_same_however_they_are_cut(noise: bytes, data: st.DataObject) -> None:
    text = b"id: 1\ndata: a\n\n" + noise + b"\n\nid: 2\ndata: b\n\n"
    whole = EventSplitter().feed(text)
    cutter, found = EventSplitter(), b""
    while text:
        size = data.draw(st.integers(1, len(text)))
        try:
            found += cutter.feed(text[:size])
        except EventTooLong:
            return
        text = text[size:]
    assert found == whole


@many
@given(st.binary(max_size=400), st.booleans())
def test_bytes_of_a_client_or_worker_are_messages_or_an_error(data: bytes, request_side: bool) -> None:
    parser = Parser(Limits(), request=request_side)
    try:
        for message in parser.feed(data):
            parse_prompt(message)
    except HttpError as error:
        assert 400 <= error.status < 600


@many
@given(st.text(max_size=60))
def test_a_prompt_s_parts_are_numbers_or_none(text: str) -> None:
    for name, tokens in parse_parts(text):
        assert isinstance(name, int) and isinstance(tokens, float)


@many
@given(st.binary(max_size=200))
def test_a_slot_of_any_bytes_is_read_as_nothing_or_as_what_was_written(data: bytes) -> None:
    generation = slots.decode_generation(data)
    assert generation is None or generation >= 0
    for record, end in slots.decode_blocks(data, 1):
        assert record is not None and end <= len(data)


def test_a_stamp_is_ordered_by_epoch_and_sequence() -> None:
    assert Stamp(1, 9) < Stamp(2, 1) < Stamp(2, 3)
