"""A partner that returns cold is pushed over by relays that saw it fail."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import TROUBLE, Agent, CannotRun, Client, Endpoint, Relay, run_case

RELAYS, SLOTS = 2, 40
RATE = 12.0
COLD_FROM, COLD_S, MULTIPLE, WINDOW_S = 0.16, 10.0, 2.0, 2.0
OUTAGE_S = 9.0
CLUMP = 40
LEFT_MS = 12000


class Partner(Endpoint):
    """Refuses connections while it is down. It serves one call after the other, as fast as it can at the moment, and answers `full`
    (503) when more than two seconds of work wait."""

    def __init__(self, record):
        self.back, self.open, self.busy_until, self.turn = None, [], 0.0, threading.Lock()
        super().__init__("s-0", 0, record, self.service)

    def service(self, call):
        with self.turn:
            now = self.record.now()
            if self.busy_until - now > 2.0:
                return 0.03, lambda: (503, None)
            self.busy_until = max(now, self.busy_until) + 1 / (RATE * self.capacity(now))
            return self.busy_until - now + 0.03, lambda: (200, None)

    def capacity(self, at):
        """Share of its full capacity that it has at a time, at the least."""
        return 1.0 if self.back is None else min(1.0, COLD_FROM + (1 - COLD_FROM) * max(0.0, at - self.back) / COLD_S)

    def serve(self, sock):
        self.open.append(sock)
        super().serve(sock)

    def down(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.open:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.open = []

    def up(self):
        port = int(self.address.split(":")[1])
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(512)
        threading.Thread(target=self.accept, daemon=True).start()


def play(record, folder, relays):
    partner = Partner(record)
    agent = Agent(record, [partner.member(RATE)])
    for number in range(RELAYS):
        relay = Relay(record, folder, agent, name=f"n{number}", relays=RELAYS, number=number, slots=SLOTS)
        relays.append(relay)
        relay.wait_ready(relay.start())
    desks = [Client(record, relay.port, f"desk at {relay.name}") for relay in relays]

    def hand_in(relay, message):
        if desks[relay].hand_in("status-update", message, 0, LEFT_MS) != 202:
            raise CannotRun(f"{message} was not taken on")

    # Some usual messages, then the partner is quiet for a while.
    for turn in range(5):
        for relay in range(RELAYS):
            hand_in(relay, f"u-{turn}-{relay}")
        time.sleep(0.3)
    if TROUBLE:
        record.line("s-0", "goes down: connections are refused")
        partner.down()
        time.sleep(OUTAGE_S - 0.9)
        # Each relay meets a refused connection while the partner is down.
        for relay in range(RELAYS):
            hand_in(relay, f"failed-{relay}")
        time.sleep(0.9)
        partner.back = record.now()
        partner.up()
        record.line("s-0", f"is back, cold: {COLD_FROM} of its capacity")
        until = time.monotonic() + 3
        while time.monotonic() < until and len([c for c in partner.calls if c["id"].startswith("failed-") and c["status"]]) < RELAYS:
            time.sleep(0.01)
    time.sleep(0.1)
    # A clump of messages for one partner, as many as it takes in 3.3 s.
    for number in range(CLUMP // RELAYS):
        for relay in range(RELAYS):
            hand_in(relay, f"clump-{relay}-{number}")
    time.sleep(8)
    if not TROUBLE:
        return []
    times = sorted(call["at"] for call in partner.calls if call["at"] >= partner.back)
    worst = None
    for first in times:
        count = sum(first <= at < first + WINDOW_S for at in times)
        # The capacity at the end of the window, the most in it.
        allowed = MULTIPLE * RATE * partner.capacity(first + WINDOW_S) * WINDOW_S
        limit = allowed + (3 * allowed ** 0.5 + 3 if allowed < 30 else 2 * allowed ** 0.5 + 2)
        if worst is None or count - limit > worst[0] - worst[1]:
            worst = (count, limit, first)
    count, limit, first = worst
    record.line("verdict", f"worst 2 s from {first:.3f}, {first - partner.back:.3f} s after the return: {count} calls, limit {limit:.1f}")
    return [f"{count} calls in 2 s, over the limit of {limit:.1f}; both relays had seen it fail"] if count > limit else []


run_case(play)
