"""Stand-ins for the review's cases: endpoints, the platform's agent, clients, and the start of relays.

They follow the protocol page. All sockets are on 127.0.0.1 with ports that the system chooses. Python's standard library only.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The case's record.txt: what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, who, text):
        with self.lock:
            self.file.write(f"{self.now():9.4f} {who}: {text}\n")
            self.file.flush()


def read_message(sock, buffer):
    """Reads one HTTP message. Returns first line, headers, body and the rest; None when the connection ends before."""
    while b"\r\n\r\n" not in buffer:
        more = sock.recv(65536)
        if not more:
            return None
        buffer += more
    head, _, rest = buffer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        more = sock.recv(65536)
        if not more:
            return None
        rest += more
    return lines[0], headers, rest[:length], rest[length:]


class Server:
    """A listening socket with a thread for each connection."""

    def __init__(self):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guarded, args=(sock,), daemon=True).start()

    def guarded(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def close(self):
        self.listener.close()


class Endpoint(Server):
    """An endpoint. `decide(call)` is called when a call's last byte has come; it returns the seconds until the answer, a function
    that returns the status and the `Retry-After` in seconds (or None) at that moment, and may block."""

    def __init__(self, name, cell, record, decide):
        self.name, self.cell, self.record, self.decide = name, cell, record, decide
        self.calls, self.lock = [], threading.Lock()
        super().__init__()

    def member(self, rate, phase="Ready"):
        return {"id": self.name, "host_port": self.address, "locality": "seeb-dc1", "flavor": "carrier", "cell": self.cell,
                "phase": phase, "size": rate, "up_since_ms": 0}

    def serve(self, sock):
        buffer, served = b"", 0
        while True:
            message = read_message(sock, buffer)
            if message is None:
                return
            line, headers, _, buffer = message
            call = {"endpoint": self.name, "cell": self.cell, "id": headers.get("x-correlation-id"), "at": self.record.now(),
                    "earlier_on_connection": served, "answered": None, "status": None, "wait": None}
            with self.lock:
                self.calls.append(call)
            self.record.line(self.name, f"call {call['id']} (call {served + 1} on its connection)")
            delay, answer = self.decide(call)
            time.sleep(delay)
            status, wait = answer()
            more = "" if wait is None else f"Retry-After: {wait:.3f}\r\n"
            # A wait starts when its answer is written.
            call["answered"], call["status"], call["wait"] = self.record.now(), status, wait
            sock.sendall(f"HTTP/1.1 {status} Answer\r\n{more}Content-Length: 0\r\n\r\n".encode())
            self.record.line(self.name, f"answer {status} to {call['id']}" + (f", wait {wait:.3f} s" if wait is not None else ""))
            served += 1


class Agent(Server):
    """The platform's agent: the list of endpoints by watches, and non-delivery reports."""

    def __init__(self, record, members):
        self.record, self.members, self.revision = record, members, 1
        self.changed = threading.Condition()
        self.ended = {}
        super().__init__()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def serve(self, sock):
        buffer = b""
        while True:
            message = read_message(sock, buffer)
            if message is None:
                return
            line, _, body, buffer = message
            method, path, _ = line.split(" ", 2)
            if method == "POST" and path == "/reports":
                for text in body.decode().splitlines():
                    report = json.loads(text)
                    self.record.line("agent", f"report {text}")
                    self.ended.setdefault(report["message"], (self.record.now(), report["outcome"]))
                sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            answer = self.whole()
            if "?" in path:
                query = dict(pair.split("=") for pair in path.split("?")[1].split("&"))
                index, wait = int(query.get("index", 0)), int(query.get("wait", 0)) / 1000
                with self.changed:
                    self.changed.wait_for(lambda: self.revision > index, wait)
                    answer = self.whole() if self.revision > index else {
                        "revision": self.revision, "complete": False, "members": []}
            text = json.dumps(answer).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)


