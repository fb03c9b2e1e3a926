"""Stand-ins for clients, machines, discovery and the platform, and the start of one proxy instance.

Everything listens on loopback addresses with ports that the system chooses. Written for the cases
of the second review; nothing but Python's standard library is used.
"""

import asyncio
import json
import multiprocessing
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        for line in deploy:
            if line.startswith("run ="):
                return json.loads(line.split("=", 1)[1].strip())
    raise RuntimeError("deploy/balancer.toml names no run command")


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.start = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.time() - self.start:9.4f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


def message(kind, body):
    return kind + struct.pack(">I", len(body) + 4) + body


AUTH_OK = message(b"R", b"\0\0\0\0")
READY = message(b"Z", b"I")
ROW_DESCRIPTION = message(
    b"T", b"\0\1data\0" + struct.pack(">IHIhih", 0, 0, 17, -1, -1, 1))


def row(value, tag=b"SELECT 1"):
    data = message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
    return ROW_DESCRIPTION + data + message(b"C", tag + b"\0")


def error(code, text="error"):
    fields = b"SERROR\0VERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0"
    return message(b"E", fields)


def startup(user="portal", database="crm"):
    body = struct.pack(">I", 196608)
    body += b"user\0" + user.encode() + b"\0database\0" + database.encode() + b"\0\0"
    return struct.pack(">I", len(body) + 4) + body


def value_of(identifier):
    """The value that belongs to one request and to no other."""
    return b"value-of-" + identifier.encode()


def fields_of(statement):
    comment = statement[statement.rindex("/* ") + 3:statement.rindex(" */")]
    return dict(pair.split("=", 1) for pair in comment.split(","))


class MachineConnection(asyncio.Protocol):
    def __init__(self, machine):
        self.machine = machine
        self.buffer = bytearray()
        self.started = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.machine.connections.add(self)
        if self.machine.silent:
            transport.pause_reading()

    def connection_lost(self, _):
        self.machine.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        while self.take_message():
            pass

    def take_message(self):
        buffer = self.buffer
        if not self.started:
            if len(buffer) < 4 or len(buffer) < struct.unpack_from(">I", buffer)[0]:
                return False
            del buffer[:struct.unpack_from(">I", buffer)[0]]
            self.started = True
            self.transport.write(AUTH_OK + READY)
            return True
        if len(buffer) < 5:
            return False
        length = struct.unpack_from(">I", buffer, 1)[0] + 1
        if len(buffer) < length:
            return False
        kind = bytes(buffer[:1])
        body = bytes(buffer[5:length])
        del buffer[:length]
        if kind == b"Q":
            self.machine.on_query(self, body[:-1].decode())
        else:
            self.transport.close()
        return True

    def send(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)


