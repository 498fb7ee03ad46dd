# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""A node is stopped while a few long lookups run: whether it waits for their backend servers or breaks them off."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "rig-2"))

import rig as stand_ins  # noqa: E402
import wire  # noqa: E402

MEMORY_MB = 260
DEADLINE_S = 3.0
DEADLINE_MARGIN_S = 0.3  # An own answer later than that before the deadline is excused here.
LOOKUP_S = 0.2
REPORT_S = 1.9
LOOKUP_CLIENTS = 6  # By node.
LOOKUP_GAP_S = 0.1
LOOKUP_TTL_S = 1.5  # For which clients go by the directory's answer from before the stop.
REPORTS = 6  # As many as the two backend servers of their service have slots.
REPORTS_AT_S = 1.2  # From SIGTERM; their clients go by an answer of the directory from before it.
GRACE_S = 6.0


class ReportBackend(stand_ins.Backend):
    """Runs short lookups and long reports; drops a request when its connection closes."""

    def __init__(self, rig, service, zone, number):
        super().__init__(rig, service, zone, number)
        self.readers = {}

    async def _connection(self, reader, writer):
        self.readers[writer] = reader
        await super()._connection(reader, writer)
        del self.readers[writer]

    async def answer(self, request, headers, writer):
        name = request.headers["request-id"]
        if self.service != "wuno96b":
            return await super().answer(request, headers, writer)
        end = time.monotonic() + REPORT_S
        while time.monotonic() < end:
            await asyncio.sleep(0.02)
            if writer.transport.is_closing() or self.readers[writer].at_eof():
                self.rig.record.write("%s: %s is broken off at work" % (self.id, name))
                self.rig.broken_off.add(name)
                return False
        self.rig.record.write("%s: %s is done" % (self.id, name))
        writer.write(wire.response(200, {**headers, **self.signature(request)}, b"report"))
        await writer.drain()
        return True


async def lookups(rig, node):
    """Sends short lookups to a node on a kept connection, until the directory's answer says otherwise."""
    reader = writer = None
    while not rig.over and not (node is rig.nodes[0] and time.monotonic() > rig.left_at):
        name = rig.request_id()
        head = {"Host": stand_ins.HOST, "Request-Id": name, "Timeout-Ms": 3000}
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(node.ip, rig.ports[0])
            writer.write(wire.render("GET /lohu930/2f HTTP/1.1", head).replace(b"Content-Length: 0\r\n", b""))
            answer = await asyncio.wait_for(wire.read_message(reader), 3.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            if writer is not None:
                writer.close()
            writer = None
        await asyncio.sleep(LOOKUP_GAP_S)
    if writer is not None:
        writer.close()


async def report(rig, node):
    """Sends one long lookup.

    Returns its id, its status, whether its backend server gave that, and whether it came well before the deadline.
    """
    begin = time.monotonic()
    name = rig.request_id()
    head = {"Host": stand_ins.HOST, "Request-Id": name, "Timeout-Ms": int(DEADLINE_S * 1000)}
    reader, writer = await asyncio.open_connection(node.ip, rig.ports[0])
    rig.record.write("sent report %s to %s" % (name, node.name))
    writer.write(wire.render("GET /pule252/2f HTTP/1.1", head).replace(b"Content-Length: 0\r\n", b""))
    try:
        answer = await asyncio.wait_for(wire.read_message(reader), DEADLINE_S + 0.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer = None
    writer.close()
    is_signed = answer is not None and "response-signature" in answer.headers
    status = 0 if answer is None else answer.status
    rig.record.write("answered report %s with %d%s" % (name, status, " of its backend server" if is_signed else ""))
    return name, status, is_signed, time.monotonic() - begin < DEADLINE_S - DEADLINE_MARGIN_S


async def case(rig):
    rig.broken_off = set()
    rig.work_s = LOOKUP_S
    rig.left_at = time.monotonic() + 1000
    backends = [(ReportBackend, "huvo11a", "namr-a") for _ in range(8)]
    backends += [(ReportBackend, "wuno96b", "namr-a") for _ in range(2)]
    routes = [
        stand_ins.route("r-ji9n73h", "/lohu930/", "idempotent", "huvo11a", 3000, 400),
        stand_ins.route("r-c8d1w03", "/pule252/", "idempotent", "wuno96b", 3000, 400),
    ]
    await rig.start(("antw-a", "antw-b", "namr-a"), MEMORY_MB, backends, routes)
    for node in rig.nodes:
        for _ in range(LOOKUP_CLIENTS):
            rig.spawn(lookups(rig, node))
    await asyncio.sleep(5)
    node = rig.nodes[0]
    if stand_ins.trouble():
        rig.record.write("SIGTERM to %s" % node.name)
        rig.left_at = time.monotonic() + LOOKUP_TTL_S
        node.terminate(GRACE_S)
    await asyncio.sleep(REPORTS_AT_S)
    answers = await asyncio.gather(*[report(rig, node) for _ in range(REPORTS)])
    return [
        "LOST: report %s was broken off at work and got %d of the node" % (name, status)
        for name, status, is_signed, is_early in answers
        if name in rig.broken_off and is_early and not is_signed
    ]


stand_ins.main(case, HERE)
