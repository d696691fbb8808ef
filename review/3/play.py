"""A wait that a partner tells on a call of the old process is not heeded by the new process of the same relay."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import TROUBLE, Agent, Client, Endpoint, Relay, CannotRun, run_case

PARTNERS = 3
LEFT_MS = 16000
# The partners shut for as long.
WAIT_S = 8.0
# Calls that come within 100 ms are let through; every time limit is 50 ms longer.
LET_THROUGH_S = 0.15
# How long a partner serves, in turn: usual calls and slow ones.
SERVICE_S = [0.1, 0.3, 0.1, 0.5]


class Partner:
    """Serves, and shuts once for a span, when the case says so: what it has not served by then it refuses, with the time until it
    opens again."""

    def __init__(self):
        self.lock, self.served, self.open_at = threading.Lock(), 0, 0.0
        self.hold, self.shut = None, threading.Event()

    def decide(self, record):
        def decided(call):
            with self.lock:
                self.served += 1
                service = SERVICE_S[self.served % len(SERVICE_S)]
            if self.hold == call["id"] and not self.shut.is_set():
                # This call is still waiting in the queue when the partner shuts.
                self.shut.wait(10)
            left = self.open_at - record.now()
            return (0.0, lambda: (429, max(0.001, self.open_at - record.now()))) if left > 0 else (service, lambda: (200, None))
        return decided


def play(record, folder, relays):
    partners = [Partner() for _ in range(PARTNERS)]
    endpoints = [Endpoint(f"s-{n}", n, record, partner.decide(record)) for n, partner in enumerate(partners)]
    agent = Agent(record, [endpoint.member(4.0) for endpoint in endpoints])
    relay = Relay(record, folder, agent, inherited=True)
    relays.append(relay)
    relay.wait_ready(relay.start())
    desk = Client(record, relay.port, "desk")

    def hand_in(message, dest):
        if desk.hand_in("paid-extra", message, dest, LEFT_MS) != 202:
            raise CannotRun(f"{message} was not taken on")

    # Usual traffic, by which connections rest and are used again.
    for turn in range(12):
        for dest in range(PARTNERS):
            hand_in(f"usual-{turn}-{dest}", dest)
        time.sleep(0.7)
    for dest, partner in enumerate(partners):
        partner.hold = f"held-{dest}"
        hand_in(f"held-{dest}", dest)
    time.sleep(0.2)
    if TROUBLE:
        relay.wait_ready(relay.start(), 6.0)
    else:
        time.sleep(0.1)
    # Usual traffic goes on while the partners shut.
    for dest, partner in enumerate(partners):
        partner.open_at = record.now() + WAIT_S
        partner.shut.set()
    for turn in range(3):
        time.sleep(0.25)
        for dest in range(PARTNERS):
            hand_in(f"after-{turn}-{dest}", dest)
    time.sleep(WAIT_S + 3.0)
    broken = []
    for endpoint in endpoints:
        for told in [call for call in endpoint.calls if call["wait"]]:
            until = told["answered"] + told["wait"]
            early = [call for call in endpoint.calls if told["answered"] + LET_THROUGH_S < call["at"] < until - 0.05]
            for call in early:
                broken.append(f"{endpoint.name} told a wait of {told['wait']:.3f} s at {told['answered']:.3f} with {told['id']}, "
                              f"and got {call['id']} at {call['at']:.3f}, {call['at'] - told['answered']:.3f} s later")
    return broken


run_case(play)