def settings(relays=1, number=0, **limits):
    """Settings in the terms of the deployment muscat-checkin."""
    def one(name, effect, aim, deadline, value, late):
        return {"Name": name, "Idempotency": effect, "AimUs": aim, "DeadlineUs": deadline, "Value": value, "LateWorth": late,
                "DedupWindowUs": 5000000, "Group": "all", "Stream": False}
    return {
        "Family": "deliver", "Discovery": "push", "Layers": ["partner-systems"], "Tier": 0, "TickUs": 5000,
        "Classes": [one("status-update", "idempotent", 2500000, 24000000, 1.0, 0.4),
                    one("paid-extra", "at_most_once", 2000000, 16000000, 3.0, 0.3)],
        "Tenants": [{"Name": "batinah-desks", "QuotaPerS": 19.0, "Share": 0.56},
                    {"Name": "dhofar-desks", "QuotaPerS": 9.0, "Share": 0.27},
                    {"Name": "sharqiyah-desks", "QuotaPerS": 6.0, "Share": 0.17}],
        "Domain": {"MaxCalls": limits.pop("slots", 11), "KindApart": [False, False, False], "KindBatch": [1, 1, 1],
                   "Late": "by_half", "RefusalCost": 0.0, "FeeByZone": [0.0]},
        "HostTypes": ["carrier", "handler", "payment-house"], "Zones": ["seeb-dc1"], "MyZone": "seeb-dc1",
        "Weights": "nominal", "WorthBy": "request", "OverShareWorth": 0.2, "MyNumber": number, "PeersTotal": relays,
        "Limits": {"OpenCap": 241, "MaxAttempts": 12, "MaxRetryAfterUs": 2000000, "RetryAfter": False, "Cancel": True,
                   "ConnIdleUs": 15000000, "ConnectTimeoutUs": 1000000, "SecondCopies": False, "Probes": False, "Peers": False,
                   "MaxStreams": 1, "CpuUsPerS": 500000, "CpuUsPerRequest": 0.0},
        "Telemetry": {"How": "piggyback", "Columns": ["x0", "x1"]},
        "Rules": {"ColdFrom": 0.16, "ColdUs": 10000000, "FallMultiple": 2.0, "OverloadForUs": 2000000,
                  "GraceToAnswerUs": 20000, "StopSendingWithinUs": 1000000, "AskEveryUs": 10000000},
    }


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Relay:
    """One relay: its configuration, its folder, and the processes started for it with the deploy file's command."""

    def __init__(self, record, folder, agent, name="n0", inherited=False, **more):
        self.record, self.folder, self.name = record, folder, name
        self.state = os.path.join(folder, name + "-state")
        self.temporary = os.path.join(folder, name + "-tmp")
        os.makedirs(self.state)
        os.makedirs(self.temporary)
        self.socket = None
        if inherited:
            self.socket = socket.socket()
            self.socket.bind(("127.0.0.1", 0))
            self.socket.listen(512)
            self.port = self.socket.getsockname()[1]
        else:
            self.port = free_port()
        self.config = os.path.join(folder, name + ".json")
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump({"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": agent.address, "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                       "known": agent.whole(), "settings": settings(**more)}, file)
        self.processes = []

    def start(self):
        """Starts a process and returns it. Its log goes to a file in the temporary folder."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        ops = f"127.0.0.1:{free_port()}"
        environment = {"PATH": os.environ.get("PATH", ""), "PROXY_NAME": self.name, "PROXY_LISTEN": f"127.0.0.1:{self.port}",
                       "PROXY_STATE": self.state, "PROXY_CONFIG": self.config, "PROXY_OPS": ops, "TMPDIR": self.temporary}
        if "TULIPFALL_LOG" in os.environ:
            environment["TULIPFALL_LOG"] = os.environ["TULIPFALL_LOG"]
        prepare, passed = None, ()
        if self.socket is not None:
            environment["PROXY_ACCEPT_FD"] = "3"
            number = self.socket.fileno()
            inherited = os.dup(number)
            passed = (3,) if inherited == 3 else (3, inherited)

            def prepare():
                os.dup2(inherited, 3, inheritable=True)
        log = os.path.join(self.folder, f"{self.name}-{len(self.processes)}.log")
        with open(log, "wb") as output:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                       stdout=output, stderr=output, preexec_fn=prepare, pass_fds=passed)
        process.ops, process.log = ops, log
        self.processes.append(process)
        self.record.line("case", f"process {len(self.processes)} of {self.name} started")
        return process

    def wait_ready(self, process, limit=10.0):
        """Waits until the operators' address of a process says yes."""
        until = time.monotonic() + limit
        host, port = process.ops.split(":")
        while time.monotonic() < until:
            if process.poll() is not None:
                raise CannotRun(f"the relay ended: {open(process.log, encoding='utf-8').read()}")
            try:
                connection = http.client.HTTPConnection(host, int(port), timeout=1)
                connection.request("GET", "/status")
                if connection.getresponse().status == 200:
                    self.record.line("case", f"process {self.processes.index(process) + 1} of {self.name} is ready")
                    return
            except OSError:
                pass
            time.sleep(0.01)
        raise CannotRun("the relay is not ready")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.socket is not None:
            self.socket.close()


def request(message_class, message, dest, left_ms, body=b"a message", account="batinah-desks", more=""):
    return (f"POST /{message_class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {message}\r\nX-Account: {account}\r\n"
            f"X-Time-Left: {left_ms}m\r\n{more}Content-Length: {len(body)}\r\nX-Addressing: dest={dest}\r\n\r\n").encode() + body


class Client:
    """A client with one connection, which it keeps."""

    def __init__(self, record, port, name="client"):
        self.record, self.name, self.port = record, name, port
        self.connect()

    def connect(self):
        self.sock = socket.create_connection(("127.0.0.1", self.port), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, data):
        self.sock.sendall(data)

    def answer(self, message):
        """Reads the answer to a message. Returns its status; None if the connection ended or nothing came."""
        try:
            got = read_message(self.sock, self.buffer)
        except OSError as error:
            self.record.line(self.name, f"no answer to {message}: {error}")
            return None
        if got is None:
            self.record.line(self.name, f"no answer to {message}: the connection ended")
            return None
        line, headers, _, self.buffer = got
        status = int(line.split(" ")[1])
        self.record.line(self.name, f"answer {status} to {message}")
        if headers.get("connection", "").lower() == "close":
            self.sock.close()
            self.connect()
        return status

    def hand_in(self, message_class, message, dest, left_ms):
        self.record.line(self.name, f"hands in {message}, {message_class}, dest {dest}, {left_ms} ms left")
        self.send(request(message_class, message, dest, left_ms))
        return self.answer(message)

    def reset(self):
        """Leaves at once: the connection is reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self):
        self.sock.close()


def run_case(play):
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    relays = []
    try:
        broken = play(record, temporary, relays)
        for line in broken:
            record.line("verdict", line)
        status = 1 if broken else 0
    except (CannotRun, OSError) as error:
        record.line("verdict", f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        status = 2
    finally:
        for relay in relays:
            relay.end()
        shutil.rmtree(temporary, ignore_errors=True)
    record.line("verdict", {0: "the rule held", 1: "the rule was broken", 2: "no result"}[status])
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
