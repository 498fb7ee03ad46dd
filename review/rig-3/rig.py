"""Stand-ins for the scripts under review/: store, backends, clients, and the nodes as separate processes.

Follows the users' pages: the store speaks `/kv-*`, backends keep themselves under `servers/ID`, nodes run with the
command of deploy/system.toml and find their settings by LARKRACK_CONFIG. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "larkrack-edge")
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes.
HEARTBEAT_S = 1.5
MEMORY_MB = 260
ZONES = {"pamplona-a": "navarra", "huesca-a": "aragon-norte", "haro-a": "rioja-alta"}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class Record:
    """What was sent, answered and run, in record.txt of a case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.begin, text))
        self.file.flush()


def free_port(ips):
    """Returns a port that is free for TCP and UDP at all addresses, below those that the system gives to clients."""
    while True:
        port = random.randrange(10000, 30000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((ip, port))
            return port
        except OSError:
            continue


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as broken:
        if not broken.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


def render(start, headers, body=None):
    lines = [start] + ["%s: %s" % item for item in headers.items()]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


class Store:
    """The platform's store: keys with revisions, leases, watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}  # key -> [value as bytes, revision, lease, made]
        self.events = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, key, value, lease=0):
        async with self.changed:
            self.revision += 1
            made = self.items[key][3] if key in self.items else self.revision
            self.items[key] = [value, self.revision, lease, made]
            self.events.append((self.revision, key, value, lease, made))
            self.changed.notify_all()
            return self.revision

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.events.append((self.revision, key, None, 0, 0))
                self.changed.notify_all()

    @staticmethod
    def _item(key, value, revision, lease, made):
        text = base64.b64encode(value).decode()
        return {"Key": key, "Value": text, "Revision": revision, "made": made, "lease": lease}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                method, target, _ = head[0].split(" ")
                status, answer = await self._call(method, urllib.parse.urlsplit(target), body)
                text = json.dumps(answer).encode()
                writer.write(render("HTTP/1.1 %d X" % status, {"Content-Type": "application/json"}, text))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has left, or the case is over.
        finally:
            writer.close()

    async def _call(self, method, url, body):
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-key":
            if query["Key"] not in self.items:
                return 404, {"at": self.revision}
            value, revision, lease, made = self.items[query["Key"]]
            return 200, dict(self._item(query["Key"], value, revision, lease, made), at=self.revision)
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["PathPrefix"]) and k > query.get("after", ""))
            rows = []
            for key in keys[:500]:
                value, revision, lease, made = self.items[key]
                rows.append(self._item(key, value, revision, lease, made))
            return 200, {"items": rows, "more": len(keys) > 500, "at": self.revision}
        if url.path == "/kv-watch":
            return 200, await self._watch(query)
        if url.path == "/kv-txn":
            return await self._txn(json.loads(body))
        if url.path == "/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            self.leases[lease] = json.loads(body)["ttl_ms"]
            return 200, {"lease": lease, "ttl_ms": self.leases[lease]}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        return 200, {"lease": lease, "ttl_ms": self.leases[lease]}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["PathPrefix"]
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            found = [one for one in self.events if one[0] > after and one[1].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for revision, key, value, lease, made in found:
            gone = {"Key": key, "Revision": revision, "gone": True}
            rows.append(gone if value is None else self._item(key, value, revision, lease, made))
        return {"events": rows, "at": max([after] + [one[0] for one in found])}

    async def _txn(self, body):
        for row in body.get("ExpectedRev", []):
            item = self.items.get(row["Key"])
            if (item[1] if item else 0) != row["Revision"]:
                return 412, {"items": []}
        for row in body.get("put", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
            await self.put(row["Key"], base64.b64decode(row["Value"]), row.get("lease", 0))
        for key in body.get("Remove", []):
            await self.remove(key)
        return 200, {"Revision": self.revision}


class Backend:
    """One backend server; `answer` is a coroutine that gets (backend, writer, start, headers, body)."""

    def __init__(self, store, record, number, service, zone, answer, slots=9):
        self.store, self.record, self.service, self.zone, self.slots = store, record, service, zone, slots
        self.id = "i-%08x" % (0x7F3A0000 + number)
        self.answer = answer
        self.seq = 0
        self.runs = {}  # Request id -> number of runs.
        self.finished = set()  # Requests that it has answered.
        self.writers = set()
        self.task = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=2**20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.write_entry()
        self.task = asyncio.create_task(self._beat())

    def entry(self):
        self.seq += 1
        info = {"Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": self.slots}
        status = {"State": "ready", "CallSeq": self.seq, "WarmupLeftMs": 0}
        return {"Address": self.address, "Info": info, "Status": status}

    async def write_entry(self):
        """Writes the entry, which changes only when something besides CallSeq does."""
        fresh = self.entry()
        known = self.store.items.get("servers/" + self.id)
        if known is not None:
            lying = json.loads(known[0])
            lying["Status"]["CallSeq"] = self.seq
            if lying == fresh:
                return
        await self.store.put("servers/" + self.id, json.dumps(fresh).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    async def stop(self):
        """Ends as a crash does: says nothing."""
        if self.task:
            self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                if head[1].get("target-instance", self.id) != self.id:
                    writer.write(
                        render(
                            "HTTP/1.1 421 Misdirected Request",
                            {"Request-Id": head[1].get("request-id", ""), "Instance-Id": self.id},
                            b"",
                        )
                    )
                    continue
                request = head[1].get("request-id", "")
                self.runs[request] = self.runs.get(request, 0) + 1
                self.record.write("run     %s at %s (%s)" % (request, self.id, self.service))
                if await self.answer(self, writer, head[0], head[1], body) is False:
                    break
                await writer.drain()
                self.finished.add(request)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has left, or the case is over.
        finally:
            self.writers.discard(writer)
            writer.close()


def signed(backend, headers, more=None):
    """Returns the headers of an answer: the request's id and the backend's signature."""
    request = headers.get("request-id", "")
    named = {"Request-Id": request, "Response-Signature": "%s.%s" % (request, backend.id)}
    named.update(more or {})
    return named


class Node:
    """One entry node: a process with the command of the deploy file; the platform starts it again when it ends."""

    def __init__(self, rig, number, zone):
        self.rig, self.name, self.zone = rig, "edge-%s-%d" % (zone, number), zone
        self.ip = "127.0.%d.%d" % (rig.net, number)
        self.ports = {}
        self.process = None
        self.own_ends = []  # Exit codes of processes that ended by themselves.
        self.memory_ends = 0
        self.peak_mb = 0.0
        self.killing = False
        self.task = None

    def write_settings(self):
        self.folder = os.path.join(self.rig.folder, self.name)
        os.makedirs(self.folder, exist_ok=True)
        uses = ("callers", "readiness", "lookups", "metrics")
        self.ports = {use: free_port([self.ip]) for use in uses}
        self.ports["peers"] = self.rig.peer_port
        listen = {use: "%s:%d" % (self.ip, port) for use, port in self.ports.items()}
        settings = {
            "name": self.name,
            "region": ZONES[self.zone],
            "domain": self.zone,
            "ip": self.ip,
            "listen": listen,
            "inner_ports": [self.rig.inner_port, self.rig.inner_port],
            "store": self.rig.store.address,
            "seeds": ["%s:%d" % (one.ip, self.rig.peer_port) for one in self.rig.nodes[:3]],
            "regions": ZONES,
            "max_descriptors": 4100,
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 58,
                "retry_window_s": 10,
                "max_shift": 0.15,
                "lookup_ttl_max_s": 5,
                "grace_s": 6,
                "config_apply_ms": 2500,
                "drain_ms": 2500,
            },
            "overload": {"memory_mb": MEMORY_MB},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"],
        }
        self.settings = os.path.join(self.folder, "settings.json")
        with open(self.settings, "w") as out:
            json.dump(settings, out)

    async def start(self):
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "LARKRACK_CONFIG": self.settings}
        self.process = await asyncio.create_subprocess_exec(PROGRAM, stdout=log, stderr=log, env=environment, cwd=ROOT)
        log.close()
        if self.task is None:
            self.task = asyncio.create_task(self._keep())

    async def _keep(self):
        while True:
            code = await self.process.wait()
            by_itself = not self.killing
            if self.rig.over:
                return
            self.rig.record.write("process of %s ended with %d%s" % (self.name, code, "" if by_itself else " (killed)"))
            if by_itself:
                self.own_ends.append(code)
            self.killing = False
            await asyncio.sleep(0.5)
            await self.start()

    def memory_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0.0

    def kill(self):
        """A kill from outside: not an end of its own."""
        self.killing = True
        self.process.send_signal(signal.SIGKILL)

    async def ready(self):
        for _ in range(200):
            try:
                status, _, _ = await fetch((self.ip, self.ports["readiness"]), "GET", "/ready", {"Host": "x"})
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError):
                pass
            await asyncio.sleep(0.05)
        return False


async def fetch(address, method, target, headers, body=None, timeout=3.0):
    """Sends one request on a connection of its own. Returns status, headers and body."""

    async def work():
        reader, writer = await asyncio.open_connection(*address, limit=2**20)
        try:
            writer.write(render("%s %s HTTP/1.1" % (method, target), headers, body))
            await writer.drain()
            start, named = await read_head(reader)
            if "content-length" in named:
                content = await reader.readexactly(int(named["content-length"]))
            else:
                content = await reader.read(-1)
            return int(start.split(" ")[1]), named, content
        finally:
            writer.close()

    return await asyncio.wait_for(work(), timeout)


class Rig:
    """A small deployment."""

    def __init__(self, case_folder, zones):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = 30 + os.getpid() % 200
        self.over = False
        self.store = Store()
        self.nodes = [Node(self, number, zone) for number, zone in enumerate(zones, 1)]
        self.backends = []

    async def start(self, routes, services):
        ips = [one.ip for one in self.nodes]
        self.peer_port, self.inner_port = free_port(ips), free_port(ips)
        await self.store.start()
        await self.put_config(7, routes, services)
        for one in self.backends:
            await one.start()
        for one in self.nodes:
            one.write_settings()
        for one in self.nodes:
            await one.start()
        for one in self.nodes:
            if not await one.ready():
                raise RuntimeError(one.name + " is not ready")
        await asyncio.sleep(2.0)  # Nodes hear of each other.

    async def put_config(self, version, routes, services):
        listed = [
            {"Name": name, "HealthPath": "/health", "MaxConns": 330, "WarmupS": 3.0, "WarmupPerS": 14.0}
            for name in services
        ]
        config = {"Version": "r%d" % version, "Routes": routes, "Services": listed, "Limits": LIMITS}
        await self.store.put("op/config", json.dumps(config).encode())

    def add_backend(self, service, zone, answer, slots=9):
        one = Backend(self.store, self.record, len(self.backends) + 1, service, zone, answer, slots)
        self.backends.append(one)
        return one

    async def end(self):
        self.over = True
        for one in self.nodes:
            if one.task:
                one.task.cancel()
            if one.process and one.process.returncode is None:
                one.process.kill()
                await one.process.wait()
        for one in self.backends:
            await one.stop()
        self.store.server.close()
        if os.environ.get("KEEP"):
            self.record.write("logs in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def watch_memory(one):
    """The platform: kills a process over MemoryMb, which starts again after a short delay."""
    while True:
        for node in one.nodes:
            used = node.memory_mb()
            node.peak_mb = max(node.peak_mb, used)
            if used > MEMORY_MB and node.process.returncode is None:
                one.record.write("%s holds %.0f MB, over MemoryMb %d" % (node.name, used, MEMORY_MB))
                node.process.kill()
                node.memory_ends += 1
                await asyncio.sleep(0.1)
        await asyncio.sleep(0.02)


def route(name, host, prefix, kind, service, timeout_ms=2000):
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "ObjectiveMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Sticky": False,
        "HomeRegions": [],
    }


def run(case, main):
    """Runs a case within 110 s. main gets a folder and returns (held, summary); raises if it could not run."""
    folder = os.path.dirname(os.path.abspath(case))
    if not os.path.exists(PROGRAM):
        print("no program: run the build of deploy/system.toml first")
        sys.exit(NOT_RUN)
    try:
        held, summary = asyncio.run(asyncio.wait_for(main(folder), 110))
    except Exception as failed:  # Whatever fails here is no verdict on the rule.
        print("could not run: %r" % failed)
        sys.exit(NOT_RUN)
    print(("held: " if held else "BROKEN: ") + summary)
    sys.exit(HELD if held else BROKEN)
