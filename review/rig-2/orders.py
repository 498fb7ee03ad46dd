# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""Small orders beside a disruption: each client has one kept connection, and counts the orders that it loses."""
import asyncio

import rig as stand_ins
import wire

DEADLINE_S = 4.0
CLIENTS_BY_NODE = 6  # 6.7 orders a second; a machine of the site gets 5.1, and 8.6 in a burst of 1.7.
MOST_LOST = 3  # Requests that a machine may lose.
MOST_ENDS = 3  # Ends of a process, on two machines, that make a fault.


class OrderClient:
    """Sends small orders one after the other on a kept connection."""

    def __init__(self, rig, node):
        self.rig = rig
        self.node = node
        self.lost = []  # Ids of orders from a kept connection that a backend server got and nobody answered.
        self.answered = 0

    async def run(self):
        while not self.rig.over:
            try:
                await self._connection()
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)

    async def _connection(self):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(self.node.ip, self.rig.ports[0]), 1)
        kept = False
        try:
            while not self.rig.over:
                name = self.rig.request_id()
                head = {"Host": stand_ins.HOST, "Request-Id": name, "Timeout-Ms": int(DEADLINE_S * 1000)}
                self.rig.record.write(
                    "sent %s to %s%s" % (name, self.node.name, " on a kept connection" if kept else "")
                )
                writer.write(wire.render("POST /pufi791/2f HTTP/1.1", head, b"order"))
                answer = None
                try:
                    answer = await asyncio.wait_for(wire.read_message(reader), DEADLINE_S + 0.5)
                except (OSError, asyncio.IncompleteReadError):
                    pass
                if answer is None:
                    if self.rig.over:
                        return
                    self.rig.record.write("closed without an answer: %s" % name)
                    if kept and name in self.rig.ran:
                        self.lost.append(name)
                    return
                self.answered += 1
                self.rig.record.write("answered %s with %d" % (name, answer.status))
                kept = answer.headers.get("connection", "").lower() != "close"
                if not kept:
                    return
                await asyncio.sleep(0.05)
        finally:
            writer.close()


def start(rig):
    """Starts the clients, and the platform's watch over the memory of all nodes. Returns the clients."""
    clients = [OrderClient(rig, node) for node in rig.nodes for _ in range(CLIENTS_BY_NODE)]
    for node in rig.nodes:
        rig.spawn(node.watch_memory())
    for client in clients:
        rig.spawn(client.run())
    return clients


def breaches(rig, clients):
    """Returns the breaches of LOST, and of Fault, and records what was seen at each node."""
    found = []
    for node in rig.nodes:
        lost = [name for client in clients if client.node is node for name in client.lost]
        answered = sum(client.answered for client in clients if client.node is node)
        rig.record.write(
            "%s: peak %.0f MB of %d, killed %d times, %d orders answered, lost %s"
            % (node.name, node.peak_mb, node.memory_mb, node.kills, answered, " ".join(lost) or "none")
        )
        if len(lost) > MOST_LOST:
            found.append("LOST: %s lost %d orders from kept connections" % (node.name, len(lost)))
    if sum(1 for node in rig.nodes if node.kills >= MOST_ENDS) >= 2:
        found.append("Fault: on two of %d machines the process ended by itself three times" % len(rig.nodes))
    return found
