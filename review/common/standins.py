"""Stand-ins for clients, servers, discovery and the platform, as the operators' pages describe them.

Everything listens on 127.0.0.1 with ports that the system chooses. One asyncio loop runs them all;
a lock-step is not needed, since every check uses times measured here.
"""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse
from pathlib import Path

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
STATEMENT = re.compile(
    r"^(?:SELECT data FROM facts WHERE code = '(?P<read>[0-9a-f]+)'"
    r"|INSERT INTO facts \(code, data\) VALUES \('(?P<write>[0-9a-f]+)', '\\x(?P<value>[0-9a-f]*)'\)"
    r" RETURNING data) /\* (?P<fields>[^*]*) \*/$"
)


def deploy_command(name):
    """Returns the command of that name in the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        match = re.match(rf'^{name}\s*=\s*"(.*)"', line)
        if match:
            return match.group(1)
    raise LookupError(f"no {name} in the deploy file")


class Record:
    """The record of a run: a line for each thing that was sent, answered, run or observed."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self.file.close()


def message(kind, body=b""):
    return kind + struct.pack(">I", len(body) + 4) + body


AUTHENTICATION_OK = message(b"R", struct.pack(">I", 0))
READY = message(b"Z", b"I")
ROW_DESCRIPTION = message(
    b"T", struct.pack(">H", 1) + b"data\0" + struct.pack(">IHIhih", 0, 0, 17, -1, -1, 1)
)


def row(value):
    return message(b"D", struct.pack(">HI", 1, len(value)) + value)


def error(code, text, severity="ERROR"):
    fields = f"S{severity}\0V{severity}\0C{code}\0M{text}\0\0"
    return message(b"E", fields.encode())


def parameter(name, value):
    return message(b"S", f"{name}\0{value}\0".encode())


class Effects:
    """What the servers ran. All of them drop a repeat of a key for `window` seconds."""

    def __init__(self, record, window):
        self.record = record
        self.window = window
        self.remembered = {}
        # The times at which the effect of each key was applied, with the request and the server.
        self.applied = {}
        self.runs = {}

    def run(self, server, fields, now):
        """Runs a request. Returns whether its effect was applied."""
        request, key = fields["id"], fields.get("k")
        self.runs.setdefault(request, []).append((now, server))
        if key is None:
            return True
        first = self.remembered.get(key)
        if first is not None and now < first + self.window:
            self.record.line(f"{server} dropped a repeat: id={request} k={key}")
            return False
        self.remembered[key] = now
        self.applied.setdefault(key, []).append((now, request, server))
        self.record.line(f"{server} applied the effect: id={request} k={key}")
        return True


class Server:
    """One server ("machine"): it runs at most `slots` requests at a time, and queues the others."""

    def __init__(self, name, record, effects, work=None, slots=16, queue=100, value=None):
        self.name, self.record, self.effects = name, record, effects
        self.work, self.slots, self.queue = work or {}, slots, queue
        self.value = value or (lambda fields: f"{name}:{fields['id']}".encode())
        self.running = asyncio.Semaphore(slots)
        self.held = 0
        # Cleared while the server stands still.
        self.awake = asyncio.Event()
        self.awake.set()
        # Decides about an answer: None to send it, or a coroutine function that ends the connection.
        self.intercept = None
        self.unsent = []
        # When each attempt arrived.
        self.arrivals = []
        self.port = None
        self.verbose = True

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            length = struct.unpack(">I", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            await self.awake.wait()
            writer.write(AUTHENTICATION_OK + READY)
            while True:
                head = await reader.readexactly(5)
                body = await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)
                await self.awake.wait()
                if head[:1] == b"X":
                    break
                if head[:1] != b"Q":
                    writer.write(error("08P01", "unexpected message") + READY)
                    continue
                await self.query(body[:-1].decode(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def report(self):
        waiting = max(0, self.held - self.slots)
        return parameter("vitals", f"inflight={self.held},queue={waiting}")

    async def query(self, text, reader, writer):
        if text == "SELECT 1":
            writer.write(ROW_DESCRIPTION + row(b"1") + message(b"C", b"SELECT 1\0") + self.report() + READY)
            return
        match = STATEMENT.match(text)
        if not match:
            self.unsent.append(text[:200])
            self.record.line(f"{self.name} got a statement of no client: {text[:200]!r}")
            writer.write(error("08P01", "not a statement of this form") + READY)
            return
        fields = dict(pair.split("=", 1) for pair in match["fields"].split(","))
        arrived = self.record.now()
        self.arrivals.append(arrived)
        if self.verbose:
            self.record.line(f"{self.name} got id={fields['id']} c={fields['c']} d={fields['d']}")
        if self.held >= self.slots + self.queue:
            writer.write(error("53300", "queue full") + READY)
            return
        self.held += 1
        try:
            async with self.running:
                if self.record.now() > arrived + int(fields["d"]) / 1000:
                    writer.write(error("53300", "its time is over") + READY)
                    return
                await asyncio.sleep(self.work.get(fields["c"], 0.02))
                await self.awake.wait()
                if reader.at_eof():
                    # Work stops when its request is cancelled.
                    return
                self.effects.run(self.name, fields, self.record.now())
        finally:
            self.held -= 1
        if self.intercept and await self.intercept(self, fields, writer):
            return
        tag = b"SELECT 1\0" if match["read"] else b"INSERT 0 1\0"
        writer.write(ROW_DESCRIPTION + row(self.value(fields)) + message(b"C", tag) + self.report() + READY)


class HttpServer:
    """A small HTTP server; `answer` gets the method, the target and the body, and a writer."""

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0, backlog=64)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n", 1)[0].split(" ")
                length = re.search(r"(?i)^content-length: *(\d+)", head, re.M)
                body = await reader.readexactly(int(length[1])) if length else b""
                await self.answer(method, target, body.decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def stream(self, writer, kind, first, idle, interval):
        """Sends an endless chunked answer: `first`, and `idle` every `interval` seconds."""
        head = f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode() + chunk(first))
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(interval)
            writer.write(chunk(idle))


def chunk(text):
    data = text.encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Discovery(HttpServer):
    """The agent that knows the list of servers."""

    def __init__(self, servers):
        self.servers = servers

    def list(self):
        entries = [
            {
                "id": f"s-{server.name}", "addr": f"{HOST}:{server.port}", "zone": server_zone(server),
                "kind": "std-4c", "cell": 1, "state": "active", "weight": 1.0, "started_ms": 0,
                "image_id": 41,
            }
            for server in self.servers
        ]
        return {"version": 41, "full": True, "servers": entries}

    async def answer(self, method, target, body, writer):
        if "follow=1" in target:
            line = json.dumps(self.list()) + "\n"
            await self.stream(writer, "application/json", line, "\n", 2.0)
        else:
            data = json.dumps(self.list()).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)


