"""Stand-ins for the platform's store, the executors, the clients and the operator, for the scripts of this review.

They follow PROTOCOL.md of the users' pages and use nothing but Python's standard library. All of them run in one asyncio
process; the daemons are separate processes of the program that the deploy file builds. Every address is a loopback address.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qsl, unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "jasminebend")
HOST = "127.0.0.1"

# The bounds of the site swancoast-sched, as in SYSTEM.md.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 6, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "max_hold_ms": 6000,
    "stop_ms": 900, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "remote_factor": 2, "checkpoint_s": 2, "restore_ms": 600, "notice_ms": 4500, "move_s": 1.5,
    "maintenance_s": 2, "require_fencing": True, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}
HEARTBEAT_S = 1.5
ROW_BYTES = 65536
CALL_BYTES = 1 << 20
CALL_ENTRIES = 100
TXN_S = 0.003

ORIGIN = time.monotonic()


def now():
    """Seconds since the script began, on the steady clock."""
    return time.monotonic() - ORIGIN


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write("%9.3f %s\n" % (now(), text))

    def close(self):
        self.file.close()


# HTTP/1.1 on both sides, just enough for JSON bodies on kept connections.

async def read_message(reader):
    """Reads a message's first line, headers and body; None when the connection ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


class Server:
    """Serves JSON over HTTP on a loopback port. `handle` gets method, path, query, headers and body and returns a status and a
    value, or None to close the connection without an answer."""

    def __init__(self):
        self.port = None
        self.server = None
        self.writers = set()

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 24, reuse_address=True, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    def close(self):
        """Refuses new connections and resets the open ones."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                except OSError:
                    pass
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(parse_qsl(query, keep_blank_values=True)), headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % (status, len(data)))
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError


async def call(address, method, path, headers, value=None, timeout=4.0):
    """Sends one request on a new connection. Returns status and body, or None if there was no whole answer in time."""
    host, _, port = address.rpartition(":")
    data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        lines = ["%s %s HTTP/1.1" % (method, path), "content-length: %d" % len(data), "connection: close"]
        lines += ["%s: %s" % pair for pair in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    status = int(message[0].split(" ")[1])
    try:
        return status, json.loads(message[2] or b"null")
    except ValueError:
        return status, None


class Store(Server):
    """The platform's store: versioned rows, conditional transactions, feeds. It loses nothing that it has acknowledged."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}
        self.log = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.down = False
        self.heard = {}
        self.refused_writes = 0

    def put(self, table, part, key, value):
        self.ver += 1
        self.rows[(table, part, key)] = (value, self.ver)
        self.note(table, part, key, False)

    def note(self, table, part, key, deleted):
        self.log.append((self.ver, table, part, key, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.ver += 1
            self.note(table, part, key, True)

    def put_json(self, table, key, value):
        self.put(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())

    async def expire_entries(self, heartbeat_s, lapses=lambda: False):
        """Removes the entry of an executor after three heartbeat intervals of silence, or while `lapses()` holds."""
        while True:
            await asyncio.sleep(0.05)
            for ident, at in list(self.heard.items()):
                if lapses() or now() - at > 3 * heartbeat_s:
                    if ("servers", "", ident) in self.rows:
                        self.record.line("store: the entry of %s expires" % ident)
                        self.drop("servers", "", ident)

    @staticmethod
    def shown(table, part, key, value, ver):
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    async def handle(self, method, path, query, headers, body):
        if self.down:
            return 503, {}
        if (method, path) == ("POST", "/-/rows-tx"):
            await asyncio.sleep(TXN_S)
            if self.down:
                return 503, {}
            return self.transact(body)
        if (method, path) == ("GET", "/-/rows-get"):
            await asyncio.sleep(0.001)
            return self.read(query)
        if (method, path) == ("GET", "/-/rows-feed"):
            return await self.feed(query)
        return 404, {}

    def transact(self, body):
        call_ = json.loads(body)
        expected, writes, removes = call_.get("expected", []), call_.get("writes", []), call_.get("remove", [])
        if len(expected) + len(writes) + len(removes) > CALL_ENTRIES or len(body) > CALL_BYTES:
            self.refused_writes += 1
            self.record.line("store: a call of %d bytes with %d entries is refused with 400"
                             % (len(body), len(expected) + len(writes) + len(removes)))
            return 400, {"error": "the call is too large"}
        for row in writes + removes:
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in writes:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                self.refused_writes += 1
                if self.refused_writes <= 20 or self.refused_writes % 50 == 0:
                    self.record.line("store: row %s/%s/%s of %d bytes is refused with 400 (%d so far)"
                                     % (row["table"], row["part"], row["key"], size, self.refused_writes))
                return 400, {"error": "the row is too large"}
        found = []
        holds = True
        for row in expected:
            key = (row["table"], row["part"], row["key"])
            held = self.rows.get(key)
            if held is not None:
                found.append(self.shown(*key, *held))
            holds &= (held[1] if held else 0) == row.get("ver", 0)
        if not holds:
            return 412, {"rows": found, "ver": self.ver, "now_ms": int(now() * 1000)}
        if writes or removes:
            self.ver += 1
            for row in writes:
                key = (row["table"], row["part"], row["key"])
                self.rows[key] = (row["value"], self.ver)
                self.log.append((self.ver, *key, False))
            for row in removes:
                key = (row["table"], row["part"], row["key"])
                if self.rows.pop(key, None) is not None:
                    self.log.append((self.ver, *key, True))
            self.changed.set()
            self.changed = asyncio.Event()
        return 200, {"ver": self.ver, "now_ms": int(now() * 1000)}

    def read(self, query):
        table, part, start = query.get("table", ""), query.get("part", ""), query.get("from", "")
        to = query.get("to")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(k[2] for k in self.rows if k[0] == table and k[1] == part and k[2] >= start and (to is None or k[2] < to))
        page, size = [], 0
        for key in keys:
            value, ver = self.rows[(table, part, key)]
            size += len(value)
            if len(page) >= limit or (page and size > CALL_BYTES):
                break
            page.append(self.shown(table, part, key, value, ver))
        return 200, {"rows": page, "has_more": len(page) < len(keys), "ver": self.ver, "now_ms": int(now() * 1000)}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = now() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            if self.down:
                return 503, {}
            rows, seen = [], set()
            for ver, row_table, part, key, _ in reversed(self.log):
                if ver <= after:
                    break
                if row_table != table or (part, key) in seen:
                    continue
                seen.add((part, key))
                held = self.rows.get((table, part, key))
                row = {"table": table, "part": part, "key": key, "ver": ver}
                row.update({"value": held[0], "ver": held[1]} if held else {"deleted": True})
                rows.append(row)
            if rows or now() >= until:
                rows.reverse()
                return 200, {"rows": rows, "ver": self.ver, "now_ms": int(now() * 1000)}
            try:
                await asyncio.wait_for(self.changed.wait(), min(until - now(), 0.25))
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, run, sender, work_s, checkpoints, fails, cpu):
        self.task, self.run, self.sender = task, run, sender
        self.work_s, self.checkpoints, self.fails, self.cpu = work_s, checkpoints, fails, cpu
        self.began = now()
        self.stop_at = None
        self.ended = None
        self.how = None
        self.worker = None

    def percent(self):
        return min(100.0, 100.0 * (now() - self.began) / self.work_s)

    def saved(self):
        return "%016x" % int((now() - self.began) / BOUNDS["checkpoint_s"] + 1) if self.checkpoints else ""


class Worker(Server):
    """An executor. Its clock starts with it. A run's work is told by the job's `spec`, a JSON text with `work_ms` ([least, most])
    and `checkpoints`; how long a task takes depends on its name alone."""

    def __init__(self, ident, record, store, runs, zone="north", rack="r1", cpu=64000, mem=256000):
        super().__init__()
        self.id, self.record, self.store, self.all_runs = ident, record, store, runs
        self.zone, self.rack, self.cpu, self.mem = zone, rack, cpu, mem
        self.state = "ready"
        self.leaves_at = None
        self.sequence = 0
        self.cut = False
        self.next_beat = 0.0
        self.reset()

    def reset(self):
        """A new life: it runs and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.clock_origin = now()
        self.token = 0
        self.deadline = 0.0
        self.running = {}
        self.ended = []
        self.count = 0
        self.highest = {}
        self.acked = 0
        self.wakeup = asyncio.Event()

    def clock_ms(self):
        return int((now() - self.clock_origin) * 1000)

    async def beat(self, heartbeat_s):
        """Registers in the store about every heartbeat; not while it is cut off or the store is down."""
        self.next_beat = now() + random.random() * 0.2
        while True:
            await asyncio.sleep(0.02)
            if now() >= self.next_beat:
                self.next_beat = now() + heartbeat_s
                self.register()

    def register(self):
        if self.cut or self.store.down:
            return
        self.sequence += 1
        entry = {"backend": "pool", "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                 "machine": "m-" + self.id, "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpus": 0}, "labels": ["a", self.rack]}
        if self.state == "draining":
            entry["remaining_ms"] = max(0, int((self.leaves_at - now()) * 1000))
        self.store.heard[self.id] = now()
        self.store.put_json("servers", self.id, entry)

    async def tick(self):
        """Ends runs whose work is done, whose stop is over or whose lease has lapsed."""
        while True:
            await asyncio.sleep(0.01)
            if not self.running:
                continue
            if self.clock_ms() > self.deadline:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
                continue
            at = now()
            for run in list(self.running.values()):
                if at >= run.began + run.work_s:
                    self.end(run, "failed" if run.fails else "done")
                elif run.stop_at is not None and at >= run.stop_at:
                    self.end(run, "stopped")

    def end(self, run, how):
        self.running.pop((run.task, run.run), None)
        run.ended, run.how = now(), how
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.count += 1
        saved = "" if how in ("done", "failed") else run.saved()
        self.ended.append([self.count, run.task, run.run, how, saved, now()])
        self.record.line("%s: run %s/%d has ended %s" % (self.id, run.task, run.run, how))
        self.wakeup.set()
        self.wakeup = asyncio.Event()

    def drain(self, seconds):
        """Reports that it drains and leaves after that time at the earliest."""
        self.state, self.leaves_at = "draining", now() + seconds
        self.register()

    def crash(self):
        """Everything on it is gone without an end, and it stays down."""
        self.cut = True
        self.record.line("%s: crashes with %d runs" % (self.id, len(self.running)))
        for run in self.running.values():
            run.ended, run.how = now(), "crashed"
        self.close()
        self.reset()

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-jasminebend-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        call_ = json.loads(body)
        token = call_.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/-/hold":
            return await self.hold(call_)
        if path == "/-/run-start":
            return self.start(call_)
        if path == "/-/run-stop":
            return self.stop(call_)
        if path == "/-/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def grant(self, deadline_ms):
        self.deadline = max(self.deadline, min(deadline_ms, self.clock_ms() + BOUNDS["max_hold_ms"]))

    def start(self, call_):
        task, run = call_["task"], call_["run"]
        if call_["deadline_ms"] < self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.grant(call_["deadline_ms"])
        if (task, run) in self.running:
            return 200, {"clock_ms": self.clock_ms()}
        if run <= self.highest.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        spec = json.loads(call_["spec"])
        least, most = spec["work_ms"]
        work_s = random.Random(task).uniform(least, most) / 1000
        begun = Run(task, run, call_["fencing_token"], work_s, spec.get("checkpoints", False), spec.get("fails", False),
                    spec.get("cpu", 0))
        begun.worker = self.id
        self.running[(task, run)] = begun
        self.all_runs.append(begun)
        self.record.line("%s: starts %s/%d by token %d" % (self.id, task, run, call_["fencing_token"]))
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, call_):
        task, run = call_["task"], call_["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        held = self.running.get((task, run))
        if held is not None and held.stop_at is None:
            held.stop_at = now() + BOUNDS["stop_ms"] / 2000
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, call_):
        acked = call_.get("acked_through", 0)
        self.acked = max(self.acked, acked)
        self.ended = [end for end in self.ended if end[0] > acked]
        if call_.get("deadline_ms"):
            self.grant(call_["deadline_ms"])
        until = now() + min(call_.get("wait_ms", 0), 2000) / 1000
        while not self.ended and now() < until:
            try:
                await asyncio.wait_for(self.wakeup.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        if call_.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        running = [[r.task, r.run, r.saved(), round(r.percent(), 1), r.cpu] for r in self.running.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running,
                     "ended": [end[:5] for end in self.ended[:500]]}


class Daemon:
    """A daemon of the project: the program and the variable of the deploy file."""

    def __init__(self, number, folder, store_address, zone, extra=None):
        frontend, ready = free_ports(2)
        internal = free_range(4)
        self.name = "edge-%s-%d" % (zone, number)
        self.frontend = "%s:%d" % (HOST, frontend)
        settings = {
            "node_name": self.name, "role": "daemon", "machine_class": "edge", "serves": ["edge"], "ip": HOST,
            "zone": zone, "region": "reg", "zones": {"north": "reg", "south": "reg", "west": "reg"},
            "listen_addrs": {"frontend": self.frontend, "ready": "%s:%d" % (HOST, ready)},
            "internal_ports": [internal, internal + 3], "seed_nodes": [], "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.1, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "rpc",
            "platform": {"address": store_address, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "txn_ms": 3.0,
                         "partition_writes_s": 300, "row_bytes": ROW_BYTES, "cross_region": True, "history_s": 20},
        }
        settings.update(extra or {})
        self.settings = os.path.join(folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log_path = os.path.join(folder, self.name + ".log")
        self.process = None

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["JASMINEBEND_CONFIG"] = self.settings
        log = open(self.log_path, "ab")
        # In a session of its own: a stopped process of a group whose leader's parent ends would be continued.
        self.process = subprocess.Popen([PROGRAM, "fleet"], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        start_new_session=True, preexec_fn=end_with_parent)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    yield json.loads(line)
                except ValueError:
                    yield {"event": "text", "text": line.strip()}


def end_with_parent():
    """Has the kernel end this process with the script that started it, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def free_range(count):
    """A few ports in a row that are free now, outside of the range from which the kernel draws."""
    for _ in range(200):
        first = random.randrange(12000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((HOST, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free ports")


class Clients:
    """Clients of one queue. The balancer gives each request to one of the daemons that run."""

    def __init__(self, daemons, record, seed):
        self.daemons, self.record, self.random = daemons, record, random.Random(seed)
        self.jobs = {}
        self.headers = {"host": "shop.example", "x-jasminebend-deadline-ms": "3000", "content-type": "application/json"}

    def pick(self):
        alive = [d for d in self.daemons if d.process and d.process.poll() is None]
        return self.random.choice(alive) if alive else None

    async def request(self, method, ident, body=None, timeout=3.0):
        daemon = self.pick()
        answer = None
        if daemon is not None:
            answer = await call(daemon.frontend, method, "/q/" + ident, self.headers, body, timeout)
        self.record.line("client: %s %s at %s: %s" % (method, ident, daemon.name if daemon else "no daemon", answer))
        return answer

    async def submit(self, body, tries=5):
        """Hands a job in, with retries under the same identity; returns the identity, and whether it was accepted."""
        ident = "%016x" % self.random.getrandbits(64)
        for _ in range(tries):
            answer = await self.request("POST", ident, body)
            if answer and 200 <= answer[0] < 300:
                self.jobs[ident] = {"accepted": now(), "body": body}
                return ident, True
            await asyncio.sleep(1.0)
        return ident, False

    async def state(self, ident):
        answer = await self.request("GET", ident)
        return answer[1].get("state") if answer and answer[0] == 200 else answer


def job(steps, work_ms, checkpoints=False, fails=False):
    return {"spec": json.dumps({"work_ms": work_ms, "checkpoints": checkpoints, "fails": fails, "cpu": steps[0]["cpu"]}), "steps": steps}


class Deployment:
    """The store, the executors and the daemons of a small deployment, and the clean end of all of them."""

    def __init__(self, record, workers, daemons=3, heartbeat_s=HEARTBEAT_S, cpu=64000, max_attempts=4, seed=1):
        self.record, self.heartbeat_s, self.seed = record, heartbeat_s, seed
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.runs = []
        zones = ["north", "south", "west"]
        self.workers = [Worker("i-%03d" % n, record, self.store, self.runs, zone=zones[n % 3], rack="r%d" % (n % 3), cpu=cpu)
                        for n in range(workers)]
        self.daemon_count, self.max_attempts = daemons, max_attempts
        self.zones = zones
        self.daemons = []
        self.gone = []
        self.tasks = []
        self.clients = None
        self.lapses = False

    def configuration(self, version):
        return {"version": version, "routes": [{"name": "q", "hostname": "shop.example", "path_prefix": "/q/", "backend": "pool",
                                                "priority": 0, "max_attempts": self.max_attempts, "stretch": 2.0, "slo_ms": 1000}],
                "services": [{"name": "pool", "rejects_overload": False}], "limits": {"max_body_bytes": 262144}}

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def add_worker(self, worker):
        await worker.open()
        self.spawn(worker.beat(self.heartbeat_s))
        self.spawn(worker.tick())

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        await self.store.open()
        self.spawn(self.store.expire_entries(self.heartbeat_s, lambda: self.lapses))
        self.store.put_json("op", "config", self.configuration(1))
        for worker in self.workers:
            await self.add_worker(worker)
        for number in range(self.daemon_count):
            daemon = Daemon(number, self.folder, self.store.address, self.zones[number % 3])
            daemon.start()
            self.daemons.append(daemon)
        self.clients = Clients(self.daemons, self.record, self.seed)

    def remove(self, daemon):
        """The daemon's machine is gone for good. It is stopped and never continued, so that connections to it hang as those to a
        machine without power do; on the loopback the address of a killed process would refuse them."""
        daemon.signal(signal.SIGSTOP)
        self.daemons.remove(daemon)
        self.gone.append(daemon)

    def owner(self):
        """The daemon that the owner's row names."""
        for (_, _, key), (value, _) in self.store.rows.items():
            if key == "owner":
                text = base64.b64decode(value)
                for daemon in self.daemons:
                    if daemon.name.encode() in text:
                        return daemon
        return None

    async def until_serving(self, timeout=15.0):
        """Waits until a job was accepted, run and shown as completed."""
        until = now() + timeout
        ident, accepted = await self.clients.submit(job([{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 100}], [50, 100]), 10)
        while accepted and now() < until:
            if await self.clients.state(ident) == "completed":
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment does not serve")

    def close(self):
        # Connections that are cancelled with the loop are no errors of the case.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons + self.gone:
            daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def twice(runs):
    """Pairs of runs of one task that were at work at the same time, with the length of the overlap in seconds."""
    found, by_task = [], {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for held in by_task.values():
        held.sort(key=lambda run: run.began)
        for number, first in enumerate(held):
            for second in held[number + 1:]:
                overlap = min(first.ended or now(), second.ended or now()) - second.began
                if overlap > 0 and first.worker != second.worker:
                    found.append((first, second, overlap))
    return found


class StandstillWatch:
    """Looks, as the platform could, for the rule LOST as written: "for 3 s, a job has nothing running while a task's turn has come,
    there is capacity for it twice over, and under half of the service's capacity is in use", where the 3 s and the 4 s before them
    are calm."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.calm_from = 0.0
        self.idle_since = {}
        self.lost = {}

    def disturbed(self, until):
        """The deployment is disturbed until then; rules count again once the machines are in touch and 4 s were calm."""
        self.calm_from = max(self.calm_from, until + BOUNDS["contact_ms"] / 1000 + 4.0)

    def size(self, run, name):
        held = self.deployment.clients.jobs.get(run.task.split(".")[0])
        return held["body"]["steps"][int(run.task.split(".")[2])][name] if held else 0

    def look(self):
        at = now()
        workers, jobs = [w for w in self.deployment.workers if w.server is not None], self.deployment.clients.jobs
        used = {w.id: sum(self.size(run, "cpu") for run in w.running.values()) for w in workers}
        capacity = sum(w.cpu for w in workers)
        half_free = sum(used.values()) < capacity / 2
        running, done = {}, {}
        for run in self.deployment.runs:
            ident, _, step, index = run.task.split(".")
            if run.ended is None:
                running[ident] = running.get(ident, 0) + 1
            elif run.how == "done":
                done.setdefault((ident, int(step)), set()).add(index)
        for ident, held in jobs.items():
            steps = held["body"]["steps"]
            finished = [len(done.get((ident, number), ())) >= step["count"] for number, step in enumerate(steps)]
            ready = [step for number, step in enumerate(steps)
                     if not finished[number] and all(finished[before] for before in step.get("after", []))]
            room = any(sum((w.cpu - used[w.id]) // step["cpu"] for w in workers) >= 2 for step in ready)
            if at < self.calm_from or not ready or not room or running.get(ident) or not half_free:
                self.idle_since.pop(ident, None)
                continue
            since = self.idle_since.setdefault(ident, max(at, held["accepted"]))
            if at - since > 3.0 and ident not in self.lost:
                self.lost[ident] = at
                self.record.line("LOST: job %s, accepted at %.3f, has had nothing running since %.3f at least although the turn of a task "
                                 "has come; %.1f of %.1f cores are in use"
                                 % (ident, held["accepted"], since, sum(used.values()) / 1000, capacity / 1000))


def main(case, here):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(here, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 118))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.line("the case could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    finally:
        record.close()
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
