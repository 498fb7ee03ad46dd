# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""Faulty backend servers hand out successes without a signature: whether a node passes them on to clients."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "rig-2"))

import rig as stand_ins  # noqa: E402
import wire  # noqa: E402

MEMORY_MB = 260
DEADLINE_S = 3.0
CLIENTS = 8
REQUESTS = 200  # By client.
SPOILT_FRACTION = 0.02  # Of the answers of each second backend server.
WORK_S = 0.01


class LookupBackend(stand_ins.Backend):
    """A backend server whose answers are now and then no answers: a page without the signature, and another body."""

    def __init__(self, rig, service, zone, number):
        super().__init__(rig, service, zone, number)
        self.is_faulty = stand_ins.trouble() and number % 2 == 0

    async def answer(self, request, headers, writer):
        if not self.is_faulty or self.rig.random.random() >= SPOILT_FRACTION:
            return await super().answer(request, headers, writer)
        await asyncio.sleep(self.rig.work_s)
        self.rig.record.write("%s answers %s without a signature" % (self.id, request.headers["request-id"]))
        writer.write(wire.response(200, headers, b"<html>it works</html>"))
        await writer.drain()
        return True


class Client:
    """Sends lookups and orders by turns on a kept connection."""

    def __init__(self, rig, node):
        self.rig = rig
        self.node = node
        self.unsigned = []

    async def run(self):
        reader, writer = await asyncio.open_connection(self.node.ip, self.rig.ports[0])
        for number in range(REQUESTS):
            name = self.rig.request_id()
            head = {"Host": stand_ins.HOST, "Request-Id": name, "Timeout-Ms": int(DEADLINE_S * 1000)}
            start, body = ("GET /lohu930/2f", b"") if number % 2 else ("POST /pufi791/2f", b"order")
            self.rig.record.write("sent %s: %s" % (name, start))
            writer.write(wire.render(start + " HTTP/1.1", head, body))
            answer = await asyncio.wait_for(wire.read_message(reader), DEADLINE_S + 0.5)
            if answer is None:
                raise OSError("closed without an answer")
            is_signed = "response-signature" in answer.headers
            self.rig.record.write(
                "answered %s with %d%s" % (name, answer.status, "" if is_signed else " without a signature")
            )
            if 200 <= answer.status < 300 and not is_signed:
                self.unsigned.append((name, start.split(" ")[0], answer.body))
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
                reader, writer = await asyncio.open_connection(self.node.ip, self.rig.ports[0])
        writer.close()


async def case(rig):
    rig.work_s = WORK_S
    zones = ("antw-a", "antw-b")
    backends = [(LookupBackend, "huvo11a", zones[number // 2 % 2]) for number in range(8)]
    routes = [
        stand_ins.route("r-h2b9wu3", "/pufi791/", "non_idempotent", "huvo11a", 4000, 600),
        stand_ins.route("r-ji9n73h", "/lohu930/", "idempotent", "huvo11a", 3000, 400),
    ]
    await rig.start(zones, MEMORY_MB, backends, routes)
    clients = [Client(rig, rig.nodes[number % len(rig.nodes)]) for number in range(CLIENTS)]
    await asyncio.gather(*[client.run() for client in clients])
    return [
        "MIXED: %s %s got a success without a signature, with the body %r" % (method, name, body)
        for client in clients
        for name, method, body in client.unsigned
    ]


stand_ins.main(case, HERE)
