"""Three ways to share a listening socket among processes, compared: python -m bench.accepting.

For each way: connections are opened one after another and kept, the share of the fullest process is taken,
and the time from connect to the first answered byte. Then one process is stopped, more connections are
opened, and the process is killed: how many of those never get an answer? Prints a Markdown table.
"""

from __future__ import annotations

import os
import select
import signal
import socket
import time
from collections import deque

PROCESSES = 4
OPENED = 400
MORE = 40


def listener(reuse: bool, port: int = 0) -> socket.socket:
    """A listening socket on loopback."""
    found = socket.socket()
    if reuse:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    found.bind(("127.0.0.1", port))
    found.listen(512)
    found.setblocking(False)
    return found


def answer(number: int, listening: socket.socket | None, link: socket.socket | None) -> None:
    """A process: answers each byte with its number. Accepts itself, or gets connections by the link."""
    poll = select.epoll()
    held: dict[int, socket.socket] = {}
    for source in (listening, link):
        if source is not None:
            poll.register(source, select.EPOLLIN)
    while True:
        for at, _ in poll.poll():
            if listening is not None and at == listening.fileno():
                for _ in range(32):
                    try:
                        accepted, _ = listening.accept()
                    except BlockingIOError:
                        break
                    held[accepted.fileno()] = accepted
                    poll.register(accepted, select.EPOLLIN)
            elif link is not None and at == link.fileno():
                _, passed, _, _ = socket.recv_fds(link, 16, 1)
                if not passed:
                    os._exit(0)
                link.send(b"t")  # taken
                held[passed[0]] = socket.socket(fileno=passed[0])
                poll.register(passed[0], select.EPOLLIN)
            else:
                data = held[at].recv(16)
                if data:
                    held[at].send(bytes([number]))
                else:
                    poll.unregister(at)
                    held.pop(at).close()


def supervise(listening: socket.socket, links: list[socket.socket]) -> None:
    """Accepts, passes each connection to whom has fewest, keeps it until taken, deals again what is left."""
    loads, untaken = [0] * len(links), [deque[int]() for _ in links]
    alive = set(range(len(links)))
    poll = select.epoll()
    poll.register(listening, select.EPOLLIN)
    for link in links:
        poll.register(link, select.EPOLLIN)
    at_link = {link.fileno(): i for i, link in enumerate(links)}

    def deal(descriptor: int) -> None:
        to = min(alive, key=lambda i: loads[i])
        loads[to] += 1
        untaken[to].append(descriptor)
        socket.send_fds(links[to], [b"c"], [descriptor])

    while True:
        for at, _ in poll.poll():
            if at == listening.fileno():
                try:
                    accepted, _ = listening.accept()
                except BlockingIOError:
                    continue
                deal(accepted.detach())
                continue
            i = at_link[at]
            try:
                taken = links[i].recv(1)
            except ConnectionResetError:
                taken = b""
            if taken:
                os.close(untaken[i].popleft())
            else:
                poll.unregister(at)
                alive.discard(i)
                while untaken[i]:
                    deal(untaken[i].popleft())


def measure(way: str) -> str:
    """One row of the table."""
    children: list[int] = []
    first = listener(reuse=way == "SO_REUSEPORT")
    port = first.getsockname()[1]
    pairs = [socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET) for _ in range(PROCESSES)]
    each = [first] + [listener(True, port) for _ in range(PROCESSES - 1)] if way == "SO_REUSEPORT" else []
    for i in range(PROCESSES):
        child = os.fork()
        if child == 0:
            for j, (ours, theirs) in enumerate(pairs):
                ours.close()
                if j != i:
                    theirs.close()
            for j, other in enumerate(each):
                if j != i:
                    other.close()
            mine = each[i] if each else first if way == "one inherited" else None
            answer(i, mine, pairs[i][1] if way == "passed" else None)
        children.append(child)
    for other in each[1:]:
        other.close()
    if each:
        first.close()
    if way == "passed":
        child = os.fork()
        if child == 0:
            for _, theirs in pairs:
                theirs.close()
            supervise(first, [ours for ours, _ in pairs])
        children.append(child)
    for ours, theirs in pairs:
        ours.close()
        theirs.close()
    time.sleep(0.2)
    counts = [0] * PROCESSES
    times, held = [], []
    for _ in range(OPENED):
        began = time.perf_counter()
        connection = socket.create_connection(("127.0.0.1", port), 5)
        connection.sendall(b"?")
        counts[connection.recv(1)[0]] += 1
        times.append(time.perf_counter() - began)
        held.append(connection)
    os.kill(children[0], signal.SIGSTOP)
    waiting = [socket.create_connection(("127.0.0.1", port), 5) for _ in range(MORE)]
    for connection in waiting:
        connection.sendall(b"?")
    time.sleep(0.2)
    os.kill(children[0], signal.SIGKILL)
    lost = 0
    for connection in waiting:
        connection.settimeout(1.0)
        try:
            lost += not connection.recv(1)
        except OSError:
            lost += 1
    for child in children:
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
    for connection in [*held, *waiting]:
        connection.close()
    times.sort()
    share = max(counts) / OPENED
    median = 1e6 * times[len(times) // 2]
    return f"| {way} | {share:.2f} | {median:.0f} µs | {lost} of {MORE} |"


if __name__ == "__main__":
    print("| way | share of the fullest of 4 | connect to first answer, median | lost with a process |")
    print("| --- | --- | --- | --- |")
    for way in ("one inherited", "SO_REUSEPORT", "passed"):
        print(measure(way), flush=True)
