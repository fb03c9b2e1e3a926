"""The answer to a deduped request is lost and its connection is reset after the servers' memory of it.

The front answers "refused", which tells the client that trying again is harmless. The client tries
again, as late as the front has asked it to, and the effect is applied a second time.
"""

import asyncio
import secrets
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import (  # noqa: E402
    Connection, Discovery, Effects, Front, Platform, Server, main, write_statement,
)

ROUTE, DEADLINE, WORK = "slot-hold", 5.0, 0.17
WINDOW = 3.0  # how long all servers drop a repeat
RESET_AFTER = 3.3  # from the moment at which the server ran the request
REQUESTS = 3
RETRIES = 2  # what the site file names


async def case(record, temporary, trouble):
    effects = Effects(record, WINDOW)
    servers = [Server(f"b{number}", record, effects, work={ROUTE: WORK}) for number in range(9)]
    lost_answers = set()

    async def lose(server, fields, writer):
        """Loses the answer to the first try of each key, and resets the connection later."""
        if not trouble or fields["k"] in lost_answers:
            return False
        lost_answers.add(fields["k"])
        record.line(f"{server.name}: the answer is lost: id={fields['id']}")
        await asyncio.sleep(RESET_AFTER)
        record.line(f"{server.name}: the connection is reset: id={fields['id']}")
        writer.transport.abort()
        return True

    for server in servers:
        server.intercept = lose
        await server.start()
    discovery, platform = Discovery(servers), Platform()
    await discovery.start()
    await platform.start()
    front = Front(discovery, platform, temporary, memory_mb=64, sockets=512)
    front.start()
    try:
        await front.ready()
        for _ in range(REQUESTS):
            await client(record, front)
    finally:
        front.stop()
    return [
        f"the effect of k={key} was applied {len(times)} times: "
        + ", ".join(f"{time:.2f} s by {server} for id={request}" for time, request, server in times)
        for key, times in effects.applied.items()
        if len(times) > 1
    ]


async def client(record, front):
    """A client that tries again only after a refusal, or within the window after a failure."""
    key = secrets.token_hex(8)
    start = record.now()
    for _ in range(1 + RETRIES):
        left = start + DEADLINE - record.now()
        if left <= 0.05:
            return
        request = secrets.token_hex(8)
        connection = Connection(front.port)
        await connection.open()
        text = write_statement("7f3a9c21e0b4d655", "9f03", request, ROUTE, left * 1000, k=key)
        record.line(f"client sends id={request} k={key} d={left * 1000:.0f}")
        try:
            kind, code, detail = await connection.query(text, left)
        except asyncio.TimeoutError:
            record.line(f"client gives up id={request}")
            return
        finally:
            connection.close()
        record.line(f"client got {kind} {code if kind != 'served' else ''} {detail} for id={request}")
        if kind == "served":
            return
        if kind == "refused":
            await asyncio.sleep(int(detail or 0) / 1000)
        elif record.now() >= start + WINDOW:
            return


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
