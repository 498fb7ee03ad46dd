# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""A small deployment on loopback for the cases of the review.

Starts entry nodes as processes with the command of deploy/system.toml, one store (the stand-in of the soak) and backend
servers (the stand-in below), and keeps the record of what was sent, answered and run.
"""
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))

import kv_store  # noqa: E402
import proxy  # noqa: E402
import wire  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "bin", "larkrack-edge")  # "run" of deploy/system.toml.
NOT_RUN = (408, 421, 429, 503)  # Statuses that promise that the request has not run and never will.
# Names of the ports of a node, in the order in which they follow the first one.
LISTENERS = ("callers", "readiness", "lookups", "peers", "metrics", "inner")
BACKEND_PORT, STORE_PORT = 20, 21  # Further ports, counted from the first one.
READY_S = 20.0  # Maximum time for all nodes to become ready.
HEARTBEAT_S = 1.5

ZONES = {
    "pamplona-a": "navarra",
    "huesca-a": "aragon-norte",
    "haro-a": "rioja-alta",
    "estella-b": "navarra",
    "jaca-b": "aragon-norte",
    "logrono-b": "rioja-alta",
}


class CannotRun(Exception):
    """The case could not run; its script ends with 2."""


class Record:
    """Lines of record.txt, and the requests by their id."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()
        self.sent = {}  # id -> what the client sent, and when
        self.answers = {}  # id -> (status or None, seconds since the start)
        self.runs = {}  # id -> starts of work at backend servers, seconds since the start

    def now(self):
        return time.monotonic() - self.begin

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def on_sent(self, request_id, text):
        self.sent[request_id] = self.now()
        self.line("client sent   %s %s" % (request_id, text))

    def on_answer(self, request_id, status, text=""):
        self.answers[request_id] = (status, self.now())
        self.line("client got    %s %s %s" % (request_id, "no answer" if status is None else status, text))

    def on_run(self, request_id, text):
        self.runs.setdefault(request_id, []).append(self.now())
        self.line("backend runs  %s %s" % (request_id, text))


