#!/usr/bin/env python3
# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""REFUSED: a request is answered with 408 while its body is still being read, and then runs all the same.

Clients send orders whose bodies take half a second to send. One of ten nodes stands still for 3.5 s meanwhile.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import lab as labs  # noqa: E402

FREEZE_S = 3.5  # node_freeze: a share of .1 for 5 s by default; for 3.5 s in the portal's site file.
DEADLINE_MS = 4000  # Deadline of "order-place" in the site file.
BODY_BYTES = 1800  # Largest request body of "order-place" in the site file.
PIECES = 6  # A body is sent in so many pieces, over a slow link.
PIECE_GAP_S = 0.1
CLIENTS = 8
WORK_S = 0.2
# Ten, so that one of them is a share of 0.1.
NODE_ZONES = ["antw-a", "antw-a", "namr-a", "namr-a", "brus-a", "brus-a", "antw-b", "namr-b", "brus-b", "antw-b"]
ZONES = {
    "antw-a": "be-north",
    "antw-b": "be-north",
    "namr-a": "be-south",
    "namr-b": "be-south",
    "brus-a": "be-central",
    "brus-b": "be-central",
}
CONFIG = {
    "Version": "r7",
    "Routes": [
        {
            "Name": "r-order",
            "Host": "shop.example",
            "PathPrefix": "/order/",
            "Kind": "non_idempotent",
            "TimeoutMs": DEADLINE_MS,
            "ObjectiveMs": 600,
            "Priority": 1,
            "Service": "storefront",
            "MaxAttempts": 2,
            "Sticky": False,
            "HomeRegions": [],
        }
    ],
    "Services": [{"Name": "storefront", "HealthPath": "/health", "MaxConns": 330, "WarmupS": 3.0, "WarmupPerS": 14.0}],
    # The limits that "fleetbench wire" shows.
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


async def order(lab, node, number):
    """Sends one order on a connection of its own. The head is sent at once, the body in pieces."""
    request_id = "order-%04d" % number
    reader, writer = await asyncio.open_connection(*node.callers())
    head = (
        "POST /order/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
        "Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (number, request_id, DEADLINE_MS, BODY_BYTES)
    )
    lab.record.on_sent(request_id, "to %s, head" % node.name)
    writer.write(head.encode())
    answer = asyncio.create_task(labs.read_answer(reader))
    piece = BODY_BYTES // PIECES
    for one in range(PIECES):
        if answer.done():
            break  # A client does not go on sending a request that was answered.
        writer.write(b"x" * piece)
        lab.record.line("client sends  %s body up to byte %d" % (request_id, (one + 1) * piece))
        await asyncio.sleep(PIECE_GAP_S)
    try:
        left = DEADLINE_MS / 1000 - (lab.record.now() - lab.record.sent[request_id])
        message = await asyncio.wait_for(answer, max(0.01, left))
        lab.record.on_answer(request_id, None if message is None else message.status)
    except asyncio.TimeoutError:
        lab.record.on_answer(request_id, None, "until its deadline")
    writer.close()


async def case(lab):
    labs.ZONES.clear()
    labs.ZONES.update(ZONES)
    backends = [("storefront", zone, WORK_S, 3) for zone in ZONES for _ in range(2)]
    await lab.start(NODE_ZONES, backends, CONFIG, 6)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    node = lab.nodes[0]
    orders = [lab.spawn(order(lab, node, number)) for number in range(CLIENTS)]
    await asyncio.sleep(PIECE_GAP_S * 1.5)
    if trouble:
        node.signal(signal.SIGSTOP)
        lab.record.line("node frozen   %s" % node.name)
        await asyncio.sleep(FREEZE_S)
        node.signal(signal.SIGCONT)
        lab.record.line("node wakes    %s" % node.name)
    await asyncio.gather(*orders)
    await asyncio.sleep(2.0)
    violations = []
    for request_id, (status, at) in sorted(lab.record.answers.items()):
        runs = lab.record.runs.get(request_id, [])
        if status in labs.NOT_RUN and runs:
            violations.append("REFUSED: %s was answered %d at %.3f and ran at %.3f" % (request_id, status, at, runs[0]))
    if not trouble and any(status != 200 for status, _ in lab.record.answers.values()):
        raise labs.CannotRun("an order was not served without the disruption")
    return violations


if __name__ == "__main__":
    sys.exit(labs.play(case, FOLDER))
