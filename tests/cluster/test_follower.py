"""A starting router is ready only after a current keeper has confirmed that its configuration is in force."""

from __future__ import annotations

from typing import Any

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Entry
from pebbledrift.control.registry import Instance
from pebbledrift.overlay.follower import MAX_STATUS_REPLY_DELAY_S, ControlFollower, updates_after
from pebbledrift.overlay.messages import KeeperState, StateNotice, StatusReply, StatusRequest
from tests.cluster.simulation import change

KEEPER = "k:1"


class Owner:
    def configured(self, config: dict[str, Any]) -> None:
        """These tests route no requests."""

    def instances_changed(self, instances: tuple[Instance, ...]) -> None:
        """These tests place no requests."""


class FollowerFixture:
    """A follower, the messages that it sent, and a log with one committed entry."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.follower = ControlFollower(Owner(), lambda address, message: self.sent.append(message))
        self.log = ReplicatedLog()
        self.log.append(Entry(1, 1, change(1, 0)))
        self.log.commit(1)

    def notice(self, origin: str = KEEPER) -> StateNotice:
        state = KeeperState(1, (KEEPER,), True, self.log.committed, True, (), 1, ())
        return StateNotice(state, origin, 1, len(self.sent) + 1, 0.0)

    def request_numbers(self) -> list[int]:
        return [message.number for message in self.sent if isinstance(message, StatusRequest)]

    def deliver_config(self, now: float) -> None:
        self.follower.handle_config(KEEPER, updates_after(self.log, self.follower.log.committed), now)


def test_status_is_requested_and_a_prompt_reply_counts() -> None:
    fixture = FollowerFixture()
    fixture.deliver_config(1.0)
    fixture.follower.handle_state(KEEPER, fixture.notice(), 1.0)
    assert not fixture.follower.config_current, "the notice may have waited in a socket"
    (number,) = fixture.request_numbers()
    fixture.follower.handle_status_reply(KEEPER, StatusReply(number, True, fixture.log.committed), 1.01)
    assert fixture.follower.config_current


def test_a_status_reply_that_waited_while_the_router_was_frozen_does_not_count() -> None:
    fixture = FollowerFixture()
    fixture.deliver_config(1.0)
    fixture.follower.handle_state(KEEPER, fixture.notice(), 1.0)
    (number,) = fixture.request_numbers()
    late = 1.0 + MAX_STATUS_REPLY_DELAY_S + 0.1
    fixture.follower.handle_status_reply(KEEPER, StatusReply(number, True, fixture.log.committed), late)
    assert not fixture.follower.config_current
    fixture.follower.handle_status_reply(KEEPER, StatusReply(77, True, fixture.log.committed), late)
    assert not fixture.follower.config_current, "the reply answers no request"


def test_status_reply_of_a_keeper_without_a_majority_or_with_a_newer_log_does_not_count() -> None:
    fixture = FollowerFixture()
    fixture.deliver_config(1.0)
    fixture.follower.handle_state(KEEPER, fixture.notice(), 1.0)
    fixture.follower.handle_status_reply(
        KEEPER, StatusReply(fixture.request_numbers()[-1], False, fixture.log.committed), 1.0
    )
    assert not fixture.follower.config_current
    fixture.follower.handle_state(KEEPER, fixture.notice(), 1.1)
    fixture.follower.handle_status_reply(
        KEEPER, StatusReply(fixture.request_numbers()[-1], True, (1, 2)), 1.1
    )
    assert not fixture.follower.config_current


def test_a_relay_receives_no_request() -> None:
    fixture = FollowerFixture()
    fixture.deliver_config(1.0)
    fixture.follower.handle_state("relay:1", fixture.notice(), 1.0)
    assert not fixture.request_numbers()
