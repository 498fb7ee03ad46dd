#!/usr/bin/env python3
# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""LOST: three uploads at once, each within MaxBodyBytes, take a node over MemoryMb; its payments are lost.

The platform's stand-in ends a process that is over MemoryMb, as DEPLOY.md says, and starts it again.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import lab as labs  # noqa: E402

MEMORY_MB = 260  # MemoryMb of the site.
UPLOAD_BYTES = 38 * 1024 * 1024  # MaxBodyBytes is 67,108,864.
USUAL_UPLOADS, BURST_UPLOADS = 2, 3  # At once: 1.5 times the usual; "burst" goes up to 1.7.
CLIENTS = 12  # Clients that pay over kept connections.
CALM_S = 4.0
DEADLINE_MS = 4000
WORK_S = 0.3
RESTART_S = 1.0
NODE_ZONES = ["antw-a", "antw-a", "namr-a", "namr-a", "brus-a", "brus-a", "antw-b", "namr-b", "brus-b"]
ZONES = {
    "antw-a": "be-north",
    "antw-b": "be-north",
    "namr-a": "be-south",
    "namr-b": "be-south",
    "brus-a": "be-central",
    "brus-b": "be-central",
}


def route(name, prefix):
    return {
        "Name": name,
        "Host": "shop.example",
        "PathPrefix": prefix,
        "Kind": "non_idempotent",
        "TimeoutMs": DEADLINE_MS,
        "ObjectiveMs": 600,
        "Priority": 1,
        "Service": "storefront",
        "MaxAttempts": 2,
        "Sticky": False,
        "HomeRegions": [],
    }


CONFIG = {
    "Version": "r7",
    "Routes": [route("r-order", "/order/"), route("r-upload", "/upload/")],
    "Services": [{"Name": "storefront", "HealthPath": "/health", "MaxConns": 330, "WarmupS": 3.0, "WarmupPerS": 14.0}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


def resident_mb(process):
    try:
        with open("/proc/%d/status" % process.pid) as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Platform:
    """Ends processes that are over MemoryMb, and starts them again."""

    def __init__(self, lab):
        self.lab = lab
        self.most_mb = 0.0
        self.kills = 0

    async def run(self):
        while True:
            for node in self.lab.nodes:
                used = resident_mb(node.process)
                self.most_mb = max(self.most_mb, used)
                if used > MEMORY_MB and node.process.returncode is None:
                    self.kills += 1
                    self.lab.record.line("platform kills %s, which holds %.0f MB" % (node.name, used))
                    await node.kill()
                    self.lab.spawn(self._start_again(node))
            await asyncio.sleep(0.005)

    async def _start_again(self, node):
        await asyncio.sleep(RESTART_S)
        await node.start()


def head_of(path, request_id, length):
    return (
        "POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
        "Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (path, request_id, DEADLINE_MS, length)
    ).encode()


class Payer:
    """A client that sends one payment after the other over a kept connection."""

    def __init__(self, lab, node, number):
        self.lab, self.node, self.number = lab, node, number
        self.kept = {}  # id -> whether the connection had carried another request before

    async def run(self):
        count = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.node.callers())
            except OSError:
                await asyncio.sleep(0.2)
                continue
            first = True
            while True:
                request_id = "order-%02d-%04d" % (self.number, count)
                count += 1
                self.kept[request_id] = not first
                first = False
                self.lab.record.on_sent(request_id, "")
                try:
                    writer.write(head_of("/order/%d" % count, request_id, 300) + b"x" * 300)
                    message = await asyncio.wait_for(labs.read_answer(reader), DEADLINE_MS / 1000)
                except (OSError, asyncio.TimeoutError):
                    message = None
                self.lab.record.on_answer(request_id, None if message is None else message.status)
                if message is None or message.headers.get("connection") == "close":
                    break
                await asyncio.sleep(0.05)
            writer.close()


async def upload(lab, node, number):
    request_id = "upload-%04d" % number
    try:
        reader, writer = await asyncio.open_connection(*node.callers())
        lab.record.on_sent(request_id, "%d bytes" % UPLOAD_BYTES)
        writer.write(head_of("/upload/%d" % number, request_id, UPLOAD_BYTES))
        piece = b"x" * (256 * 1024)
        for _ in range(UPLOAD_BYTES // len(piece)):
            writer.write(piece)
            await writer.drain()
        message = await asyncio.wait_for(labs.read_answer(reader), DEADLINE_MS / 1000)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        message = None
    lab.record.on_answer(request_id, None if message is None else message.status)


async def case(lab):
    labs.ZONES.clear()
    labs.ZONES.update(ZONES)
    backends = [("storefront", zone, WORK_S, 6) for zone in ZONES for _ in range(2)]
    await lab.start(NODE_ZONES, backends, CONFIG, 6)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    platform = Platform(lab)
    lab.spawn(platform.run())
    node = lab.nodes[0]
    payers = [Payer(lab, node, number) for number in range(CLIENTS)]
    load = [lab.spawn(one.run()) for one in payers]
    await asyncio.sleep(CALM_S)
    for turn in range(4):
        count = BURST_UPLOADS if trouble and turn == 2 else USUAL_UPLOADS
        await asyncio.gather(*[upload(lab, node, 10 * turn + one) for one in range(count)])
        await asyncio.sleep(0.5)
    for one in load:
        one.cancel()
    lab.record.line("largest memory of a node: %.0f MB, killed %d times" % (platform.most_mb, platform.kills))
    lost = [
        one
        for payer in payers
        for one, kept in payer.kept.items()
        if kept and one in lab.record.answers and lab.record.answers[one][0] is None and one in lab.record.runs
    ]
    # The rule allows three.
    return ["LOST: %s ran and got no answer" % one for one in lost] if len(lost) > 3 else []


if __name__ == "__main__":
    sys.exit(labs.play(case, FOLDER))
