"""Stand-ins for the platform's store and for executors, and what a case needs to start daemons and clients.

They speak what the users' pages say (PROTOCOL.md) and behave like a sound store and sound executors. One process holds the store, the
operator and the clients; executors run in processes of their own (`standins.py executors ...`). Everything is on loopback addresses.
"""

import asyncio
import base64
import bisect
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
import urllib.parse
import warnings

# Calls that are cut off as a case ends are none of its findings.
warnings.simplefilter("ignore", RuntimeWarning)

ROW_BYTES = 65536
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def free_ports(count, host="127.0.0.1"):
    """Returns consecutive ports that are free on the address at the moment."""
    for _ in range(200):
        first = random.randrange(10000, 32000 - count)
        held = []
        try:
            for port in range(first, first + count):
                held.append(socket.socket())
                held[-1].bind((host, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise OSError("no free ports")


def resident_mb(pid):
    """Returns the resident memory of a process, in MB; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class HttpServer(asyncio.Protocol):
    """A connection of an HTTP/1.1 server; `handle` returns a status and a JSON value, or an awaitable of both."""

    def __init__(self, handle):
        self.handle = handle
        self.buffer = b""
        self.busy = False
        self.closes = False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        self.buffer += data
        if not self.busy:
            self.next_request()

    def next_request(self):
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length]
            self.buffer = self.buffer[end + 4 + length:]
            method, target, _ = lines[0].split(" ")
            self.closes = headers.get("connection", "").lower() == "close"
            answer = self.handle(method, target, headers, body)
            if asyncio.iscoroutine(answer):
                self.busy = True
                asyncio.ensure_future(self.finish(answer))
                return
            self.reply(*answer)

    async def finish(self, answer):
        status, value = await answer
        self.busy = False
        if status is None:
            return
        self.reply(status, value)
        self.next_request()

    def reply(self, status, value):
        if self.transport.is_closing():
            return
        body = json.dumps(value, separators=(",", ":")).encode()
        head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)
        if self.closes:
            self.transport.close()


class Store:
    """The platform's store: versioned rows, conditional transactions, feeds. It holds to `row_bytes`, 100 entries and 1 MB a call."""

    def __init__(self, txn_ms=3.0):
        self.rows = {}
        self.keys = {}
        self.ver = 0
        self.log = []
        self.changed = asyncio.Event()
        self.txn_s = txn_ms / 1000
        self.refused = []
        # The calls in each second: those that write, and those that read.
        self.writes, self.reads = {}, {}

    def put(self, table, key, value):
        """Writes a row as the operator or an executor does; None deletes it."""
        self.ver += 1
        self.write(table, "", key, None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value or "", "ver": self.ver, "deleted": value is None}
        keys = self.keys.setdefault((table, part), [])
        if value is None:
            if self.rows.pop((table, part, key), None):
                keys.remove(key)
        else:
            if (table, part, key) not in self.rows:
                bisect.insort(keys, key)
            self.rows[(table, part, key)] = row
        self.log.append(row)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        calls = self.writes if path == "/-/rows-tx" else self.reads
        calls[int(time.time())] = calls.get(int(time.time()), 0) + (path != "/standin/put")
        if path == "/-/rows-tx":
            return self.transact(body)
        if path == "/-/rows-get":
            return 200, self.read(query)
        if path == "/-/rows-feed":
            return self.feed(query)
        if path == "/standin/put":
            asked = json.loads(body)
            self.put(asked["table"], asked["key"], asked["value"])
            return 200, {}
        return 404, {}

    async def transact(self, body):
        await asyncio.sleep(self.txn_s)
        call = json.loads(body)
        expected, writes, remove = (call.get(name, []) for name in ("expected", "writes", "remove"))
        entries = expected + writes + remove
        largest = max((len(base64.b64decode(row["value"])) for row in writes), default=0)
        if len(entries) > 100 or len(body) > 1_000_000 or largest > ROW_BYTES:
            self.refused.append((time.time(), largest, [row["key"] for row in writes]))
            return 400, {"error": "too large"}
        if len({row["part"] for row in entries}) > 1 and not call.get("cross_region"):
            return 400, {"error": "several parts"}

        def row_of(entry):
            return self.rows.get((entry["table"], entry["part"], entry["key"]))

        if any((row_of(entry) or {"ver": 0})["ver"] != entry["ver"] for entry in expected):
            present = [row_of(entry) for entry in expected if row_of(entry)]
            return 412, {"rows": present, "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
        self.ver += 1
        for row in writes:
            self.write(row["table"], row["part"], row["key"], row["value"])
        for row in remove:
            self.write(row["table"], row["part"], row["key"], None)
        self.wake()
        return 200, {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    def read(self, query):
        table, part = query.get("table"), query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", "500")), 500)
        keys = self.keys.get((table, part), [])
        keys = keys[bisect.bisect_left(keys, first):len(keys) if last is None else bisect.bisect_left(keys, last)]
        page, size = [], 0
        for key in keys[:limit]:
            row = self.rows[(table, part, key)]
            size += len(row["value"])
            if page and size > 1_000_000:
                break
            page.append(row)
        return {"rows": page, "has_more": len(page) < len(keys), "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    async def feed(self, query):
        after, table = int(query.get("after", "0")), query.get("table")
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            rows = []
            for row in reversed(self.log):
                if row["ver"] <= after:
                    break
                if row["table"] == table:
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows[::-1], "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Executor:
    """An executor: fencing, leases, ends until they are acknowledged. `work` tells how long a task works, in seconds."""

    def __init__(self, spec, work, log):
        self.spec, self.work, self.log = spec, work, log
        self.id = spec["id"]
        self.born = int(time.time() * 1000)
        self.offset = time.monotonic() - 1000 - len(self.id)
        self.token = 0
        self.deadline = None
        self.running = {}
        self.over = {}
        self.ended = []
        self.count = 0
        self.acked = 0
        self.listed = 0
        self.news = asyncio.Event()

    def clock(self):
        return (time.monotonic() - self.offset) * 1000

    def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        expected = headers.get("x-jasminebend-expect-instance")
        if expected not in (None, self.id):
            return 421, {}
        call = json.loads(body or b"{}")
        token = call.get("fencing_token", 0)
        if token < self.token:
            return self.refusal("fence")
        self.token = token
        if target == "/-/run-start":
            return self.start(call)
        if target == "/-/run-stop":
            return self.stop(call)
        if target == "/-/hold":
            return self.hold(call)
        if target == "/-/pace":
            return 200, {"clock_ms": int(self.clock()), "born": self.born}
        return 404, {}

    def refusal(self, reason):
        return 409, {"clock_ms": int(self.clock()), "born": self.born, "reason": reason}

    def extend(self, deadline):
        if deadline is not None:
            deadline = min(deadline, self.clock() + self.spec["max_hold_ms"])
            self.deadline = max(self.deadline or 0, deadline)

    def start(self, call):
        task, run = call["task"], call["run"]
        if call["deadline_ms"] <= self.clock():
            return self.refusal("late")
        self.extend(call["deadline_ms"])
        if task in self.running and self.running[task][0] == run:
            return 200, {"clock_ms": int(self.clock()), "born": self.born}
        if self.over.get(task, 0) >= run:
            return self.refusal("old")
        if self.spec.get("ticket_ms") and not self.is_valid(call.get("ticket", ""), task):
            return self.refusal("ticket")
        self.log("start", self.id, task, run)
        seconds = self.work(task)
        timer = asyncio.get_running_loop().call_later(seconds, self.end, task, run, "done")
        self.running[task] = (run, time.monotonic(), seconds, timer)
        return 200, {"clock_ms": int(self.clock()), "born": self.born}

    def is_valid(self, ticket, task):
        """Returns whether a ticket is one for the task's step and this life of the executor, and not too old."""
        step, _, rest = ticket.partition("/")
        of, _, rest = rest.partition("/")
        born, _, issued = rest.partition("/")
        is_for_this = step == task.rpartition(".")[0] and of == self.id and born == str(self.born)
        return is_for_this and time.time() * 1000 - int(issued) <= self.spec["ticket_ms"]

    def stop(self, call):
        task, run = call["task"], call["run"]
        if task in self.running and self.running[task][0] == run:
            self.running[task][3].cancel()
            asyncio.get_running_loop().call_later(0.05, self.end, task, run, "stopped")
        elif run > self.over.get(task, 0):
            self.over[task] = run
        return 200, {"clock_ms": int(self.clock()), "born": self.born}

    def end(self, task, run, how):
        if task not in self.running or self.running[task][0] != run:
            return
        self.running.pop(task)[3].cancel()
        self.over[task] = max(run, self.over.get(task, 0))
        self.count += 1
        self.ended.append([self.count, task, run, how, ""])
        self.log("end", self.id, task, run, how)
        self.news.set()

    def lapse(self):
        if self.deadline is not None and self.clock() > self.deadline:
            for task, (run, *_) in list(self.running.items()):
                self.end(task, run, "lapsed")

    async def hold(self, call):
        self.extend(call.get("deadline_ms"))
        acked = call.get("acked_through", 0)
        if acked > self.acked:
            self.acked = acked
            self.log("acked", self.id, "", acked)
            self.ended = [end for end in self.ended if end[0] > acked]
        until = time.monotonic() + min(call.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run, "", int(min(99, (now - began) * 100 / seconds)), 100]
                   for task, (run, began, seconds, _) in self.running.items()]
        if self.spec.get("lasting"):
            for row in running:
                row[3] = 100
        ended = self.ended[:500]
        if ended and ended[-1][0] > self.listed:
            self.listed = ended[-1][0]
            self.log("listed", self.id, "", self.listed)
        return 200, {"clock_ms": int(self.clock()), "born": self.born, "running": running, "ended": ended}

    def entry(self, sequence):
        return {"backend": self.spec["backend"], "address": self.spec["address"], "zone": self.spec["zone"], "version": "1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": self.born,
                "machine": "m-" + self.id, "capacity": self.spec["capacity"], "labels": self.spec["labels"]}


class Advice:
    """The service that tells which executors may run a step: one call at a time, in turn; 429 while 32 are waiting."""

    def __init__(self, store, rule, permits, note):
        self.store, self.rule, self.permits, self.note = store, rule, permits, note
        self.turn = asyncio.Lock()
        self.waiting = 0

    async def handle(self, method, target, headers, body):
        if target != "/-/advise":
            return 404, {}
        asked = json.loads(body)
        if self.waiting >= 32 or len(asked["workers"]) > 100:
            return 429, {}
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            takes = self.rule["decide_ms"] + self.rule["each_ms"] * len(asked["workers"])
            self.note(f"advice for {asked['step']} on {len(asked['workers'])} executors takes {takes} ms")
            await asyncio.sleep(takes / 1000)
        good = []
        for worker in asked["workers"]:
            row = self.store.rows.get(("servers", "", worker))
            if row and self.permits(worker):
                born = json.loads(base64.b64decode(row["value"]))["born"]
                good.append([worker, f"{asked['step']}/{worker}/{born}/{int(time.time() * 1000)}"])
        return 200, {"good": good, "validity_ms": self.rule["validity_ms"]}


async def call(address, method, path, value=None, headers=None, timeout=3.0):
    """Makes a call on a connection of its own; returns the status and the value, or (None, None) without an answer."""
    host, port = address.rsplit(":", 1)
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
    given = {"Host": address, "Content-Type": "application/json", **(headers or {})}
    lines += [f"{name}: {text}" for name, text in given.items()]
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
    except (OSError, asyncio.TimeoutError):
        return None, None
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await asyncio.wait_for(reader.read(), timeout)
        head, _, body = answer.partition(b"\r\n\r\n")
        if not head:
            return None, None
        return int(head.split(b" ")[1]), json.loads(body or b"{}")
    except (OSError, ValueError, IndexError, asyncio.TimeoutError):
        return None, None
    finally:
        writer.close()


class Session:
    """A client's connection that stays open between calls."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def call(self, method, path, value=None, headers=None, timeout=3.0):
        """Makes a call; returns the status and the value, or (None, None) without an answer."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, value, headers or {}), timeout)
        except (OSError, ValueError, IndexError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if self.writer:
                self.writer.close()
            self.reader = self.writer = None
            return None, None

    async def exchange(self, method, path, value, headers):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        body = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        given = {"Host": self.address, "Content-Type": "application/json", **headers}
        lines += [f"{name}: {text}" for name, text in given.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.split("content-length:")[1].split("\r\n")[0])
        answer = await self.reader.readexactly(length)
        return int(head.split(" ")[1]), json.loads(answer or b"{}")


async def run_clients(plan):
    """The process of clients that hand in many jobs: `count` jobs from the number `first` on, `per_s` a second, on some connections. With
    `cancels` they cancel each as soon as it is accepted."""
    out = open(plan["log"], "w", buffering=1 << 16)
    began = time.monotonic()
    numbers = iter(range(plan["count"]))

    async def client(address):
        session = Session(address)
        for number in numbers:
            await asyncio.sleep(max(0.0, began + number / plan["per_s"] - time.monotonic()))
            key = f"{plan['first'] + number:016x}"
            for _ in range(5):
                status, _ = await session.call("POST", plan["prefix"] + key, plan["job"], plan["headers"])
                out.write(f"{time.time():.4f} POST {key} {address} {status}\n")
                if status == 200:
                    break
                await asyncio.sleep(1)
            if status == 200 and plan.get("cancels"):
                status, _ = await session.call("DELETE", plan["prefix"] + key, None, plan["headers"])
                out.write(f"{time.time():.4f} DELETE {key} {address} {status}\n")

    await asyncio.gather(*(client(address) for address in plan["addresses"]))
    out.close()


async def serve(handle, address):
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: HttpServer(handle), host, int(port), backlog=512)


async def run_executors(plan):
    """The process of some executors: `plan` names the store, the executors, the log and the tasks' times."""
    sys.path.insert(0, plan["work_dir"])
    work = __import__("work").seconds
    out = open(plan["log"], "a", buffering=1 if plan["flush"] else 1 << 16)

    def log(event, *fields):
        out.write(f"{time.time():.4f} {event} " + " ".join(str(field) for field in fields) + "\n")

    executors = [Executor(spec, work, log) for spec in plan["executors"]]
    for executor in executors:
        await serve(executor.handle, executor.spec["address"])
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    sequence, beat_at, store = 0, 0.0, Session(plan["store"])
    while not stop.is_set():
        for executor in executors:
            executor.lapse()
        if time.monotonic() >= beat_at:
            beat_at = time.monotonic() + plan["heartbeat_ms"] / 1000
            sequence += 1
            for executor in executors:
                value = {"table": "servers", "key": executor.id, "value": executor.entry(sequence)}
                await store.call("POST", "/standin/put", value)
            out.flush()
        await asyncio.sleep(0.02)
    out.close()


class Deployment:
    """A small deployment: the store in this process, executors and daemons as processes, in a temporary folder."""

    ZONES = ["le-chan", "ngo-quyen", "hong-bang"]

    def __init__(self, folder, executors, daemons=3, processes=2, bounds=None, backend="storefront",
                 has_advice=False, flush=False):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="jasminebend-review-")
        ports = free_ports(3 + len(executors) + 5 * daemons)
        self.store_address = f"127.0.0.1:{ports.pop()}"
        self.advice_address = f"127.0.0.1:{ports.pop()}" if has_advice else None
        self.store = Store()
        self.children = []
        self.stopped = False
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.time()
        self.backend = backend
        self.bounds = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
                       "grace_s": 6, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
                       "evacuate_ms": 5000, "recovery_s": 12, "cold_overage": 1.5, "cold_slack": 5, "max_hold_ms": 10000, "stop_ms": 400, "gang_ms": 3000, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 2, "checkpoint_s": 0.5,
                       "restore_ms": 100, "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2, "require_fencing": True,
                       "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000, **(bounds or {})}
        self.executors = []
        for number, spec in enumerate(executors):
            self.executors.append({"id": f"x{number:02d}", "backend": backend, "zone": self.ZONES[number % 3],
                                   "address": f"127.0.0.1:{ports.pop()}", "max_hold_ms": self.bounds["max_hold_ms"], **spec})
        self.processes = processes
        # A process that is killed must not take what it has logged with it.
        self.flush = flush
        self.daemons = []
        for number in range(daemons):
            own = [ports.pop() for _ in range(3)]
            internal = sorted([ports.pop(), ports.pop()])
            zone = self.ZONES[number % 3]
            settings = {
                "node_name": f"edge-{zone}-{number}", "role": "daemon", "machine_class": "edge", "serves": ["edge"], "ip": "127.0.0.1",
                "zone": zone, "region": "hai-phong", "zones": {zone: "hai-phong" for zone in self.ZONES},
                "listen_addrs": {"frontend": f"127.0.0.1:{own[0]}", "ready": f"127.0.0.1:{own[1]}",
                                 "control_plane": f"127.0.0.1:{own[2]}"},
                "internal_ports": internal, "seed_nodes": [], "bootstrap": True, "in_tolerance": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": 1100, "contracts": ["base"],
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": self.bounds, "orders": "rpc",
                "platform": {"address": self.store_address, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "txn_ms": 3.0,
                             "partition_writes_s": 300, "row_bytes": ROW_BYTES, "cross_region": True, "history_s": 20},
            }
            if has_advice:
                settings["advice"] = self.advice_address
            path = os.path.join(self.temp, f"settings-{number}.json")
            with open(path, "w") as file:
                json.dump(settings, file)
            self.daemons.append({"settings": path, "frontend": settings["listen_addrs"]["frontend"],
                                 "ready": settings["listen_addrs"]["ready"], "name": settings["node_name"], "process": None})

    def note_calls(self):
        """Notes how many calls the store had: the platform takes 600 writing and 2,000 reading ones a second."""
        store = self.store
        self.note(f"calls to the store in the busiest second: {max(store.writes.values(), default=0)} writing, "
                  f"{max(store.reads.values(), default=0)} reading")

    def note(self, text):
        self.record.write(f"{time.time() - self.began:8.3f} {text}\n")

    async def start(self, routes, work, settle_s=3.0):
        """Starts all parts; `work` is the text of a module whose `seconds(task)` tells how long a task works."""
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await serve(self.store.handle, self.store_address)
        config = {"version": 1, "routes": routes, "services": [{"name": self.backend, "rejects_overload": False}],
                  "limits": {"max_body_bytes": 262144}}
        self.store.put("op", "config", config)
        with open(os.path.join(self.temp, "work.py"), "w") as file:
            file.write(work)
        self.logs, self.plans, self.groups = [], [], []
        for number in range(self.processes):
            log = os.path.join(self.temp, f"executors-{number}.log")
            plan = {"store": self.store_address, "work_dir": self.temp, "log": log, "heartbeat_ms": 1100, "flush": self.flush,
                    "executors": self.executors[number::self.processes]}
            self.plans.append(plan)
            self.groups.append(None)
            self.start_executors(number)
            self.logs.append(log)
        await asyncio.sleep(0.5)
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            until = time.time() + 15
            while (await call(daemon["ready"], "GET", "/-/readiness"))[0] != 200:
                if time.time() > until:
                    raise RuntimeError("a daemon does not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)

    def start_executors(self, number):
        """Starts the process of a group of executors, which know nothing of an earlier one."""
        if not self.stopped:
            command = [sys.executable, os.path.abspath(__file__), "executors", json.dumps(self.plans[number])]
            self.groups[number] = subprocess.Popen(command)
            self.children.append(self.groups[number])

    def start_daemon(self, daemon):
        if self.stopped:
            return
        root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        out = open(os.path.join(self.temp, daemon["name"] + ".log"), "a")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.temp, "LANG": "C", "JASMINEBEND_CONFIG": daemon["settings"]}
        daemon["process"] = subprocess.Popen(["target/release/jasminebend", "fleet"], cwd=root, env=environment, stdout=out, stderr=out)
        self.children.append(daemon["process"])
        self.note(f"daemon {daemon['name']} started")

    def stop(self):
        self.stopped = True
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.terminate()
        until = time.time() + 3
        for child in self.children:
            try:
                child.wait(max(0.05, until - time.time()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()

    def events(self):
        """Returns what the executors have logged: (seconds, event, executor, task, number, ...)."""
        events = []
        for log in self.logs:
            with open(log) as file:
                for line in file:
                    at, event, executor, task, *rest = line.rstrip("\n").split(" ")
                    events.append((float(at) - self.began, event, executor, task, int(rest[0]), *rest[1:]))
        return sorted(events)

    def remove_folder(self):
        """Removes the temporary folder with the daemons' logs, unless the variable KEEP_LOGS is set."""
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.temp, ignore_errors=True)


if __name__ == "__main__":
    asyncio.run({"executors": run_executors, "clients": run_clients}[sys.argv[1]](json.loads(sys.argv[2])))