class Machine:
    """A machine with `cores` workers and a queue. Work stops when its connection has ended."""

    def __init__(self, name, zone, build, started_ms=0, cores=4, work=lambda fields: 0.1,
                 queue_limit=80, record=None):
        self.name, self.zone, self.build, self.started_ms = name, zone, build, started_ms
        self.state = "active"
        self.cores, self.work, self.queue_limit = cores, work, queue_limit
        self.busy = 0
        self.queue = []
        self.connections = set()
        self.silent = False
        self.record = record
        self.received = []
        self.ran = []
        self.probes = 0
        self.port = None
        self.on_statement = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: MachineConnection(self), "127.0.0.1", 0,
                                               backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
                "kind": "std-4c", "cell": 1, "state": self.state, "weight": 1.0,
                "started_ms": self.started_ms, "image_id": self.build}

    def set_silent(self, silent):
        """A silent machine reads nothing and sends nothing; its connections stay open."""
        self.silent = silent
        for connection in list(self.connections):
            if silent:
                connection.transport.pause_reading()
            else:
                connection.transport.resume_reading()
        if not silent:
            self.begin_queued()

    def load(self):
        text = f"inflight={self.busy + len(self.queue)},queue={len(self.queue)}"
        return message(b"S", b"vitals\0" + text.encode() + b"\0")

    def on_query(self, connection, statement):
        if statement == "SELECT 1" or statement == "SHOW vitals":
            self.probes += 1
            connection.send(row(b"1") + self.load() + READY)
            return
        if not statement.strip():
            connection.send(message(b"I", b"") + READY)
            return
        fields = fields_of(statement)
        self.received.append((time.time(), fields))
        if self.on_statement and self.on_statement(self, connection, statement, fields):
            return
        if len(self.queue) >= self.queue_limit:
            connection.send(error("53300", "queue full") + self.load() + READY)
            return
        self.queue.append((connection, statement, fields))
        self.begin_queued()

    def begin_queued(self):
        while self.queue and self.busy < self.cores and not self.silent:
            connection, statement, fields = self.queue.pop(0)
            if connection.transport.is_closing():
                continue
            self.busy += 1
            asyncio.get_running_loop().call_later(
                self.work(fields), self.finish, connection, statement, fields)

    def finish(self, connection, statement, fields):
        if self.silent:
            asyncio.get_running_loop().call_later(0.02, self.finish, connection, statement, fields)
            return
        self.busy -= 1
        if not connection.transport.is_closing():
            self.ran.append((time.time(), fields))
            tag = b"SELECT 1" if statement.startswith("SELECT") else b"INSERT 0 1"
            connection.send(row(value_of(fields["id"]), tag) + self.load() + READY)
        self.begin_queued()


