"""Stand-ins for clients, endpoints and the platform's agent, and the start of relay processes, for the cases of the second review.

Only python3 with its standard library. Every address is a loopback address, every port is free. Times are time.monotonic()."""
import asyncio, json, os, random, shutil, signal, socket, struct, subprocess, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
now = time.monotonic
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GIVEN = set()


class Book:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path=None):
        self.rows, self.began, self.path = [], now(), path
        self.wall = time.time()

    def add(self, what, **fields):
        row = dict(t=now(), what=what, **fields)
        self.rows.append(row)
        return row

    def of(self, *what):
        return [row for row in self.rows if row["what"] in what]

    def write(self, *notes):
        if not self.path:
            return
        with open(self.path, "w") as out:
            out.write("seconds from the start; what; fields\n")
            for row in self.rows:
                rest = " ".join(f"{k}={v}" for k, v in row.items() if k not in ("t", "what"))
                out.write(f"{row['t'] - self.began:9.4f} {row['what']} {rest}\n")
            out.writelines(note + "\n" for note in notes)


async def read_message(reader):
    """One HTTP message with Content-Length: start line, headers, body. None at the end of the connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Agent:
    """The platform's agent: the list, watches on it, and reports."""

    def __init__(self, book):
        self.book, self.revision, self.members, self.log = book, 40, {}, []
        self.changed, self.server, self.port, self.down, self.mute = asyncio.Event(), None, 0, False, 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def set(self, *entries):
        """Adds or changes entries of the list, as one new revision."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "Gone":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = dict(entry)
            self.log.append((self.revision, dict(entry)))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                asked_at = now()
                line, headers, body = message
                method, path, _ = line.split(" ")
                if path.startswith("/reports"):
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.book.add("notice", id=notice["message"], outcome=notice["outcome"])
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                    continue
                while self.down:
                    await asyncio.sleep(0.02)
                asked = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if "=" in pair)
                if "index" in asked:
                    index, by = int(asked["index"]), now() + int(asked.get("wait", 0)) / 1000
                    while self.revision <= index and now() < by:
                        try:
                            await asyncio.wait_for(self.changed.wait(), max(0.001, by - now()))
                        except asyncio.TimeoutError:
                            pass
                        while self.down:
                            await asyncio.sleep(0.02)
                    newest = {}
                    for revision, entry in self.log:
                        if revision > index:
                            newest[entry["id"]] = entry
                    answer = {"revision": self.revision, "complete": False, "members": list(newest.values())}
                else:
                    answer = self.whole()
                if asked_at < self.mute:
                    await asyncio.sleep(60)  # this watch has fallen silent
                for entry in answer["members"]:
                    if entry["phase"] != "Ready":
                        self.book.add("told", endpoint=entry["id"], phase=entry["phase"])
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Endpoint:
    """An endpoint of a destination. `plan(call)` says what is answered: a coroutine that gets the call and returns (status, headers)
    or None for silence. Each call is in the book from its last byte to its answer or the end of its connection."""

    def __init__(self, book, name, cell, plan, kind="carrier", zone="seeb-dc1", rate=50.0):
        self.book, self.name, self.cell, self.plan = book, name, cell, plan
        self.kind, self.zone, self.rate = kind, zone, rate
        self.server, self.port, self.writers, self.open = None, 0, set(), 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, phase="Ready"):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": self.kind,
                "cell": self.cell, "phase": phase, "size": self.rate, "up_since_ms": 0}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                call = self.book.add("call", id=headers.get("x-correlation-id"), endpoint=self.name, cell=self.cell,
                                     size=len(body), zone=self.zone, ended=None, status=None, body=hash(body), key=headers.get("idempotency-key"))
                self.open += 1
                gone = asyncio.ensure_future(wait_closed(reader))
                work = asyncio.ensure_future(self.plan(call))
                await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                self.open -= 1
                if not work.done():
                    call["ended"], call["status"] = now(), "left"
                    if getattr(self, "runs_on", False):
                        await work
                    else:
                        work.cancel()
                    break
                gone.cancel()
                answer = work.result()
                if answer is None:
                    call["ended"], call["status"] = now(), "closed"
                    reset(writer)
                    break
                status, extra = answer
                raw = extra.pop("raw", None)
                text = "".join(f"{k}: {v}\r\n" for k, v in extra.items())
                writer.write(raw if raw is not None else f"HTTP/1.1 {status} X\r\n{text}Content-Length: 0\r\n\r\n".encode())
                call["ended"], call["status"] = now(), status
                if "Retry-After" in extra:
                    call["wait"] = float(extra["Retry-After"])
                await writer.drain()
                if extra.get("Connection") == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


async def wait_closed(reader):
    """Completes when the peer has closed. Calls come one at a time on a connection, so nothing else is read meanwhile."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.001)


