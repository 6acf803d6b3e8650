"""Takes the mechanisms of the control state out, one at a time, and shows that the tests notice.

    python -m tests.cluster.mutations [--only WORD]

copies the tree, changes the copy, and runs the tests that the change should break. Every line of its table
has to say `noticed`.
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
WORST = "tests/cluster/test_worst_days.py tests/cluster/test_slow_links.py tests/cluster/test_drawn_days.py"
AGREEMENT = "tests/cluster/test_agreement_model.py"


@dataclass(frozen=True)
class Mutation:
    """A change of the program that takes a mechanism out, and the tests that have to fail with it."""

    mechanism: str
    path: str
    old: str
    new: str
    tests: str
    words: str = ""


MUTATIONS = (
    Mutation(
        "contact rests on answers, not on arrivals",
        "pebbledrift/chain/replica.py",
        "self.peers.answered_since(now - CONTACT_TIMEOUT_S)",
        "self.peers.live_peers(now)",
        WORST,
        "stood_still",
    ),
    Mutation(
        "a majority is asked before anything is current",
        "pebbledrift/chain/replica.py",
        "return view.is_quorum(nodes) and self.log.committed >= newest",
        "return self.log.committed >= newest",
        WORST,
        "cut_off",
    ),
    Mutation(
        "who holds entries that are not committed tells nothing",
        "pebbledrift/chain/replica.py",
        "return self._pending.age(now) <= MAX_UNCOMMITTED_S",
        "return True",
        WORST,
        "loss_of_all_power",
    ),
    Mutation(
        "a call is named by its process",
        "pebbledrift/chain/requests.py",
        "CallId(self.outbox.address, self.agreement.incarnation, self._number)",
        "CallId(self.outbox.address, 0, self._number)",
        WORST,
        "next_process",
    ),
    Mutation(
        "a refused call stays refused",
        "pebbledrift/chain/requests.py",
        "self._refused.get(message.call) or self._evaluate(message.order)",
        "self._evaluate(message.order)",
        WORST,
        "comes_late",
    ),
    Mutation(
        "a change that was taken is known again",
        "pebbledrift/control/orders.py",
        "if order.digest in self.accepted:",
        "if False:",
        WORST,
        "sent_again",
    ),
    Mutation(
        "the promise seals the epoch",
        "pebbledrift/chain/link.py",
        "return self.joined and not self.agreement.sealed",
        "return self.joined",
        WORST,
        "epoch_before",
    ),
    Mutation(
        "the tail commits what all members have synced",
        "pebbledrift/chain/link.py",
        "        self.log.append(entry)\n        self._sync((entry,))\n        return entry",
        "        self.log.append(entry)\n        self._sync((entry,))\n"
        "        self._on_entries_committed(self.log.commit(entry.sequence))\n        return entry",
        WORST,
        "cut_off or explored or drawn",
    ),
    Mutation(
        "the head has the newest log of all that promised",
        "pebbledrift/chain/planning.py",
        "newest = max(stamp for stamp, _ in stamps.values())",
        "newest = min(stamp for stamp, _ in stamps.values())",
        WORST,
        "power or explored or drawn",
    ),
    Mutation(
        "a newcomer takes the place of a silent member",
        "pebbledrift/chain/planning.py",
        "if len(members) >= MAX_MEMBERS or any(_is_gone(status, node, 0.0) for node in members):",
        "if len(members) >= MAX_MEMBERS:",
        WORST,
        "newcomer",
    ),
    Mutation(
        "a newcomer waits until the dead is missed",
        "pebbledrift/chain/planning.py",
        "return status.now - peer.alive_since >= ALIVE_TIMEOUT_S + JOIN_SETTLE_S and status.caught_up(peer)",
        "return status.caught_up(peer)",
        WORST,
        "is_missed",
    ),
    Mutation(
        "a join request is answered once while the answer may be in transit",
        "pebbledrift/chain/link.py",
        "if message == self._answered_join and self._may_be_in_transit(entries, JOIN_RETRY_S):",
        "if False:",
        WORST,
        "answered_once",
    ),
    Mutation(
        "times of repair come from the settings",
        "pebbledrift/chain/planning.py",
        "return cls(min(MAX_REPLACE_S, max(ALIVE_TIMEOUT_S, REPLACE_FRACTION * catch_up_s)), catch_up_s)",
        "return cls(3.0, 4.0)",
        WORST,
        "newcomer",
    ),
    Mutation(
        "a change of members needs the majority of both",
        "pebbledrift/chain/view.py",
        "return _majority(self.members, nodes) and (\n"
        "            not self.previous_members or _majority(self.previous_members, nodes)\n        )",
        "return _majority(self.members, nodes)",
        WORST,
        "both_sides",
    ),
    Mutation(
        "a barrier is of one epoch",
        "pebbledrift/chain/link.py",
        "if barrier.epoch != self.epoch or barrier.position",
        "if barrier.position",
        WORST,
        "epoch_that_is_over",
    ),
    Mutation(
        "what a promiser has accepted goes first",
        "pebbledrift/chain/agreement.py",
        "accepted = [p for p in proposal.promises.values() if p.accepted_view is not None]",
        "accepted: list[Promise] = []",
        AGREEMENT,
    ),
    Mutation(
        "of what was accepted the highest ballot's goes first",
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
        "no lower ballot is accepted than was promised",
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
        "no lower ballot is promised than before",
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
        "a vote outlives the process",
        "pebbledrift/chain/agreement.py",
        "        if vote is not None:\n",
        "        if False:\n",
        AGREEMENT,
    ),
    Mutation(
        "an epoch is decided by the voters before it",
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
        "the chain is a majority",
        "pebbledrift/chain/agreement.py",
        "        return view if view.is_quorum(view.chain_nodes) else None",
        "        return view",
        WORST,
        "of_the_chain",
    ),
    Mutation(
        "a replica's next process is another proposer",
        "pebbledrift/chain/agreement.py",
        'f"{self.node}#{self.incarnation:x}"',
        "self.node",
        AGREEMENT,
    ),
    Mutation(
        "who leaves waits until the others hold all",
        "pebbledrift/chain/replica.py",
        "if node in view.chain_nodes or len(others) <= self.settings.tolerated_failures:\n"
        "            return False",
        "if node in view.chain_nodes or len(others) <= self.settings.tolerated_failures:\n"
        "            return True",
        WORST,
        "leaves",
    ),
    Mutation(
        "a transfer resumes where it stopped",
        "pebbledrift/chain/transfer.py",
        "        if address == self._source:\n            self._retry_at, self._retry_s = 0.0, RETRY_S",
        "        if address == self._source:\n            self.stop()",
        WORST,
        "broken_off",
    ),
    Mutation(
        "a request for a snapshot part is not repeated while the answer is in transit",
        "pebbledrift/chain/transfer.py",
        "if not self.active or now < self._retry_at:",
        "if not self.active:",
        WORST,
        "hundreds",
    ),
    Mutation(
        "heartbeats do not wait behind transfers",
        "pebbledrift/chain/messages.py",
        "    *(Heartbeat, ViewNotice, Prepare,",
        "    *(ViewNotice, Prepare,",
        WORST,
        "heartbeats_pass",
    ),
    Mutation(
        "a keeper that stood still tells routers nothing by old heartbeats",
        "pebbledrift/chain/replica.py",
        "self.peers.answered_since(now - CONTACT_TIMEOUT_S)",
        "self.peers.live_peers(now)",
        "tests/cluster/test_relay_cut.py",
    ),
    Mutation(
        "a whole chain is let go on before it is made longer",
        "pebbledrift/chain/coordination.py",
        "    return same and view.is_quorum(view.chain_nodes) and set(view.chain) < set(next_plan.chain)",
        "    return False",
        WORST,
        "slow_links_do",
    ),
    Mutation(
        "calls are sent again only once they may have arrived",
        "pebbledrift/chain/requests.py",
        "    return len(call.order.body) / SLOWEST_LINK_BYTES_PER_S if call.order is not None else 0.0",
        "    return 0.0",
        WORST,
        "large_call",
    ),
    Mutation(
        "entries sent into a broken connection are resent at once",
        "pebbledrift/chain/link.py",
        '        if node == self._neighbour(1):\n            self._entries_sent_at = float("-inf")',
        "        return",
        WORST,
        "broken_connection",
    ),
    Mutation(
        "a snapshot source that is down is replaced",
        "pebbledrift/chain/transfer.py",
        "        return self.stalled(now) and now - self._other_offer_since >= FAILOVER_DELAY_S",
        "        return False",
        WORST,
        "source_is_gone",
    ),
    Mutation(
        "only an empty disk founds",
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
        "a start syncs the slot that it reads",
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
        "a drain is on the disk before it counts",
        "pebbledrift/keeper/workers.py",
        "            self._save_then(lambda: self._network.send(sender, acknowledgement))",
        "            self._network.send(sender, acknowledgement)",
        "tests/cluster/test_workers.py",
    ),
    Mutation(
        "an answer without the request's id proves nothing",
        "pebbledrift/router/attempt.py",
        "        if response_id != self.owner.admitted",
        "        if response_id is not None and response_id != self.owner.admitted",
        "tests/cluster/test_worker_answers.py",
    ),
    Mutation(
        "a connection that is not all written is not kept",
        "pebbledrift/router/upstream.py",
        "if message.keep_alive and not self.parser.inside and self._all_written:",
        "if message.keep_alive and not self.parser.inside:",
        "tests/cluster/test_worker_answers.py",
    ),
    Mutation(
        "a router that starts asks whether its keeper is current",
        "pebbledrift/overlay/follower.py",
        "if requested_at is None or now - requested_at > MAX_STATUS_REPLY_DELAY_S or not reply.current:",
        "if not reply.current:",
        "tests/cluster/test_follower.py",
        "status",
    ),
)


def copy_tree(folder: Path) -> None:
    """What the tests need, without what is built."""
    for name in ("pebbledrift", "spoolpier", "tests", "rig", "pyproject.toml"):
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / name)


def noticed(mutation: Mutation) -> bool:
    """Whether the tests fail with a mechanism taken out."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        path = folder / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise SystemExit(f"{mutation.mechanism}: {text.count(mutation.old)} places in {mutation.path}")
        path.write_text(text.replace(mutation.old, mutation.new))
        command = [sys.executable, "-m", "pytest", "-x", "-q", "-n", "0", *mutation.tests.split()]
        if mutation.words:
            command += ["-k", mutation.words]
        ran = subprocess.run(command, cwd=folder, capture_output=True, text=True)
        if ran.returncode not in (0, 1):
            raise SystemExit(f"{mutation.mechanism}: the tests could not be run\n{ran.stdout[-2000:]}")
        return ran.returncode == 1


def main() -> int:
    """Try all, and print a table."""
    parser = argparse.ArgumentParser(description="Takes mechanisms out and shows that the tests notice.")
    parser.add_argument("--only", default="", help="those with this word in their name")
    only = parser.parse_args().only
    missed = 0
    for mutation in MUTATIONS:
        if only in mutation.mechanism:
            found = noticed(mutation)
            missed += not found
            print(f"| {mutation.mechanism} | {'noticed' if found else 'NOT NOTICED'} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
