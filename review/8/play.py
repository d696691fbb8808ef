"""Case 8: a desk's charge is answered 202 and dropped, because a bad client's message came under the id of its open request.

A desk sends its request in two pieces. Between them a bad client sends a whole request under the same id, with another class, body and,
for half of the charges, destination. Of the other half, the first call is answered with 500, and later ones with 200."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lab2 import *

HERE = os.path.dirname(os.path.abspath(__file__))
CHARGES, LEFT = 20, 6.0


def head(kind, id, cell, size):
    return (f"POST /{kind} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: batinah-desks\r\n"
            f"X-Time-Left: {int(LEFT * 1000)}m\r\nContent-Length: {size}\r\nX-Addressing: dest={cell}\r\n\r\n").encode()


async def answer(reader):
    message = await read_message(reader)
    return int(message[0].split(" ")[1]) if message else None


async def main():
    book = Book(os.path.join(HERE, "record.txt"))
    agent = await Agent(book).start()
    home, seen, fails = folder(), {}, set()

    async def plan(call):
        await asyncio.sleep(0.08)
        seen[call["id"]] = seen.get(call["id"], 0) + 1
        return (500 if seen[call["id"]] == 1 and call["id"] in fails else 200), {}
    for cell in range(4):
        endpoint = await Endpoint(book, f"s-{cell}", cell, plan, rate=60.0).start()
        agent.set(endpoint.entry())
    relay = Relay(home, configuration(agent, settings()), agent)
    relay.start()

    async def charge(n):
        id, cell, body = f"{random.getrandbits(64):016x}", n % 4, os.urandom(300)
        if n % 2:
            fails.add(id)
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        bad = await asyncio.open_connection("127.0.0.1", relay.port) if TROUBLE else None
        row = book.add("sent", id=id, kind="paid-extra", cell=cell, left=LEFT, body=hash(body), status=None)
        writer.write(head("paid-extra", id, cell, len(body)))
        await asyncio.sleep(0.05)
        if TROUBLE:
            other = os.urandom(40)
            wrong = cell if n % 2 else (cell + 1) % 4
            spoilt = book.add("bad", id=id, kind="status-update", cell=wrong, body=hash(other), status=None)
            bad[1].write(head("status-update", id, wrong, len(other)) + other)
            spoilt["status"] = await asyncio.wait_for(answer(bad[0]), 3)
        await asyncio.sleep(0.05)
        writer.write(body)
        row["t"] = now()
        try:
            row["status"] = await asyncio.wait_for(answer(reader), 0.4)
        except asyncio.TimeoutError:
            row["status"] = "late"
        writer.close()
        if bad:
            bad[1].close()

    code, broken, twice = 2, [], []
    try:
        if not await relay.ready(30):
            raise RuntimeError("the relay is not ready")
        for n in range(CHARGES):
            await charge(n)
            await asyncio.sleep(0.15)
        await asyncio.sleep(LEFT + 1.5)
        notices = {row["id"] for row in book.of("notice")}
        for row in book.of("sent"):
            calls = [call for call in book.of("call") if call["id"] == row["id"]]
            own = [call for call in calls if call["body"] == row["body"] and call["cell"] == row["cell"]]
            if row["status"] in (200, 202) and row["id"] not in notices and not any(call["status"] == 200 for call in own):
                broken.append(f"lost: {row['id']} paid-extra for {row['cell']}, answered {row['status']}: neither delivered nor reported; "
                              f"endpoints got under its id {[(call['cell'], call['size'], call['status']) for call in calls]}")
            if row["status"] in (200, 202) and len(calls) > 1 and calls[0]["status"] == 500:
                twice.append(f"duplicate: {row['id']} paid-extra, called again after a call that may have run")
        took = sum(row["status"] in (200, 202) for row in book.of("sent"))
        if not took and not TROUBLE:
            raise RuntimeError("nothing was taken on")
        code = 1 if broken or twice else 0
        print(f"charges answered 202: {took} of {CHARGES}; of these neither delivered nor reported: {len(broken)}; "
              f"called again after a call that may have run: {len(twice)}")
    except (RuntimeError, OSError, asyncio.TimeoutError) as why:
        print("could not run:", why)
    finally:
        relay.end()
        shutil.rmtree(home, ignore_errors=True)
    book.write(*broken, *twice)
    return code

sys.exit(asyncio.run(main()))