class Relay:
    """One relay, started by the command of the deploy file."""

    def __init__(self, folder, config, agent, name="n0", log="info", listener=None):
        self.folder, self.name, self.agent, self.log, self.process = folder, name, agent, log, None
        self.state = os.path.join(folder, name + "-state")
        self.temp = os.path.join(folder, name + "-tmp")
        os.makedirs(self.state, exist_ok=True)
        os.makedirs(self.temp, exist_ok=True)
        self.port = listener.getsockname()[1] if listener else free_port()
        self.ops, self.listener, self.config, self.starts, self.all = free_port(), listener, config, 0, []
        self.config.update(name=name, listen=f"127.0.0.1:{self.port}", discovery=f"127.0.0.1:{agent.port}", ops=f"127.0.0.1:{self.ops}")
        self.file = os.path.join(folder, name + ".json")

    def write(self):
        with open(self.file + ".new", "w") as out:
            json.dump(self.config, out)
        os.rename(self.file + ".new", self.file)

    def start(self, ops=None):
        self.starts += 1
        self.config["seed"] = f"{random.getrandbits(64):016x}"
        if ops:
            self.config["ops"] = f"127.0.0.1:{ops}"
        self.write()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "TULIPFALL_", "RUST_LOG"))}
        env.update(PROXY_NAME=self.name, PROXY_LISTEN=self.config["listen"], PROXY_DISCOVERY=self.config["discovery"],
                   PROXY_STATE=self.state, PROXY_CONFIG=self.file, PROXY_OPS=self.config["ops"], TMPDIR=self.temp)
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as text:
            run = next(line.split('"')[1] for line in text if line.startswith("run ="))
        if os.environ.get("LAB_LOG"):
            run += f" --log {os.environ['LAB_LOG']}"
        keep, first = (), None
        if self.listener:
            env["PROXY_ACCEPT_FD"] = "3"
            run += " 3<&0 0</dev/null"
            first = self.listener.fileno()
        log = open(os.path.join(self.folder, f"{self.name}-{self.starts}.log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=first or subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.all.append(self.process)
        log.close()
        return self.process

    def signal(self, number, process=None):
        process = process or self.process
        if process.poll() is None:
            process.send_signal(number)

    async def ready(self, within=10, port=None):
        by = now() + within
        while now() < by:
            if self.process.poll() is not None:
                return False
            try:
                status, _ = await asyncio.wait_for(request(port or self.port, "GET", "/health/ready"), 1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError):
                pass
            await asyncio.sleep(0.02)
        return False

    async def admin_ready(self, port, within=10):
        by = now() + within
        while now() < by:
            try:
                status, _ = await asyncio.wait_for(request(port, "GET", "/status"), 1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError):
                pass
            await asyncio.sleep(0.01)
        return False

    def end(self):
        for process in self.all:
            if process.poll() is None:
                process.kill()
            process.wait()


async def request(port, method, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n".encode())
        message = await read_message(reader)
        return int(message[0].split(" ")[1]), message[2]
    finally:
        writer.close()


def free_port():
    """A free port below those that the system gives to outgoing connections, so that none takes it before the relay does."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in GIVEN:
            GIVEN.add(port)
            return port


def listener():
    """The clients' listening socket, which the platform holds."""
    one = socket.socket()
    one.bind(("127.0.0.1", 0))
    one.listen(512)
    return one


class Client:
    """Keeps connections to a relay, sends one request at a time on each, and waits 400 ms for an answer."""

    def __init__(self, book, port, give_up=0.4):
        self.book, self.port, self.idle, self.give_up = book, port, [], give_up

    async def send(self, kind, cell, left=None, body=None, tenant="batinah-desks", id=None, key=None, port=None):
        """Hands in one message. Returns its row in the book, with the status, or `none` if there was no answer."""
        id = id or f"{random.getrandbits(64):016x}"
        body = body if body is not None else os.urandom(random.choice((20, 200, 2000)))
        left = left or 12.0
        row = self.book.add("sent", id=id, kind=kind, cell=cell, left=left, status=None, answered=None, body=hash(body), key=key, port=port or self.port)
        extra = f"Idempotency-Key: {key}\r\n" if key else ""
        data = (f"POST /{kind} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: {tenant}\r\n"
                f"X-Time-Left: {int(left * 1000)}m\r\n{extra}Content-Length: {len(body)}\r\nX-Addressing: dest={cell}\r\n\r\n").encode() + body
        for again in range(3):
            kept = bool(self.idle)
            reader = writer = None
            try:
                while self.idle:
                    reader, writer = self.idle.pop()
                    if not reader.at_eof() and reader.exception() is None:
                        break
                    writer.close()
                    reader = None
                if reader is None:
                    kept = False
                    reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port or self.port), 0.4)
                writer.write(data)
                message = await asyncio.wait_for(read_message(reader), self.give_up)
                if message is None:
                    raise ConnectionResetError
                row["status"], row["answered"] = int(message[0].split(" ")[1]), now()
                if message[1].get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
                return row
            except asyncio.TimeoutError:
                if writer:
                    writer.close()
                row["status"] = "late"
                return row
            except (OSError, asyncio.IncompleteReadError):
                if writer:
                    writer.close()
                # The close of a kept connection may have crossed the request.
                row["status"] = "broken" if reader else "refused"
                if not kept:
                    return row
        return row

    def close(self):
        for _, writer in self.idle:
            writer.close()


def settings(classes=None, slots=24, held=240, relays=1, **more):
    """Settings like those of muscat-checkin."""
    classes = classes or [
        {"Name": "status-update", "Idempotency": "idempotent", "AimUs": 2500000, "DeadlineUs": 12000000, "Value": 1.0, "LateWorth": 0.4,
         "DedupWindowUs": 5000000, "Group": "all", "Stream": False},
        {"Name": "paid-extra", "Idempotency": "at_most_once", "AimUs": 2000000, "DeadlineUs": 12000000, "Value": 3.0, "LateWorth": 0.3,
         "DedupWindowUs": 5000000, "Group": "all", "Stream": False}]
    value = {"Callers": {"MarksRetry": True}, "Classes": classes, "Discovery": "push", "Family": "deliver",
             "Domain": {"MaxCalls": slots, "KindApart": [False, False, False], "KindBatch": [1, 1, 1], "Late": "by_half", "FeeByZone": [0.0],
                        "RefusalCost": 0.0},
             "HostTypes": ["carrier", "handler", "payment-house"], "Zones": ["seeb-dc1"], "MyZone": "seeb-dc1", "MyNumber": 0,
             "Layers": ["partner-systems"], "Tier": 0, "PeersTotal": relays, "Weights": "nominal", "OverShareWorth": 0.2,
             "Tenants": [{"Name": n, "QuotaPerS": q, "Share": s} for n, q, s in
                         (("batinah-desks", 60.0, 0.56), ("dhofar-desks", 30.0, 0.27), ("sharqiyah-desks", 20.0, 0.17))],
             "Limits": {"OpenCap": held, "MaxAttempts": 12, "ConnectTimeoutUs": 1000000, "ConnIdleUs": 15000000, "Cancel": True,
                        "Probes": False, "Peers": False, "RetryAfter": False, "MaxRetryAfterUs": 2000000, "SecondCopies": False},
             "Rules": {"ColdFrom": 0.16, "ColdUs": 10000000, "FallMultiple": 2.0, "OverloadForUs": 2000000,
                       "StopSendingWithinUs": 1000000, "GraceToAnswerUs": 300000},
             "Telemetry": {"How": "piggyback", "Columns": ["x0", "x1"]}}
    value.update(more)
    return value


def configuration(agent, value, memory=192, sockets=1024, disk=3):
    return {"limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets, "disk_mb": disk}, "known": agent.whole(), "settings": value}


def folder():
    return tempfile.mkdtemp(prefix="review-")


def audit(book, effects, grace=1.0, excused=()):
    """Breaks of the rules, as texts. `excused` are spans (from, to) in which no notice is overdue: restarts."""
    found, sent, calls, ends, delivered = [], {}, {}, {}, {}
    for row in book.rows:
        if row["what"] == "sent":
            sent.setdefault(row["id"], []).append(row)
        elif row["what"] == "call":
            calls.setdefault(row["id"], []).append(row)
        elif row["what"] == "notice":
            ends.setdefault(row["id"], row["t"])
    last = now()
    for id, rows in sent.items():
        row = rows[0]
        ok = [c for c in calls.get(id, []) if c["status"] == 200]
        if any(r["status"] in (200, 202) for r in rows):
            due = row["t"] + row["left"] + 0.35
            for a, b in excused:
                if a <= due <= b:
                    due = b
            end = min([c["ended"] for c in ok] + [ends.get(id, 1e18)])
            if end > due and last > due:
                found.append(f"lost: {id} {row['kind']} cell {row['cell']} sent at {row['t'] - book.began:.3f}, "
                             + (f"ended {end - due + 0.35:.3f} s after its time" if end < 1e18 else "never ended")
                             + f", calls {[(round(c['t'] - book.began, 3), c['status']) for c in calls.get(id, [])]}")
    for id, rows in calls.items():
        if id not in sent:
            found.append(f"foreign: {id} was called and never sent")
            continue
        first = sent[id][0]
        for c in rows:
            if not any(s["cell"] == c["cell"] and s["body"] == c["body"] and s["key"] == c["key"] for s in sent[id]):
                found.append(f"foreign: {id} called with another body, key or destination")
        if len(rows) > 12:
            found.append(f"attempts: {id} {len(rows)}")
        for a, b in zip(rows, rows[1:]):
            if a["ended"] is None or a["ended"] > b["t"] + 0.002:
                found.append(f"overlap: {id} {first['kind']} called at {a['t'] - book.began:.3f} and {b['t'] - book.began:.3f}, first ended {a['ended'] and round(a['ended'] - book.began, 3)} {a['status']}")
            if a["status"] == 200:
                found.append(f"after-delivery: {id} {first['kind']} at {b['t'] - book.began:.3f}")
            if effects.get(first["kind"]) == "at_most_once" and a["status"] not in (429, 503):
                found.append(f"duplicate: {id} {first['kind']} called at {a['t'] - book.began:.3f} ({a['status']}) and again at {b['t'] - book.began:.3f}")
    return found
