#!/usr/bin/env python3
# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""LOST: a planned stop cuts payments that the node took more than 3 s after the SIGTERM.

One of nine nodes gets a SIGTERM. Clients whose look-up still names it send payments to it until it stops accepting.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import lab as labs  # noqa: E402

GRACE_S = 10.0  # GraceS of the site.
DEADLINE_MS = 15000  # Deadline of "bill-payment" in the site file.
ROUTE_TIMEOUT_MS = 8000  # "timeout_ms" of "bill-payment" in the site file.
WORK_S = 5.8  # "work_ms" of "bill-payment" has a mean of 2,920 and a maximum of 8,760; cold servers take twice as long.
GAP_S, PAYMENTS = 0.2, 22  # Sent from the SIGTERM on, the last one 4.2 s after it.
EXCUSED_S = 3.0  # LOST excuses payments that were sent no later than this after the SIGTERM.
NODE_ZONES = list(labs.ZONES) + ["pamplona-a", "huesca-a", "haro-a"]
CONFIG = {
    "Version": "r7",
    "Routes": [
        {
            "Name": "r-payment",
            "Host": "portal.example",
            "PathPrefix": "/pay/",
            "Kind": "non_idempotent",
            "TimeoutMs": ROUTE_TIMEOUT_MS,
            "ObjectiveMs": 2000,
            "Priority": 1,
            "Service": "cuenta",
            "MaxAttempts": 2,
            "Sticky": False,
            "HomeRegions": [],
        }
    ],
    "Services": [{"Name": "cuenta", "HealthPath": "/health", "MaxConns": 330, "WarmupS": 3.0, "WarmupPerS": 14.0}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


async def pay(lab, node, number):
    """Sends one payment on a connection of its own."""
    request_id = "payment-%04d" % number
    try:
        reader, writer = await asyncio.open_connection(*node.callers())
    except OSError:
        lab.record.line("client        %s: the node does not accept connections" % request_id)
        return
    body = b"x" * 300
    head = (
        "POST /pay/%d HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: %s\r\n"
        "Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (number, request_id, DEADLINE_MS, len(body))
    )
    writer.write(head.encode() + body)
    lab.record.on_sent(request_id, "to %s, whole" % node.name)
    try:
        message = await asyncio.wait_for(labs.read_answer(reader), DEADLINE_MS / 1000)
        lab.record.on_answer(request_id, None if message is None else message.status)
    except asyncio.TimeoutError:
        lab.record.on_answer(request_id, None, "until its deadline")
    writer.close()


async def watch_end(lab, node):
    await node.process.wait()
    lab.record.line("node ended    %s by itself" % node.name)


async def case(lab):
    backends = [("cuenta", zone, WORK_S, 9) for zone in labs.ZONES for _ in range(2)]
    await lab.start(NODE_ZONES, backends, CONFIG, GRACE_S)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    node = lab.nodes[0]
    lab.spawn(watch_end(lab, node))
    stopped_at = lab.record.now()
    if trouble:
        node.signal(signal.SIGTERM)
        lab.record.line("SIGTERM to    %s" % node.name)
    payments = []
    for number in range(PAYMENTS):
        payments.append(lab.spawn(pay(lab, node, number)))
        await asyncio.sleep(GAP_S)
    if trouble:
        await asyncio.sleep(max(0.0, stopped_at + GRACE_S - lab.record.now()))
        node.signal(signal.SIGKILL)  # As the platform does; no effect on a process that has ended.
    await asyncio.gather(*payments)
    violations = []
    for request_id, (status, at) in sorted(lab.record.answers.items()):
        runs = lab.record.runs.get(request_id, [])
        sent = lab.record.sent[request_id]
        excused = (
            sent <= stopped_at + EXCUSED_S
            or at >= sent + ROUTE_TIMEOUT_MS / 1000
            or at > stopped_at + GRACE_S + 1.0  # The planned work lasts until 1 s after GraceS.
        )
        if status is None and runs and not excused:
            violations.append(
                "LOST: %s was sent %.2f s after the SIGTERM, passed on at once and cut after %.2f s"
                % (request_id, sent - stopped_at, at - sent)
            )
    if not trouble and any(status != 200 for status, _ in lab.record.answers.values()):
        raise labs.CannotRun("a payment was not served without the disruption")
    return violations


if __name__ == "__main__":
    sys.exit(labs.play(case, FOLDER))