class Backend:
    """A sound backend server by PROTOCOL.md, with some slots and a queue."""

    def __init__(self, lab, service, zone, address, work_s, slots):
        self.lab, self.service, self.zone, self.address = lab, service, zone, address
        self.work_s, self.slots = work_s, slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.busy = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.writers = set()
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self._connection, *self.address, reuse_address=True)
        await self._register()
        self.tasks.append(self.lab.spawn(self._heartbeat()))

    def crash(self):
        """Ends without notice: all connections are reset, and new ones are refused. Its entry lapses."""
        self.lab.record.line("backend dies  %s with %d requests" % (self.id, self.busy))
        self.server.close()
        for writer in list(self.writers):
            proxy.reset(writer)
        for task in self.tasks:
            task.cancel()
        self.lab.spawn(self._lapse())

    async def _lapse(self):
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.lab.store.remove("servers/" + self.id)

    async def _register(self):
        entry = {
            "Address": "%s:%d" % self.address,
            "Info": {"Service": self.service, "Zone": self.zone, "Version": "v1", "Slots": self.slots},
            "Status": {"State": "ready", "CallSeq": 1, "WarmupLeftMs": 0},
        }
        await self.lab.store.put("servers/" + self.id, json.dumps(entry))

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if "servers/" + self.id not in self.lab.store.items:
                await self._register()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                writer.write(await self._respond(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _respond(self, request):
        if request.target == "/health":
            return wire.response(200, {"Instance-Id": self.id, "Server-Load": self._load()})
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Server-Load": self._load()}
        if request.headers.get("target-instance", self.id) != self.id:
            return wire.response(421, headers)
        if not request_id:
            return wire.response(400, {**headers, "Not-Executed": "1"})
        if self.busy >= 4 * self.slots:
            return wire.response(503, {**headers, "Not-Executed": "1"})
        end = time.monotonic() + float(request.headers.get("timeout-ms", "30000")) / 1000
        self.busy += 1
        try:
            async with self.free:
                if time.monotonic() >= end:
                    return wire.response(503, {**headers, "Not-Executed": "1"})
                self.lab.record.on_run(
                    request_id,
                    "at %s, Timeout-Ms %s, %d bytes of body"
                    % (self.id, request.headers.get("timeout-ms"), len(request.body)),
                )
                headers["Response-Signature"] = "%s.%s" % (request_id, self.id)
                await asyncio.sleep(min(self.work_s, end - time.monotonic()))
                if time.monotonic() >= end:
                    return wire.response(504, headers)
        finally:
            self.busy -= 1
        return wire.response(200, headers, self.body_of(request_id))

    def body_of(self, request_id):
        return ("done %s" % request_id).encode()

    def _load(self):
        return "%d,%d,%d" % (min(self.busy, self.slots), max(0, self.busy - self.slots), self.slots)


class Node:
    """An entry node: a process of larkrack-edge with its settings file."""

    def __init__(self, lab, name, zone, ip, seeds, grace_s):
        self.lab, self.name, self.zone, self.ip = lab, name, zone, ip
        self.process = None
        self.path = os.path.join(lab.folder, name + ".json")
        where = {one: "%s:%d" % (ip, lab.port(one)) for one in LISTENERS[:5]}
        settings = {
            "name": name,
            "region": ZONES[zone],
            "domain": zone,
            "ip": ip,
            "listen": where,
            "inner_ports": [lab.port("inner"), lab.port("inner") + 9],
            "store": "%s:%d" % lab.store_address,
            "seeds": seeds,
            "regions": ZONES,
            "max_descriptors": 4100,
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 58,
                "retry_window_s": 10,
                "max_shift": 0.15,
                "lookup_ttl_max_s": 5,
                "grace_s": grace_s,
            },
            "overload": {"memory_mb": 260},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"],
        }
        with open(self.path, "w") as out:
            json.dump(settings, out)

    async def start(self):
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env={"LARKRACK_CONFIG": self.path}, stdout=log, stderr=log
        )

    def callers(self):
        return self.ip, self.lab.port("callers")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.lab.port("readiness"))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(wire.read_message(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


def free_first_port(ips):
    """Returns a port that is free with the ones that follow it, at all these addresses, for TCP and UDP."""
    for _ in range(200):
        first = random.randrange(12000, 30000, 50)
        held = []
        try:
            for ip in ips:
                for port in range(first, first + 25):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        held.append(one)
                        one.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise CannotRun("no free ports")


class Lab:
    """The deployment of one case."""

    def __init__(self, folder):
        self.case = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.net = "127.%d.%d." % (random.randrange(64, 200), random.randrange(1, 250))
        self.store = kv_store.KvStore(random.Random(1))
        self.store_ip = self.net + "250"
        self.nodes, self.backends, self.tasks = [], [], []
        self.backend_class = Backend
        self.first_port = None

    def port(self, name):
        return self.first_port + LISTENERS.index(name)

    @property
    def store_address(self):
        return self.store_ip, self.first_port + STORE_PORT

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def start(self, node_zones, backends, config, grace_s):
        """Starts all. backends: (service, zone, seconds of work, slots) each."""
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("no program at target/bin/larkrack-edge")
        node_ips = [self.net + str(1 + number) for number in range(len(node_zones))]
        backend_ips = [self.net + str(100 + number) for number in range(len(backends))]
        self.first_port = free_first_port(node_ips + backend_ips + [self.store_ip])
        await self.store.serve(*self.store_address)
        self.spawn(self.store.expire_leases())
        await self.store.put("op/config", json.dumps(config))
        for ip, (service, zone, work_s, slots) in zip(backend_ips, backends):
            one = self.backend_class(self, service, zone, (ip, self.first_port + BACKEND_PORT), work_s, slots)
            self.backends.append(one)
            await one.start()
        seeds = ["%s:%d" % (ip, self.port("peers")) for ip in node_ips[:3]]
        for number, (ip, zone) in enumerate(zip(node_ips, node_zones)):
            one = Node(self, "edge-%s-%d" % (zone, number + 1), zone, ip, seeds, grace_s)
            self.nodes.append(one)
            await one.start()
        end = time.monotonic() + READY_S
        while not all([await one.ready() for one in self.nodes]):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)  # The nodes have found each other.
        self.record.line("all nodes are ready")

    async def end(self):
        # The connections of the stand-ins end in any order now.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        running = [one for one in self.nodes if one.process is not None and one.process.returncode is None]
        for one in running:
            one.signal(signal.SIGKILL)
        for one in running:
            await one.process.wait()
        for task in self.tasks:
            task.cancel()
        self.temporary.cleanup()


async def read_answer(reader):
    """Returns the answer, or None if the connection ended before a complete one."""
    try:
        return await wire.read_message(reader)
    except (OSError, asyncio.IncompleteReadError):
        return None


def play(case, folder):
    """Runs a case, a function of a lab that returns the violations, and returns the exit status of its script."""

    async def run():
        lab = Lab(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()

        def stop():
            """At a SIGTERM the processes are ended, too; a second one changes nothing."""
            loop.remove_signal_handler(signal.SIGTERM)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            task.cancel()

        loop.add_signal_handler(signal.SIGTERM, stop)
        try:
            violations = await case(lab)
            for text in violations:
                lab.record.line("BROKEN " + text)
            lab.record.line("%d violations" % len(violations))
            print("%d violations" % len(violations))
            return 1 if violations else 0
        except (CannotRun, OSError, asyncio.CancelledError) as failed:
            lab.record.line("could not run: %r" % failed)
            print("could not run: %r" % failed)
            return 2
        finally:
            await lab.end()

    return asyncio.run(run())
