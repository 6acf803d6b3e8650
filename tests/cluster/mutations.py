"""Mutation tests: disables the mechanisms of the control state one at a time and checks that tests fail.

    python -m tests.cluster.mutations [--only WORD]

Each mutation is applied to a copy of the tree, where the tests that it should break are run. Every row of
the printed table has to say `noticed`.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
WORST_CASES = (
    "tests/cluster/test_worst_days.py tests/cluster/test_slow_links.py tests/cluster/test_drawn_days.py"
)
FOREIGN_BYTES = "tests/cluster/test_foreign_bytes.py tests/cluster/test_worker_machine.py"
AGREEMENT = "tests/cluster/test_agreement_model.py"


@dataclass(frozen=True)
class Mutation:
    """A source change that disables one mechanism, and the tests that have to fail with it.

    `old` stands exactly once in the file at `path` and is replaced by `new`.
    `words` is the expression for pytest's `-k` option.
    """

    mechanism: str
    path: str
    old: str
    new: str
    tests: str
    words: str = ""


MUTATIONS = (
    Mutation(
        "contact depends on replies, not on received messages",
        "pebbledrift/chain/replica.py",
        "self.peers.answered_since(now - CONTACT_TIMEOUT_S)",
        "self.peers.live_peers(now)",
        WORST_CASES,
        "stood_still",
    ),
    Mutation(
        "a replica is current only after a majority has replied",
        "pebbledrift/chain/replica.py",
        "return view.is_quorum(nodes) and self.log.committed >= newest",
        "return self.log.committed >= newest",
        WORST_CASES,
        "cut_off",
    ),
    Mutation(
        "a replica with old uncommitted entries does not report its state",
        "pebbledrift/chain/replica.py",
        "return self._pending.age(now) <= MAX_UNCOMMITTED_S",
        "return True",
        WORST_CASES,
        "loss_of_all_power",
    ),
    Mutation(
        "a call ID contains the incarnation of the process",
        "pebbledrift/chain/requests.py",
        "CallId(self.outbox.address, self.agreement.incarnation, self._number)",
        "CallId(self.outbox.address, 0, self._number)",
        WORST_CASES,
        "next_process",
    ),
    Mutation(
        "a refusal that could turn is recorded in the log",
        "pebbledrift/chain/requests.py",
        "        self._record_refusal(message.order)\n",
        "",
        "tests/cluster/test_early_orders.py",
    ),
    Mutation(
        "an accepted change that is sent again is recognized",
        "pebbledrift/control/orders.py",
        "if order.digest in self.accepted:",
        "if False:",
        WORST_CASES,
        "sent_again",
    ),
    Mutation(
        "a promise seals the epoch",
        "pebbledrift/chain/link.py",
        "return self.joined and not self.agreement.sealed",
        "return self.joined",
        WORST_CASES,
        "epoch_before",
    ),
    Mutation(
        "the tail commits only entries that all members have synced",
        "pebbledrift/chain/link.py",
        "        self.log.append(entry)\n        self._sync((entry,))\n        return entry",
        "        self.log.append(entry)\n        self._sync((entry,))\n"
        "        self._on_entries_committed(self.log.commit(entry.sequence))\n        return entry",
        WORST_CASES,
        "cut_off or explored or drawn",
    ),
    Mutation(
        "the head has the newest log of all nodes that promised",
        "pebbledrift/chain/planning.py",
        "newest = max(stamp for stamp, _ in stamps.values())",
        "newest = min(stamp for stamp, _ in stamps.values())",
        WORST_CASES,
        "power or explored or drawn",
    ),
    Mutation(
        "a joining node replaces a silent member",
        "pebbledrift/chain/planning.py",
        "if len(members) >= MAX_MEMBERS or any(_is_gone(status, node, 0.0) for node in members):",
        "if len(members) >= MAX_MEMBERS:",
        WORST_CASES,
        "newcomer",
    ),
    Mutation(
        "a joining node waits until a dead member is detected",
        "pebbledrift/chain/planning.py",
        "return status.now - peer.alive_since >= ALIVE_TIMEOUT_S + JOIN_SETTLE_S and status.caught_up(peer)",
        "return status.caught_up(peer)",
        WORST_CASES,
        "is_missed",
    ),
    Mutation(
        "a join request is answered once while the answer may be in transit",
        "pebbledrift/chain/link.py",
        "if message == self._answered_join and self._may_be_in_transit(entries, JOIN_RETRY_S):",
        "if False:",
        WORST_CASES,
        "answered_once",
    ),
    Mutation(
        "repair timeouts come from the settings",
        "pebbledrift/chain/planning.py",
        "return cls(min(MAX_REPLACE_S, max(ALIVE_TIMEOUT_S, REPLACE_FRACTION * catch_up_s)), catch_up_s)",
        "return cls(3.0, 4.0)",
        WORST_CASES,
        "newcomer",
    ),
    Mutation(
        "a membership change needs a majority of the old and the new members",
        "pebbledrift/chain/view.py",
        "return _majority(self.members, nodes) and (\n"
        "            not self.previous_members or _majority(self.previous_members, nodes)\n        )",
        "return _majority(self.members, nodes)",
        WORST_CASES,
        "both_sides",
    ),
    Mutation(
        "a barrier is valid in one epoch only",
        "pebbledrift/chain/link.py",
        "if barrier.epoch != self.epoch or barrier.position",
        "if barrier.position",
        WORST_CASES,
        "epoch_that_is_over",
    ),
    Mutation(
        "a view that a promising node has accepted takes precedence",
        "pebbledrift/chain/agreement.py",
        "accepted = [p for p in proposal.promises.values() if p.accepted_view is not None]",
        "accepted: list[Promise] = []",
        AGREEMENT,
    ),
    Mutation(
        "of the accepted views the one with the highest ballot takes precedence",
        "pebbledrift/chain/agreement.py",
        "return max(accepted, key=",
        "return min(accepted, key=",
        AGREEMENT,
    ),
    Mutation(
        "a promise is synced before it is sent",
        "pebbledrift/chain/agreement.py",
        "self.outbox.persist(self.vote(), then=lambda: self.outbox.send(sender, promise))",
        "self.outbox.send(sender, promise)\n        self.outbox.persist(self.vote())",
        AGREEMENT,
    ),
    Mutation(
        "an acceptance is synced before it is sent",
        "pebbledrift/chain/agreement.py",
        "self.outbox.persist(self.vote(), then=lambda: self.outbox.send(sender, answer))",
        "self.outbox.send(sender, answer)\n        self.outbox.persist(self.vote())",
        AGREEMENT,
    ),
    Mutation(
        "a ballot lower than the promised one is not accepted",
        "pebbledrift/chain/agreement.py",
        "        if not self._may_vote_on(ballot) or ballot < self.promised:\n"
        "            self._reject(sender, ballot)\n            return\n"
        "        self.promised = self.accepted_ballot",
        "        if not self._may_vote_on(ballot):\n"
        "            self._reject(sender, ballot)\n            return\n"
        "        self.promised = self.accepted_ballot",
        AGREEMENT,
    ),
    Mutation(
        "a ballot lower than the promised one is not promised",
        "pebbledrift/chain/agreement.py",
        "        if not self._may_vote_on(ballot) or ballot < self.promised:\n"
        "            self._reject(sender, ballot)\n            return\n"
        "        self.promised = ballot",
        "        if not self._may_vote_on(ballot):\n"
        "            self._reject(sender, ballot)\n            return\n"
        "        self.promised = ballot",
        AGREEMENT,
    ),
    Mutation(
        "a vote survives a restart of the process",
        "pebbledrift/chain/agreement.py",
        "        if vote is not None:\n",
        "        if False:\n",
        AGREEMENT,
    ),
    Mutation(
        "an epoch is decided by the voters of the previous epoch",
        "pebbledrift/chain/agreement.py",
        "        if self.view.is_quorum(proposal.accepted):",
        "        if proposal.view.is_quorum(proposal.accepted):",
        AGREEMENT,
    ),
    Mutation(
        "a majority has to promise",
        "pebbledrift/chain/agreement.py",
        "        if not self.view.is_quorum(proposal.promises):",
        "        if not proposal.promises:",
        AGREEMENT,
    ),
    Mutation(
        "a majority has to accept",
        "pebbledrift/chain/agreement.py",
        "        if self.view.is_quorum(proposal.accepted):",
        "        if proposal.accepted:",
        AGREEMENT,
    ),
    Mutation(
        "the chain contains a majority of the members",
        "pebbledrift/chain/agreement.py",
        "        return view if view.is_quorum(view.chain_nodes) else None",
        "        return view",
        WORST_CASES,
        "of_the_chain",
    ),
    Mutation(
        "a restarted replica is a different proposer",
        "pebbledrift/chain/agreement.py",
        'f"{self.node}#{self.incarnation:x}"',
        "self.node",
        AGREEMENT,
    ),
    Mutation(
        "a leaving node waits until the others hold all entries",
        "pebbledrift/chain/replica.py",
        "if node in view.chain_nodes or len(others) <= self.settings.tolerated_failures:\n"
        "            return False",
        "if node in view.chain_nodes or len(others) <= self.settings.tolerated_failures:\n"
        "            return True",
        WORST_CASES,
        "leaves",
    ),
    Mutation(
        "a transfer resumes where it stopped",
        "pebbledrift/chain/transfer.py",
        "        if address == self._source:\n            self._retry_at, self._retry_s = 0.0, RETRY_S",
        "        if address == self._source:\n            self.stop()",
        WORST_CASES,
        "broken_off",
    ),
    Mutation(
        "a request for a snapshot part is not repeated while the answer is in transit",
        "pebbledrift/chain/transfer.py",
        "if not self.active or now < self._retry_at:",
        "if not self.active:",
        WORST_CASES,
        "hundreds",
    ),
    Mutation(
        "heartbeats do not wait behind transfers",
        "pebbledrift/chain/messages.py",
        "    *(Heartbeat, ViewNotice, Prepare,",
        "    *(ViewNotice, Prepare,",
        WORST_CASES,
        "heartbeats_pass",
    ),
    Mutation(
        "a keeper that was suspended reports nothing to routers based on old heartbeats",
        "pebbledrift/chain/replica.py",
        "self.peers.answered_since(now - CONTACT_TIMEOUT_S)",
        "self.peers.live_peers(now)",
        "tests/cluster/test_relay_cut.py",
    ),
    Mutation(
        "a complete chain continues before it is extended",
        "pebbledrift/chain/coordination.py",
        "    return same and view.is_quorum(view.chain_nodes) and set(view.chain) < set(next_plan.chain)",
        "    return False",
        WORST_CASES,
        "slow_links_do",
    ),
    Mutation(
        "calls are resent only after they may have arrived",
        "pebbledrift/chain/requests.py",
        "    return len(call.order.body) / SLOWEST_LINK_BYTES_PER_S if call.order is not None else 0.0",
        "    return 0.0",
        WORST_CASES,
        "large_call",
    ),
    Mutation(
        "entries sent into a broken connection are resent at once",
        "pebbledrift/chain/link.py",
        '        if node == self._neighbour(1):\n            self._entries_sent_at = float("-inf")',
        "        return",
        WORST_CASES,
        "broken_connection",
    ),
    Mutation(
        "a snapshot source that is down is replaced",
        "pebbledrift/chain/transfer.py",
        "        return self.stalled(now) and now - self._other_offer_since >= FAILOVER_DELAY_S",
        "        return False",
        WORST_CASES,
        "source_is_gone",
    ),
    Mutation(
        "reads pass a member that votes on a later view",
        "pebbledrift/chain/link.py",
        "barrier.position != self.position or not self.joined:",
        "barrier.position != self.position or not self.active:",
        "tests/cluster/test_reads_on_slow_disks.py",
        "promises",
    ),
    Mutation(
        "a read's barrier is of one epoch",
        "pebbledrift/chain/link.py",
        "if barrier.epoch != self.epoch or barrier.position != self.position",
        "if barrier.position != self.position",
        WORST_CASES,
        "",
    ),
    Mutation(
        "a replica is never offered a snapshot that it has",
        "pebbledrift/chain/transfer.py",
        "if snapshot is None or snapshot.stamp.sequence <= after.sequence:",
        "if snapshot is None:",
        "tests/cluster/test_snapshot_offers.py",
        "large_changes",
    ),
    Mutation(
        "only a node with an empty disk can be a founder",
        "pebbledrift/keeper/startup.py",
        "is_founder = disk.was_empty and address in founders",
        "is_founder = address in founders",
        "tests/cluster/test_storage.py",
        "founds",
    ),
    Mutation(
        "a slot whose write failed is erased",
        "pebbledrift/chain/storage.py",
        "                self._next_slot_uncertain = True\n",
        "",
        "tests/cluster/test_storage.py",
        "failed",
    ),
    Mutation(
        "startup syncs the slot that it reads",
        "pebbledrift/chain/storage.py",
        "            self._slots.sync_newest()\n",
        "",
        "tests/cluster/test_storage.py",
        "read_but_not_synced",
    ),
    Mutation(
        "a drain is acknowledged by a majority",
        "pebbledrift/keeper/workers.py",
        "        if self._reaches_quorum(confirmation.addresses):",
        "        if True:",
        "tests/cluster/test_workers.py",
    ),
    Mutation(
        "a drain is on disk before it is acknowledged",
        "pebbledrift/keeper/workers.py",
        "            self._save_then(lambda: self._network.send(sender, acknowledgement))",
        "            self._network.send(sender, acknowledgement)",
        "tests/cluster/test_workers.py",
    ),
    Mutation(
        "a response without the request's ID is not accepted as its answer",
        "pebbledrift/router/attempt.py",
        "        if response_id != self.owner.admitted",
        "        if response_id is not None and response_id != self.owner.admitted",
        "tests/cluster/test_worker_answers.py",
    ),
    Mutation(
        "a connection with unwritten data is not kept alive",
        "pebbledrift/router/upstream.py",
        "if message.keep_alive and not self.parser.inside and self._all_written:",
        "if message.keep_alive and not self.parser.inside:",
        "tests/cluster/test_worker_answers.py",
    ),
    Mutation(
        "a starting router checks whether its keeper is current",
        "pebbledrift/overlay/follower.py",
        "if requested_at is None or now - requested_at > MAX_STATUS_REPLY_DELAY_S or not reply.current:",
        "if not reply.current:",
        "tests/cluster/test_follower.py",
        "status",
    ),
    Mutation(
        "bytes on an idle worker connection end it",
        "pebbledrift/router/upstream.py",
        "        if self.exchange is not None:\n            super().feed(data)\n            return\n",
        "        super().feed(data)\n        return\n",
        FOREIGN_BYTES,
    ),
    Mutation(
        "a worker connection with unread bytes is not used",
        "pebbledrift/router/upstream.py",
        'return not has_unread_input(self.transport.get_extra_info("socket"))',
        "return True",
        FOREIGN_BYTES,
    ),
    Mutation(
        "a head begins at its last status line",
        "pebbledrift/net/http.py",
        "            end -= self._drop_foreign_bytes(end)\n",
        "            end -= 0\n",
        FOREIGN_BYTES,
    ),
    Mutation(
        "a second attempt uses another connection",
        "pebbledrift/router/upstream.py",
        "            if connection in avoided:\n                continue\n",
        "",
        FOREIGN_BYTES,
    ),
    Mutation(
        "an incomplete event ends with its attempt",
        "pebbledrift/router/attempt.py",
        "self.events = EventSplitter(resume_after)",
        'self.events = owner.__dict__.setdefault("splitter", EventSplitter())',
        "tests/cluster/test_resumed_streams.py tests/cluster/test_worker_machine.py",
    ),
    Mutation(
        "a router that ends refuses what waits in it in time",
        "pebbledrift/router/draining.py",
        "            self._refuse_waiting()\n",
        "",
        "tests/cluster/test_draining.py",
        "wait_in_a_router",
    ),
    Mutation(
        "a router that ends sends nothing that would not finish",
        "pebbledrift/router/flow.py",
        "if self.progress.has_not_run and not self._router.may_start(self.admitted):",
        "if False:",
        "tests/cluster/test_draining.py",
        "refused_at_its_send",
    ),
    Mutation(
        "a router that ends flushes its responses",
        "pebbledrift/router/draining.py",
        "(now := self._loop.time()) < self._schedule.close_at:",
        "(now := self._loop.time()) < self._schedule.answer_at:",
        "tests/cluster/test_draining.py",
        "reads_late",
    ),
    Mutation(
        "a job class is forgotten with its last route and request",
        "pebbledrift/router/job_classes.py",
        "            del self._entries[job_class]\n",
        "",
        "tests/cluster/test_job_classes.py",
        "in_force_or_open",
    ),
    Mutation(
        "a request runs under its own route's class",
        "pebbledrift/router/placement.py",
        "        job_class = job_class_of(route)\n",
        "        job_class = api.JobClass(aim_ms=1000.0, deadline_ms=1000.0)\n",
        "tests/cluster/test_job_classes.py",
        "changed_timeouts",
    ),
    Mutation(
        "a keeper that stood still does not count its silence",
        "pebbledrift/keeper/workers.py",
        "if elapsed > MAX_REPORT_GAP_S or not self._in_touch(now):",
        "if not self._in_touch(now):",
        "tests/cluster/test_workers.py",
        "stood_still",
    ),
    Mutation(
        "a keeper that is cut off does not count its silence",
        "pebbledrift/keeper/workers.py",
        "if elapsed > MAX_REPORT_GAP_S or not self._in_touch(now):",
        "if elapsed > MAX_REPORT_GAP_S:",
        "tests/cluster/test_workers.py",
        "cut_off",
    ),
    Mutation(
        "a worker that was not heard has not ended",
        "pebbledrift/control/registry.py",
        "            if instance.state == InstanceState.READY:\n",
        "            if False:\n",
        "tests/cluster/test_workers.py",
        "comes_back",
    ),
    Mutation(
        "a client's headers do not take workers out of service",
        "pebbledrift/router/attempt.py",
        "if header_names.EXPECT_VERSION in self.owner.admitted.message.headers:",
        "if False:",
        "tests/cluster/test_client_headers.py",
    ),
    Mutation(
        "client connections follow the limits in force",
        "pebbledrift/router/service.py",
        "        self.apply_limits(self._router.parser_limits)\n",
        "",
        "tests/cluster/test_limits_in_force.py",
    ),
    Mutation(
        "what unheard routers may spend is set aside",
        "pebbledrift/keeper/lending.py",
        "        self._set_aside(now)\n",
        "",
        "tests/cluster/test_unheard_routers.py",
    ),
)


def copy_tree(folder: Path) -> None:
    """Copies what the tests need to `folder`, without build products."""
    for name in ("pebbledrift", "spoolpier", "tests", "rig", "pyproject.toml"):
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / name)


def is_detected(mutation: Mutation) -> bool:
    """Returns whether the tests fail with the mutation applied.

    Raises `SystemExit` if `old` does not stand exactly once in its file, or if pytest cannot run the tests.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        path = folder / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise SystemExit(
                f"{mutation.mechanism}: expected one match of the old text in {mutation.path}, "
                f"got {text.count(mutation.old)}"
            )
        path.write_text(text.replace(mutation.old, mutation.new))
        command = [sys.executable, "-m", "pytest", "-x", "-q", "-n", "0", *mutation.tests.split()]
        if mutation.words:
            command += ["-k", mutation.words]
        result = subprocess.run(command, cwd=folder, capture_output=True, text=True)
        if result.returncode not in (0, 1):
            raise SystemExit(f"{mutation.mechanism}: the tests could not be run\n{result.stdout[-2000:]}")
        return result.returncode == 1


def main() -> int:
    """Runs the selected mutations, prints the table and returns 1 if the tests missed any of them, else 0."""
    parser = argparse.ArgumentParser(
        description="Disables mechanisms one at a time and checks that tests fail."
    )
    parser.add_argument("--only", default="", help="only mutations with this text in their title")
    only = parser.parse_args().only
    missed_count = 0
    for mutation in MUTATIONS:
        if only in mutation.mechanism:
            detected = is_detected(mutation)
            missed_count += not detected
            print(f"| {mutation.mechanism} | {'noticed' if detected else 'NOT NOTICED'} |", flush=True)
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