class HttpStream:
    """Serves one chunked stream per connection that asked for it, and forms of votes."""

    def __init__(self):
        self.streams = set()
        self.port = None
        self.silent = False
        self.waiting = []

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first = head.split(b"\r\n", 1)[0].decode()
                length = 0
                for line in head.decode().split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = (await reader.readexactly(length)).decode()
                while self.silent:
                    await asyncio.sleep(0.02)
                if first.startswith("GET"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: " + self.content_type
                                 + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.send(writer, self.first(first.split()[1]))
                    self.streams.add(writer)
                else:
                    await self.vote(writer, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()

    @staticmethod
    def send(writer, text):
        data = text.encode()
        if data and not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_all(self, text):
        if not self.silent:
            for writer in list(self.streams):
                self.send(writer, text)

    async def keep_alive(self):
        while True:
            await asyncio.sleep(self.interval)
            self.send_all(self.sign_of_life)


class Discovery(HttpStream):
    content_type = b"application/json"
    interval = 2.0
    sign_of_life = "\n"

    def __init__(self, machines, version=41):
        super().__init__()
        self.machines = machines
        self.version = version
        self.changed = {}

    def text(self, full, machines):
        return json.dumps({"version": self.version, "full": full,
                           "servers": [machine.entry() for machine in machines]}) + "\n"

    def first(self, path):
        since = int(path.split("since=")[1]) if "since=" in path else -1
        if since == self.version:
            return ""
        return self.text(True, [m for m in self.machines if m.state != "left"])

    def change(self, *machines):
        self.version += 1
        self.send_all(self.text(False, machines))


class Platform(HttpStream):
    content_type = b"text/event-stream"
    interval = 1.0
    sign_of_life = ":\n"

    def __init__(self, version=41, step=3, status="released", cap=1.0):
        super().__init__()
        self.news = {"version": version, "step": step, "status": status, "maxWeight": cap}
        self.votes = []

    def state(self):
        return {**self.news, "observedAgoMs": 100}

    def first(self, _):
        form = "&".join(f"{name}={value}" for name, value in self.state().items())
        return f"event: stage\ndata: {form}\n\n"

    def tell(self, **news):
        self.news.update(news)
        self.send_all(self.first(""))

    async def vote(self, writer, body):
        self.votes.append((time.time(), body))
        fields = "".join(f"<{n}>{v}</{n}>" for n, v in self.state().items())
        xml = f'<?xml version="1.0"?><Response><groups><item>{fields}</item></groups></Response>'
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(xml)}\r\n\r\n{xml}".encode())


CLASSES = [
    {"name": "slot-search", "target": 2000.0, "deadline": 8000.0, "value": 1.0,
     "idempotency": "retryable", "key_scope": "all", "repeat_window": 5000.0},
    {"name": "job-lookup", "target": 800.0, "deadline": 2000.0, "value": 3.0,
     "idempotency": "retryable", "key_scope": "all", "repeat_window": 5000.0},
    {"name": "slot-hold", "target": 1500.0, "deadline": 5000.0, "value": 2.0,
     "idempotency": "dedup", "key_scope": "all", "repeat_window": 3000.0},
    {"name": "book-confirm", "target": 1500.0, "deadline": 6000.0, "value": 3.0,
     "idempotency": "fragile", "key_scope": "all", "repeat_window": 5000.0},
]


def settings(zone="ebetsu", zones=("kitahiroshima", "ebetsu", "otaru"), balancers=3):
    return {
        "me": 0, "balancers": balancers, "zone": zone, "zones": list(zones), "parties": [],
        "classes": [{**c, "late_worth": 0.0, "stream": False} for c in CLASSES],
        "clients": {"marks_retry": True}, "membership_mode": "push",
        "service_type": "rollout", "tick": 5.0, "weights": "silent", "worth_by": "request",
        "stats": {"how": "piggyback", "names": ["inflight", "queue"]},
        "tariffs": {"cross_zone": 0.01, "probe": 0.01},
        "policy_limits": {
            "probes": True, "may_cancel": True, "second_copies": True, "max_attempts": 6,
            "retry_after": True, "max_retry_after": 1000.0, "conn_idle": 15000.0,
            "connect_timeout": 250.0, "peers": False, "max_open": 20000, "max_streams": 100},
        "rules": {"drain_grace": 1000.0, "cold_from": 0.31, "cold": 4900.0,
                  "fall_multiple": 2.0, "fall": 1500.0, "answer_slack": 20.0,
                  "must_ask_in": 10000.0},
        "family_info": {
            "stage_cap": [0.036, 0.144, 0.48, 1.0], "waves": [0.03, 0.12, 0.4, 1.0],
            "allowance": 3.0, "exposure_window": 4000.0, "counted_by": "all",
            "guarded_stages": 1, "forward_only": False, "gate_mode": "automatic",
            "min_dwell": 1500.0, "step": 3000.0, "to_abort": 1, "votes_to_hold": 1,
            "to_advance": 0, "api_rate": 80.0, "vote_life": 6000.0, "vote_wait": 800.0,
            "flag_share": 0.5, "news_period": 6000.0},
    }


class Proxy:
    """One proxy instance, started with the command of the deploy file."""

    def __init__(self, discovery, platform, memory_mb, sockets, config=None, name="n0"):
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "config.json")
        self.port = free_port()
        self.name = name
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}", "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "pipeline": {"address": f"127.0.0.1:{platform.port}", "news": platform.state()},
            "known": json.loads(discovery.text(True, discovery.machines)),
            "settings": config or settings(),
        }
        self.process = None

    def write(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.rename(self.path + ".new", self.path)

    def start(self):
        self.write()
        environment = dict(os.environ, PROXY_NAME=self.name, PROXY_CONFIG=self.path,
                           PROXY_LISTEN=self.config["listen"],
                           PROXY_DISCOVERY=self.config["discovery"])
        if not os.path.exists(os.path.join(ROOT, "target", "release", "tidescale")):
            raise CannotRun("target/release/tidescale is missing: build it first")
        self.log_path = os.path.join(self.folder.name, "log")
        self.log = open(self.log_path, "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT,
                                        env=environment, stdout=self.log, stderr=self.log)

    async def ready(self, limit=10.0):
        end = time.time() + limit
        while time.time() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(startup() + message(b"Q", b"\0"))
                data = b""
                while message(b"I", b"") not in data:
                    part = await asyncio.wait_for(reader.read(4096), 1.0)
                    if not part:
                        break
                    data += part
                else:
                    writer.close()
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the instance is not ready")

    def memory_kb(self, field="VmRSS:"):
        """Memory of the process in KiB, by default all that is resident; None once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith(field):
                        return int(line.split()[1])
        except OSError:
            pass
        return None

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_port():
    import socket
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class ClientConnection(asyncio.Protocol):
    def __init__(self, pool):
        self.pool = pool
        self.buffer = bytearray()
        self.request = None
        self.is_open = False
        self.transport = None
        self.parts = []
        self.opened_at = time.time()

    def connection_made(self, transport):
        self.transport = transport
        self.is_open = True
        transport.write(startup())
        if self.request:
            self.write_request()

    def write_request(self):
        self.request["sent"] = time.time()
        self.transport.write(message(b"Q", self.request["text"].encode() + b"\0"))

    def send(self, request):
        self.request = request
        self.parts = []
        if self.is_open:
            self.write_request()

    def data_received(self, data):
        self.buffer += data
        buffer = self.buffer
        while len(buffer) >= 5:
            length = struct.unpack_from(">I", buffer, 1)[0] + 1
            if len(buffer) < length:
                break
            kind = bytes(buffer[:1])
            body = bytes(buffer[5:length])
            del buffer[:length]
            self.on_message(kind, body)

    def on_message(self, kind, body):
        if kind == b"E":
            fields = {part[:1]: part[1:] for part in body.split(b"\0") if part}
            if fields.get(b"D", b"").isdigit():
                self.parts.append(("advice", int(fields[b"D"]) / 1000.0))
            self.parts.append(("error", fields.get(b"C", b"").decode()))
        elif kind == b"D":
            self.parts.append(("value", body[6:]))
        elif kind == b"C":
            self.parts.append(("complete", body))
        elif kind == b"Z" and self.parts:
            self.finish()

    def finish(self):
        request, self.request = self.request, None
        parts, self.parts = self.parts, []
        if request:
            self.pool.on_answer(request, parts)
        if not self.transport.is_closing():
            self.pool.idle.append(self)

    def connection_lost(self, _):
        self.is_open = False
        self.pool.connections.discard(self)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        if self.request:
            request, self.request = self.request, None
            if any(kind == "error" for kind, _ in self.parts):
                self.pool.on_answer(request, self.parts)
            else:
                self.pool.on_closed(request)


class ClientPool:
    """Clients of one instance: they hold on to connections and open further ones when every one is
    busy, up to `limit`."""

    def __init__(self, port, limit, record):
        self.port, self.limit, self.record = port, limit, record
        self.connections, self.idle = set(), []
        self.outcomes = []
        self.unsent = 0
        self.open = {}

    def request(self, name, limit_ms, insert_bytes=None, key=None):
        identifier = "%016x" % random.getrandbits(64)
        code = "%016x" % random.getrandbits(64)
        comment = f"id={identifier},c={name},d={limit_ms}"
        if key or name in ("slot-hold", "check-in"):
            comment += f",k={key or '%016x' % random.getrandbits(64)}"
        if insert_bytes is None and name not in ("slot-hold", "book-confirm"):
            text = f"SELECT data FROM facts WHERE code = '{code}' /* {comment} */"
        else:
            value = os.urandom(insert_bytes or 2).hex()
            text = (f"INSERT INTO facts (code, data) VALUES ('{code}', '\\x{value}')"
                    f" RETURNING data /* {comment} */")
        return {"id": identifier, "class": name, "limit": limit_ms / 1000.0, "text": text,
                "created": time.time(), "sent": None, "tries": 0}

    def send(self, request):
        """Sends a request; returns whether a connection was free for it."""
        while self.idle:
            connection = self.idle.pop()
            if connection.transport.is_closing():
                continue
            connection.send(request)
            self.open[request["id"]] = request
            return True
        if len(self.connections) >= self.limit:
            self.unsent += 1
            return False
        connection = ClientConnection(self)
        connection.request = request
        self.connections.add(connection)
        self.open[request["id"]] = request
        asyncio.get_running_loop().create_task(self.connect(connection))
        return True

    async def connect(self, connection):
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, "127.0.0.1", self.port)
        except OSError:
            self.connections.discard(connection)
            request, connection.request = connection.request, None
            if request:
                self.settle(request, "unreachable", "")

    def on_answer(self, request, parts):
        kinds = [kind for kind, _ in parts]
        if kinds[-2:] == ["value", "complete"]:
            value = parts[-2][1]
            own = value == value_of(request["id"])
            self.settle(request, "served" if own else "foreign", "" if own else repr(value[:60]))
        elif "error" in kinds:
            code = dict(parts)["error"]
            kind = "refused" if code in ("53300", "57P03") else "failed"
            self.settle(request, kind, code)

    def on_closed(self, request):
        # The instance may close between requests; the client sends the request once more.
        if request["tries"] == 0:
            request["tries"] = 1
            self.open.pop(request["id"], None)
            if self.send(request):
                return
        self.settle(request, "closed", "")

    def settle(self, request, outcome, note):
        now = time.time()
        self.open.pop(request["id"], None)
        took = now - (request["sent"] or request["created"])
        self.outcomes.append((now, request, outcome, took))
        sent = (request["sent"] or request["created"]) - self.record.start
        self.record(f"answer id={request['id']} c={request['class']} d={request['limit']:.3f}"
                    f" sent={sent:.4f} took={took:.4f} {outcome} {note}")


class Servers:
    """Machines, discovery and the platform in a process of their own, so that a busy client does
    not slow them down. `make` returns the machines."""

    def __init__(self, make):
        context = multiprocessing.get_context("fork")
        self.pipe, child = context.Pipe()
        self.process = context.Process(target=serve_process, args=(make, child), daemon=True)
        self.process.start()
        if not self.pipe.poll(15):
            raise CannotRun("the stand-ins of the servers do not start")
        self.discovery, self.platform = (Address(*values) for values in self.pipe.recv())

    def report(self):
        """What the machines received and ran so far: lists of (time, machine, id)."""
        self.pipe.send(("report",))
        return self.pipe.recv()

    def end(self):
        self.process.kill()
        self.process.join()


class Address:
    """What a proxy instance has to know of a server in another process."""

    def __init__(self, port, text, news):
        self.port, self.list_text, self.news = port, text, news
        self.machines = None

    def text(self, *_):
        return self.list_text

    def state(self):
        return self.news


def serve_process(make, pipe):
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    asyncio.run(serve_servers(make, pipe))


async def serve_servers(make, pipe):
    machines = make()
    for machine in machines:
        await machine.listen()
    discovery, platform = Discovery(machines), Platform()
    await discovery.listen()
    await platform.listen()
    # Kept, or the tasks could be collected.
    tasks = [asyncio.create_task(server.keep_alive()) for server in (discovery, platform)]
    text = discovery.text(True, machines)
    pipe.send(((discovery.port, text, None), (platform.port, None, platform.state())))
    while tasks:
        if pipe.poll():
            try:
                pipe.recv()
            except EOFError:
                return
            pipe.send({name: [(at, machine.name, fields["id"])
                              for machine in machines for at, fields in getattr(machine, name)]
                       for name in ("received", "ran")})
        await asyncio.sleep(0.02)


class BadClients:
    """Clients in a process of their own that connect `count` times at once, send `first` and read
    what they are sent. With `every` as None, each does the same again as soon as it is turned away;
    otherwise it stays away, and as many others come every so many seconds."""

    def __init__(self, port, count, first, seconds, every):
        context = multiprocessing.get_context("fork")
        self.ends = context.Value("i", 0)
        self.process = context.Process(target=bad_process, daemon=True,
                                       args=(port, count, first, seconds, every, self.ends))
        self.process.start()

    def end(self):
        self.process.kill()
        self.process.join()


def bad_process(port, count, first, seconds, every, ends):
    async def one(begin, end):
        await asyncio.sleep(begin)
        while time.time() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(first)
                while await reader.read(65536):
                    pass
                writer.close()
            except OSError:
                await asyncio.sleep(0.01)
            ends.value += 1
            if every is not None:
                return

    async def everyone():
        end = time.time() + seconds
        begins = [0.0] if every is None else [every * wave for wave in range(int(seconds / every))]
        clients = [one(begin, end) for begin in begins for _ in range(count)]
        await asyncio.wait_for(asyncio.gather(*clients), seconds + 5)

    try:
        asyncio.run(everyone())
    except asyncio.TimeoutError:
        pass


async def play_bad_clients(record, proxy, servers, sockets, count, first, every, times):
    """The usual clients at 60 requests a second, and from `times[0]` to `times[1]` bad clients.
    Returns the usual requests that were lost by the rule: no final answer half a second after their
    time, and 50 ms, as every limit on sockets is longer by that; what this process itself was late
    is in favour of the instance."""
    from_second, until_second, end = times
    random.seed(7)
    pool = ClientPool(proxy.port, sockets // 3, record)
    bad, lag = None, 0.0
    start = following = before = shown = time.time()
    seen = 0
    try:
        while time.time() < start + end:
            now = time.time()
            lag, before = max(lag, now - before), now
            if TROUBLE and bad is None and now >= start + from_second:
                bad = BadClients(proxy.port, count, first, until_second - from_second, every)
            while following <= now:
                kind = random.choices(CLASSES, [42, 24, 24, 10])[0]
                limit = int(kind["deadline"] * random.uniform(0.4, 1.0))
                if random.random() < 0.25:
                    # A further try of a client, with little time left.
                    limit = random.randrange(100, 300)
                pool.send(pool.request(kind["name"], limit))
                following += random.expovariate(60.0)
            if now >= shown + 1.0:
                shown = now
                recent = pool.outcomes[seen:]
                seen = len(pool.outcomes)
                kinds = [outcome for _, _, outcome, _ in recent]
                record.say(f"{now - start:5.1f} s open {len(pool.open)}, answers of the last second"
                           f" { {kind: kinds.count(kind) for kind in sorted(set(kinds))} }, longest"
                           f" {max([took for _, _, _, took in recent], default=0.0):.3f} s,"
                           f" bad clients turned away {bad.ends.value if bad else 0}")
            before = time.time()
            await asyncio.sleep(0.002)
            before += 0.002
        await asyncio.sleep(1.0)
    finally:
        if bad:
            bad.end()
    for kind, entries in servers.report().items():
        for at, machine, identifier in entries:
            record(f"{kind} at {at - record.start:.4f} by {machine} id={identifier}")
    now = time.time()
    allowed = 0.55 + lag
    late = [(request, outcome, took) for _, request, outcome, took in pool.outcomes
            if outcome in ("served", "refused", "failed") and took > request["limit"] + allowed]
    late += [(request, "no answer", now - request["sent"]) for request in pool.open.values()
             if request["sent"] and now > request["sent"] + request["limit"] + allowed]
    for request, outcome, took in late:
        record(f"LOST id={request['id']} c={request['class']} d={request['limit']:.3f}"
               f" took={took:.3f} {outcome}")
    record.say(f"{len(pool.outcomes)} answers, {len(late)} requests lost; the clients' own delay was"
               f" at most {lag:.3f} s; the latest answer came"
               f" {max([t - r['limit'] for r, _, t in late], default=0.0):.3f} s after its time")
    return late


def run_case(folder, main):
    """Runs a case and exits with its code: 0 held, 1 broken, 2 could not run."""
    record = Record(folder)
    try:
        code = asyncio.run(asyncio.wait_for(main(record), 118))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        record.say(f"could not run: {problem!r}")
        code = 2
    record.file.close()
    sys.exit(code)