def server_zone(server):
    return getattr(server, "zone", "ebetsu")


STATUS = {"version": 41, "step": 3, "status": "released", "maxWeight": 1.0, "observedAgoMs": 60000}


class Platform(HttpServer):
    """The platform, on which nothing is rolled out."""

    async def answer(self, method, target, body, writer):
        if method == "GET":
            first = "event: stage\ndata: " + urllib.parse.urlencode(STATUS) + "\n\n"
            await self.stream(writer, "text/event-stream", first, ":\n", 1.0)
            return
        fields = "".join(f"<{name}>{value}</{name}>" for name, value in STATUS.items())
        data = f'<?xml version="1.0"?><Response><groups><item>{fields}</item></groups></Response>'.encode()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)


def route(name, idempotency, target, deadline, value):
    return {
        "name": name, "idempotency": idempotency, "target": target, "deadline": deadline, "value": value,
        "key_scope": "all", "late_worth": 0.0, "repeat_window": 3000.0 if idempotency == "dedup" else 5000.0,
        "stream": False,
    }


# The example of the pages: the deployment booking-hokkaido.
SETTINGS = {
    "balancers": 1, "layer": 0, "me": 0, "zone": "ebetsu", "zones": ["kitahiroshima", "ebetsu", "otaru"],
    "classes": [
        route("slot-search", "retryable", 2000.0, 8000.0, 1.0),
        route("job-lookup", "retryable", 800.0, 2000.0, 3.0),
        route("slot-hold", "dedup", 1500.0, 5000.0, 2.0),
        route("book-confirm", "fragile", 1500.0, 6000.0, 3.0),
    ],
    "clients": {"marks_retry": True},
    "family_info": {
        "allowance": 3.0, "api_rate": 80.0, "counted_by": "all", "exposure_window": 4000.0,
        "flag_share": 0.5, "forward_only": False, "gate_mode": "automatic", "guarded_stages": 1,
        "harm_fee": 4.0, "lag_fee": 0.45, "min_dwell": 1500.0, "news_period": 6000.0,
        "stage_cap": [0.036, 0.144, 0.48, 1.0], "step": 3000.0, "swap": "replace", "tally_every": 0.0,
        "tally_sample": 0.0, "to_abort": 1, "to_advance": 0, "vote_life": 6000.0, "vote_wait": 800.0,
        "votes_to_hold": 1, "warm_keys": False, "waves": [0.03, 0.12, 0.4, 1.0],
    },
    "membership_mode": "push", "models": ["std-4c", "small-3c"], "over_share_worth": 0.1, "parties": [],
    "policy_limits": {
        "conn_idle": 15000.0, "connect_timeout": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
        "max_attempts": 6, "max_open": 20000, "max_retry_after": 1000.0, "max_streams": 1,
        "may_cancel": True, "peers": False, "probes": True, "retry_after": True, "second_copies": True,
    },
    "rules": {
        "answer_slack": 20.0, "cold": 4900.0, "cold_from": 0.31, "drain_grace": 1000.0, "fall": 1500.0,
        "fall_multiple": 2.0, "must_ask_in": 10000.0,
    },
    "scoring_mix": {
        "borne_misses": 0.03, "tail_part": 0.2, "whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.0,
        "worst_window": 0.2,
    },
    "service_type": "rollout", "stats": {"how": "piggyback", "names": ["inflight", "queue"]},
    "tariffs": {
        "connection": 0.0, "cross_zone": 0.01, "handshake": 0.0, "late_fail": 0.08, "membership_mode": 0.0,
        "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.05,
    },
    "tick": 5.0, "tiers": ["booking-app"], "weights": "silent", "worth_by": "request",
}


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Front:
    """One instance of the project's proxy, started by the command of the deploy file."""

    def __init__(self, discovery, platform, folder, memory_mb=32, sockets=1024):
        self.port = free_port()
        self.folder = folder
        self.memory_mb = memory_mb
        self.config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "pipeline": {"address": f"{HOST}:{platform.port}", "news": STATUS},
            "known": discovery.list(), "settings": SETTINGS,
        }
        self.process = None

    def start(self):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        environment = dict(
            os.environ, PROXY_CONFIG=str(path), PROXY_NAME="n0", PROXY_LISTEN=self.config["listen"],
            PROXY_DISCOVERY=self.config["discovery"], TMPDIR=str(self.folder),
        )
        self.log = open(self.folder / "front.log", "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment, stdout=self.log,
            stderr=self.log, stdin=subprocess.DEVNULL,
        )

    async def ready(self):
        """Waits until the front answers an empty query."""
        for _ in range(300):
            if self.process.poll() is not None:
                raise RuntimeError(f"the front ended with {self.process.returncode}")
            try:
                client = Connection(self.port)
                await client.open()
                await client.query("", 1.0)
                client.close()
                return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
        raise RuntimeError("the front was not ready within 30 s")

    def private_bytes(self):
        """Returns the private memory that the process holds now; files of its program don't count."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"RssAnon:\s+(\d+) kB", status)[1]) * 1024

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Connection:
    """A client's connection to a front."""

    def __init__(self, port):
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        self.started = False

    async def query(self, text, patience):
        """Sends a query and returns (kind, value or code, detail) within `patience` seconds."""
        data = message(b"Q", text.encode() + b"\0")
        if not self.started:
            body = struct.pack(">I", 196608) + b"user\0portal\0database\0crm\0\0"
            data = struct.pack(">I", len(body) + 4) + body + data
        self.writer.write(data)
        return await asyncio.wait_for(self.answer(), patience)

    async def answer(self):
        parts, result = [], None
        while True:
            head = await self.reader.readexactly(5)
            body = await self.reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)
            kind = head[:1]
            if kind == b"Z":
                if self.started:
                    return result
                self.started = True
            elif kind == b"D":
                parts.append(body[6:])
            elif kind == b"C":
                result = ("served", b"".join(parts), "")
            elif kind == b"I":
                result = ("empty", "", "")
            elif kind == b"E":
                fields = {field[:1]: field[1:] for field in body.decode().split("\0") if field}
                code = fields["C"]
                name = "refused" if code in ("53300", "57P03") else "failed"
                result = (name, code, fields.get("D", ""))
                if fields.get("S") == "FATAL":
                    return result

    def close(self):
        self.writer.close()


def read_statement(code, request, name, wait_ms, **more):
    return f"SELECT data FROM facts WHERE code = '{code}' /* {comment(request, name, wait_ms, more)} */"


def write_statement(code, value, request, name, wait_ms, **more):
    return (
        f"INSERT INTO facts (code, data) VALUES ('{code}', '\\x{value}') RETURNING data"
        f" /* {comment(request, name, wait_ms, more)} */"
    )


def comment(request, name, wait_ms, more):
    fields = {"id": request, "c": name, "d": int(wait_ms), **more}
    return ",".join(f"{name}={value}" for name, value in fields.items())


async def quietly(case):
    """Runs the case; connections that end while it stops are no news."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await case


def main(case, folder):
    """Runs `case(record, temporary folder, trouble)`, which returns the list of what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(quietly(case(record, Path(temporary), trouble)))
        except Exception as problem:  # the case could not run
            record.line(f"could not run: {problem!r}")
            print(f"could not run: {problem!r}")
            return 2
        finally:
            record.close()
    for line in broken[:20]:
        print(line)
    print(f"{'broken' if broken else 'held'}: {len(broken)} (TROUBLE={int(trouble)})")
    return 1 if broken else 0
