# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""Stand-ins for the cases 4 to 8: platform, store, backend servers and clients, on loopback addresses.

The platform starts the entry nodes with the command of the deploy file, with settings as its template fills them in,
and starts a process again that ended or was killed. The store is the project's own stand-in of platform/soak.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))

import kv_store  # noqa: E402
import wire  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "bin", "larkrack-edge")
ZONES = {"antw-a": "be-north", "antw-b": "be-north", "namr-a": "be-south", "brus-a": "be-central"}
HOST = "ficu95.example"
HEARTBEAT_S = 1.5
RESTART_S = 0.5  # From the end of a process to its next start.
SLOTS = 3
QUEUE = 9


def trouble():
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(ip, count):
    """Returns that many ports that are free for TCP and UDP at an address."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind((ip, 0))
        try:
            udp.bind((ip, tcp.getsockname()[1]))
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for one in held:
        one.close()
    return ports


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since its start."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.out.write("%8.3f %s\n" % (self.now(), text))
        self.out.flush()


class Backend:
    """A sound backend server; a case overrides answer() for another behaviour."""

    def __init__(self, rig, service, zone, number):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.ip = "127.77.%d.1" % number
        self.id = "i-%08x" % rig.random.getrandbits(32)
        self.busy = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = set()  # Ids of the requests at work.

    async def start(self):
        self.server = await asyncio.start_server(self._connection, self.ip, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register()

    async def register(self):
        entry = {
            "Address": "%s:%d" % (self.ip, self.port),
            "Info": {"Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": SLOTS},
            "Status": {"State": "ready", "CallSeq": 1, "WarmupLeftMs": 0},
        }
        await self.rig.store.put("servers/" + self.id, json.dumps(entry))

    async def _connection(self, reader, writer):
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None or not await self._serve(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve(self, request, writer):
        """Returns whether the connection stays open."""
        name = request.headers.get("request-id", "")
        headers = {
            "Request-Id": name,
            "Server-Load": "%d,%d,%d" % (min(self.busy, SLOTS), max(0, self.busy - SLOTS), SLOTS),
        }
        if request.headers.get("target-instance", self.id) != self.id:
            writer.write(wire.response(421, headers))
            return True
        if self.busy >= SLOTS + QUEUE:
            writer.write(wire.response(503, {**headers, "Not-Executed": "1"}))
            return True
        self.busy += 1
        try:
            async with self.slots:
                self.rig.record.write("ran %s %s at %s" % (name, request.target, self.id))
                self.running.add(name)
                return await self.answer(request, headers, writer)
        finally:
            self.running.discard(name)
            self.busy -= 1

    def signature(self, request):
        return {"Response-Signature": "%s.%s" % (request.headers.get("request-id", ""), self.id)}

    async def answer(self, request, headers, writer):
        """Runs a request and answers it. Returns whether the connection stays open."""
        await asyncio.sleep(self.rig.work_s)
        writer.write(wire.response(200, {**headers, **self.signature(request)}, b"done"))
        await writer.drain()
        return True


class Node:
    """An entry node: its settings, and its process, which the platform keeps running."""

    def __init__(self, rig, name, zone, ip, memory_mb):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.ip = ip
        self.memory_mb = memory_mb
        self.process = None
        self.kills = 0  # By the platform, for memory.
        self.peak_mb = 0.0

    def write_settings(self):
        ports = self.rig.ports
        settings = {
            "name": self.name,
            "region": ZONES[self.zone],
            "domain": self.zone,
            "ip": self.ip,
            "listen": {
                "callers": "%s:%d" % (self.ip, ports[0]),
                "readiness": "%s:%d" % (self.ip, ports[1]),
                "lookups": "%s:%d" % (self.ip, ports[2]),
                "peers": "%s:%d" % (self.ip, ports[3]),
                "metrics": "%s:%d" % (self.ip, ports[4]),
            },
            "inner_ports": [ports[5], ports[5] + 15],
            "store": "%s:%d" % self.rig.store_address,
            "seeds": ["%s:%d" % (one.ip, ports[3]) for one in self.rig.nodes[:3]],
            "regions": ZONES,
            "max_descriptors": 4100,
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 58,
                "retry_window_s": 10,
                "max_shift": 0.15,
                "lookup_ttl_max_s": 5,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "drain_ms": 2000,
            },
            "overload": {"memory_mb": self.memory_mb},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"],
        }
        path = os.path.join(self.rig.folder, self.name + ".json")
        with open(path, "w") as out:
            json.dump(settings, out)
        return path

    async def run(self):
        """Starts the process, and again whenever it has ended."""
        path = self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LARKRACK_CONFIG"] = path
        with open(os.path.join(self.rig.folder, self.name + ".log"), "ab") as log:
            while not self.rig.over:
                self.process = await asyncio.create_subprocess_exec(
                    PROGRAM, stdout=log, stderr=log, env=environment, cwd=ROOT
                )
                if self.rig.over:
                    self.kill()
                code = await self.process.wait()
                if not self.rig.over:
                    self.rig.record.write("%s ended with %d" % (self.name, code))
                await asyncio.sleep(RESTART_S)

    async def watch_memory(self):
        """Kills the process once its memory is over the limit, as the platform does."""
        while not self.rig.over:
            await asyncio.sleep(0.005)
            if not self.running():
                continue
            used_mb = resident_mb(self.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.kills += 1
                self.rig.record.write("%s uses %.0f MB of %d: killed" % (self.name, used_mb, self.memory_mb))
                self.kill()
                await self.process.wait()

    def running(self):
        return self.process is not None and self.process.returncode is None

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)

    def terminate(self, grace_s):
        """Stops the process as the platform does: SIGTERM, and SIGKILL when the time of grace is over."""
        self.process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(grace_s, kill_process, self.process)


def kill_process(process):
    if process.returncode is None:
        process.send_signal(signal.SIGKILL)


def resident_mb(pid):
    """Returns the resident memory of a process."""
    try:
        with open("/proc/%d/statm" % pid) as page:
            return int(page.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576
    except (OSError, IndexError):
        return 0.0


class Rig:
    """The world of one run of a case."""

    def __init__(self, folder, seed=1):
        self.random = random.Random(seed)
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp()
        self.store = kv_store.KvStore(self.random)
        self.nodes = []
        self.backends = []
        self.runs = []
        self.tasks = []
        self.over = False
        self.work_s = 0.1
        self.next_id = 0

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    async def start(self, node_zones, memory_mb, backends, routes):
        """Starts everything, and returns once all nodes are ready. `backends` holds class, service and zone of each."""
        self.ports = free_ports("127.76.1.1", 6)
        listener = await self.store.serve("127.78.0.1", 0)
        self.store_address = listener.sockets[0].getsockname()
        await self.put_config(routes, sorted({service for _, service, _ in backends}))
        for number, (kind, service, zone) in enumerate(backends, 1):
            self.backends.append(kind(self, service, zone, number))
            await self.backends[-1].start()
        for number, zone in enumerate(node_zones, 1):
            self.nodes.append(Node(self, "edge-%s-%d" % (zone, number), zone, "127.76.%d.1" % number, memory_mb))
        self.runs = [self.spawn(one.run()) for one in self.nodes]
        self.spawn(self.store.expire_leases())
        for one in self.nodes:
            await self.wait_ready(one)
        await asyncio.sleep(3)
        self.record.write("ready")

    async def put_config(self, routes, services, version=7):
        await self.store.put(
            "op/config",
            json.dumps(
                {
                    "Version": "r%d" % version,
                    "Routes": routes,
                    "Services": [
                        {
                            "Name": name,
                            "HealthPath": "/health",
                            "MaxConns": 330,
                            "Protocol": "h1",
                            "Tls": False,
                            "WarmupS": 3.0,
                            "WarmupPerS": 3.5,
                        }
                        for name in services
                    ],
                    "Limits": {
                        "MaxHeaderBytes": 16384,
                        "MaxBodyBytes": 67108864,
                        "HeaderTimeoutMs": 3000,
                        "IdleTimeoutMs": 15000,
                    },
                }
            ),
        )

    async def wait_ready(self, node):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(node.ip, self.ports[1])
                writer.write(wire.render("GET /ready HTTP/1.1", {"Host": "x"}))
                answer = await asyncio.wait_for(wire.read_message(reader), 1)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("%s is not ready" % node.name)

    def request_id(self):
        self.next_id += 1
        return "%08x%08x" % (self.random.getrandbits(32), self.next_id)

    async def end(self):
        self.over = True
        for one in self.nodes:
            one.kill()
        await asyncio.gather(*self.runs)  # Each ends with its process, also with one that is just being started.
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, path, kind, service, timeout_ms, objective_ms, attempts=2):
    """Returns one route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": path,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "ObjectiveMs": objective_ms,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": attempts,
        "Sticky": False,
        "HomeRegions": [],
    }


def main(case, folder):
    """Runs a case, a coroutine that gets the rig and returns the breaches of its rule as a list of texts.

    Ends the program with 1 if there are breaches, 0 if the rule held, and 2 if the case could not run.
    """
    if not os.path.exists(PROGRAM):
        print("no program: run the build of deploy/system.toml first")
        sys.exit(2)

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # Tasks that end with the rig.
        rig = Rig(folder)
        try:
            return await asyncio.wait_for(case(rig), 110)
        finally:
            await rig.end()

    try:
        breaches = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as failed:  # Whatever it was, the case did not run.
        print("could not run: %r" % failed)
        sys.exit(2)
    for text in breaches:
        print(text)
    print("%d breaches" % len(breaches))
    sys.exit(1 if breaches else 0)
