#!/usr/bin/env python3
# Copyright 2026 the larkrack developers. All rights reserved.
# License: BSD 2-Clause, see LICENSE.
"""Pins the usage texts, exit codes, outputs and requests of larkrackd, larkrack, larkrack-trace and larkrack-check.

Runs the programs of a build (argument: the folder with the programs, default build/bin) against a stand-in of the
operators' listener on the loopback address, and compares the results with programs_daemon.expected, which was
recorded from a run. Exits with 0 if everything is the same, otherwise with 1.
"""

import http.server
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import urllib.request

HERE = pathlib.Path(__file__).resolve().parent
STATUS = {
    "node": "east-1",
    "revision": 7,
    "degraded": ["platform_down"],
    "entry_vms": [
        {"name": "east-1", "domain": "east-a", "state": "alive", "revision": 7, "lags": False},
        {"name": "west-1", "domain": "west-a", "state": "suspected", "revision": 6, "lags": True},
    ],
    "rooms": [{"region": "east", "domain": "east-a", "service": "shop", "slots": 3, "usable": 2, "running": 1}],
    "shifts": [
        {
            "service": "shop",
            "state": "waiting",
            "waits_for": "headroom",
            "shares": {"east": 0.4, "west": 0.6},
            "goal": {"east": 0.25, "west": 0.75},
            "in_force": {"east": 0.41, "west": 0.59},
        }
    ],
}
EXPLAIN = {
    "steps": [
        {"rule": "client_block", "result": "east-a"},
        {"rule": "home_region", "result": "east"},
        {"rule": "mix", "parts": {"east": 0.4, "west": 0.6}, "point": 0.125, "result": "east"},
    ],
    "entry_vms": [{"entry_vm": "east-1", "domain": "east-a", "weight": 0.5, "running": 1, "usable": 2}],
}
STEERING = {"kind": "steering", "name": "shop", "revision": 5, "spec": {"shares": {"east": 1.0}, "cap": 0.1}}
ITEMS = {
    "revision": 7,
    "items": [
        {"kind": "region", "name": "east", "revision": 3, "spec": {"max_share": 0.9}},
        {"kind": "region", "name": "west", "revision": 4, "spec": {}},
    ],
}
ACCEPTED = (200, {"revision": 8})
CONFLICT = (
    409,
    {
        "error": "conflict",
        "message": "changed by somebody else; read it again",
        "resource": "region/east",
        "resource_revision": 6,
        "revision": 7,
    },
)
INVALID = (
    422,
    {
        "error": "invalid",
        "message": "nothing was changed",
        "revision": 7,
        "mistakes": [{"path": "/region/east/spec/max_share", "value": "9", "allowed": "at most 1"}],
    },
)
UNSURE = (504, {"error": "unsure", "message": "the platform stopped answering", "revision": 7})
DOWN = (503, {"error": "platform_down", "message": "the platform does not answer; nothing was changed"})
RESOURCES = [
    {"kind": "region", "name": "east", "spec": {"max_share": 0.8}},
    {"kind": "region", "name": "north", "spec": {}},
    {"kind": "region", "name": "west", "spec": {}},
]
SETTINGS = {
    "name": "east-1",
    "region": "east",
    "domain": "east-a",
    "secret": "a secret of sixteen",
    "operator_token": "token of operators",
}
LOG = [
    {"t_us": 1000000, "node": "east-1", "event": 1601, "name": "backend_unreachable", "backend": "shop-1"},
    {"t_us": 1100000, "node": "east-1", "event": 1601, "name": "backend_unreachable", "backend": "shop-9"},
    {"t_us": 1200000, "node": "west-1", "event": 1102, "name": "platform_down"},
    {
        "t_us": 1500000,
        "node": "east-1",
        "event": 1902,
        "name": "attempt_failed",
        "id": "r-1",
        "backend": "shop-1",
        "why": "cut",
        "status": 502,
    },
    {
        "t_us": 1600000,
        "node": "east-1",
        "event": 1901,
        "name": "request_ended",
        "id": "r-1",
        "outcome": "unknown",
        "reason": "lost_answer",
        "service": "shop",
        "ms": 250,
    },
    {
        "t_us": 1700000,
        "node": "east-1",
        "event": 1901,
        "name": "request_ended",
        "id": "r-2",
        "outcome": "served",
        "reason": "none",
        "service": "shop",
        "ms": 5,
    },
    {
        "t_us": 1800000,
        "node": "east-1",
        "event": 1901,
        "name": "request_ended",
        "id": "r-3",
        "outcome": "not_run",
        "reason": "no_headroom",
        "service": "shop",
        "ms": 5,
    },
]
DEPLOYMENT = {
    "name": "small",
    "token": "token",
    "platform": "127.0.0.1:1",
    "backend_control": "127.0.0.1:2",
    "entry_vms": [
        {"name": "east-1", "domain": "east-a", "region": "east", "callers": "127.0.0.1:3", "operators": "127.0.0.1:4"}
    ],
    "regions": {"east": {"callers": "10.1", "domains": ["east-a"]}},
    "services": {"shop": {"backends": 1, "slots": 3}},
    "domain_of_backend": {"shop-1": "east-a"},
}
RUN = {"type": "run", "backend": "shop-1", "id": "r1", "key": "k1", "start": 100, "end": 1100, "running": 1, "slots": 3}
REQUEST = {
    "type": "request",
    "id": "r1",
    "key": "k1",
    "service": "shop",
    "t0": 50,
    "t1": 5050,
    "outcome": "served",
    "whole": True,
    "own": True,
    "sent": True,
}

# Name of a case, arguments of larkrack, responses of the fake listener in their order.
OPERATOR_CASES = [
    ("apply accepted", ["apply", "-f", "resources.json"], [ACCEPTED]),
    ("apply from standard input", ["apply", "-f", "-"], [ACCEPTED]),
    ("apply of a folder", ["apply", "-f", "folder"], [ACCEPTED]),
    ("apply dry run as JSON", ["apply", "-f", "resources.json", "--dry_run", "-o", "json"], [ACCEPTED]),
    ("apply dry run", ["apply", "-f", "resources.json", "--dry_run"], [ACCEPTED]),
    ("apply conflict", ["apply", "-f", "resources.json"], [CONFLICT]),
    ("apply invalid", ["apply", "-f", "resources.json"], [INVALID]),
    ("apply unsure", ["apply", "-f", "resources.json"], [UNSURE]),
    ("apply refused", ["apply", "-f", "resources.json"], [DOWN]),
    ("apply of no file", ["apply", "-f", "missing.json"], []),
    ("apply of no JSON", ["apply", "-f", "bad.json"], []),
    ("diff", ["diff", "-f", "resources.json"], [(200, ITEMS)]),
    ("get kind", ["get", "region"], [(200, ITEMS)]),
    ("get kind as JSON", ["get", "region", "-o", "json"], [(200, ITEMS)]),
    ("get one", ["get", "steering", "shop"], [(200, STEERING)]),
    ("get unknown", ["get", "region", "none"], [(404, {"error": "not_found", "message": "no such resource"})]),
    ("delete", ["delete", "region", "west"], [ACCEPTED]),
    ("delete of a revision", ["delete", "region", "west", "--revision", "4", "--dry_run"], [ACCEPTED]),
    ("shift", ["shift", "shop", "east=0.25", "west=0.75"], [(200, STEERING), ACCEPTED]),
    ("shift of a revision", ["shift", "shop", "east=1", "--revision", "3"], [(200, STEERING), CONFLICT]),
    ("shift of no share", ["shift", "shop", "east"], []),
    ("drain", ["drain", "region", "west"], [(200, ITEMS["items"][1]), ACCEPTED]),
    ("undrain dry run", ["undrain", "region", "west", "--dry_run"], [(200, ITEMS["items"][1]), ACCEPTED]),
    ("status", ["status"], [(200, STATUS)]),
    ("status as JSON", ["status", "-o", "json"], [(200, STATUS)]),
    ("status without trouble", ["status"], [(200, dict(STATUS, degraded=[], rooms=[], shifts=[]))]),
    ("watch", ["watch", "--seconds", "1"], [(200, STATUS), (200, STATUS)]),
    ("watch as JSON", ["watch", "--seconds", "1", "-o", "json"], [(200, STATUS), (200, STATUS)]),
    ("explain", ["explain", "shop", "10.1.0.1"], [(200, EXPLAIN)]),
    ("explain as JSON", ["explain", "shop", "10.1.0.1", "-o", "json"], [(200, EXPLAIN)]),
    ("unknown command", ["conquer"], []),
    ("get of nothing", ["get"], []),
]

# Name of a case, program and arguments.
PLAIN_CASES = [
    ("larkrack without arguments", ["larkrack"]),
    ("larkrack version", ["larkrack", "--version"]),
    ("larkrack help", ["larkrack", "--help"]),
    ("larkrack without operators", ["larkrack", "status"]),
    ("larkrack with nobody there", ["larkrack", "status", "--operators", "127.0.0.1:1"]),
    ("larkrack unknown flag", ["larkrack", "status", "--colour=blue"]),
    ("larkrack check of settings", ["larkrack", "check", "settings.json"]),
    ("larkrack check of wrong settings", ["larkrack", "check", "wrong_settings.json"]),
    ("larkrack check of resources", ["larkrack", "check", "resources.json"]),
    ("larkrack check of wrong resources", ["larkrack", "check", "wrong_resources.json"]),
    ("larkrack check of no file", ["larkrack", "check", "missing.json"]),
    ("larkrack-trace without arguments", ["larkrack-trace"]),
    ("larkrack-trace help", ["larkrack-trace", "--help"]),
    ("larkrack-trace of a request", ["larkrack-trace", "--id=r-1", "one.log", "two.log"]),
    ("larkrack-trace with less context", ["larkrack-trace", "--id=r-1", "--context_ms=300", "one.log"]),
    ("larkrack-trace of an unknown request", ["larkrack-trace", "--id=r-9", "one.log"]),
    ("larkrack-trace of failures", ["larkrack-trace", "--failed", "one.log"]),
    ("larkrack-trace of a request shed by priority", ["larkrack-trace", "--id=u-1", "urgent.log"]),
    ("larkrack-trace of a request over its share", ["larkrack-trace", "--id=u-2", "urgent.log"]),
    ("larkrack-trace of a request that waited in vain", ["larkrack-trace", "--id=u-3", "urgent.log"]),
    ("larkrack-trace of a request refused at once", ["larkrack-trace", "--id=u-4", "urgent.log"]),
    ("larkrack-trace of a request that went elsewhere", ["larkrack-trace", "--id=u-5", "urgent.log"]),
    ("larkrack-trace of both", ["larkrack-trace", "--failed", "--id=r-1", "one.log"]),
    ("larkrack-check without arguments", ["larkrack-check"]),
    ("larkrack-check version", ["larkrack-check", "--version"]),
    ("larkrack-check help", ["larkrack-check", "--help"]),
    ("larkrack-check of kept promises", ["larkrack-check", "--deployment", "deployment.json", "good.jsonl"]),
    (
        "larkrack-check of a broken promise",
        ["larkrack-check", "--deployment", "deployment.json", "good.jsonl", "broken.jsonl"],
    ),
    ("larkrackd without arguments", ["larkrackd"]),
    ("larkrackd version", ["larkrackd", "--version"]),
    ("larkrackd help", ["larkrackd", "--help"]),
    ("larkrackd with wrong settings", ["larkrackd", "--settings", "wrong_settings.json"]),
]


class fake_operators:
    """A fake operators' listener that records requests and sends scripted responses in their order."""

    def __init__(self, answers):
        self.requests = []
        answers = list(answers)
        requests = self.requests

        class handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0))).decode()
                line = f"{self.command} {self.path}"
                for name in ("Authorization", "If-Match", "Content-Type"):
                    line += f" [{name}: {self.headers[name]}]" if name in self.headers else ""
                requests.append(line + (f" {body}" if body else ""))
                status, document = answers.pop(0) if answers else (500, {"message": "nothing more in the script"})
                text = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_PUT = do_POST = do_DELETE = answer

            def log_message(self, *_):
                """Does nothing, so that requests are not printed."""

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def settings_for(ports):
    listen = {name: f"127.0.0.1:{port}" for name, port in zip(("callers", "relay", "peers", "operators"), ports)}
    return dict(SETTINGS, listen=listen, platform="127.0.0.1:1")


def write_files(folder):
    (folder / "folder").mkdir()
    documents = {
        "resources.json": {"resources": RESOURCES},
        "folder/b.json": RESOURCES[1:],
        "folder/a.json": RESOURCES[0],
        "wrong_resources.json": [
            {"kind": "flavour", "name": "sweet"},
            {"kind": "domain", "name": "east-a", "spec": {"region": "nowhere"}},
        ],
        "settings.json": settings_for((11, 12, 13, 14)),
        "wrong_settings.json": dict(settings_for((11, 12, 13, 14)), chooser="best", colour="blue"),
        "deployment.json": DEPLOYMENT,
    }
    for name, document in documents.items():
        (folder / name).write_text(json.dumps(document))
    (folder / "bad.json").write_text("{")
    lines = [json.dumps(line) for line in LOG]
    # A log collector may prefix a line with text of its own, and lines of other programs may stand between.
    (folder / "urgent.log").write_text(
        "".join(
            json.dumps(
                {
                    "t_us": 5000000 + 1000000 * number,
                    "node": "east-1",
                    "event": 1901,
                    "name": "request_ended",
                    "id": "u-%d" % number,
                    "service": "shop",
                    "outcome": "not_run",
                    "reason": reason,
                    "region": "east",
                    "ms": waited_ms,
                    "waited_ms": waited_ms,
                    "level": 0.5,
                    "share": 0.125,
                    "return": returned,
                    **more,
                }
            )
            + "\n"
            for number, reason, waited_ms, returned, more in [
                (1, "shed_by_priority", 0, 0, {}),
                (2, "over_share", 30, 0, {}),
                (3, "no_headroom", 50, 1, {}),
                (4, "no_headroom", 0, 0, {}),
                (5, "shed", 10, 0, {"planned": "west"}),
            ]
        )
    )
    (folder / "one.log").write_text("\n".join(["no JSON", '{"other":1}', "collector " + lines[0]] + lines[1:]) + "\n")
    (folder / "two.log").write_text(json.dumps(dict(LOG[3], t_us=1400000, node="west-1", why="shed")) + "\n")
    (folder / "good.jsonl").write_text(json.dumps(RUN) + "\n" + json.dumps(REQUEST) + "\n")
    (folder / "broken.jsonl").write_text(json.dumps(dict(RUN, id="r2", start=9000, end=10000)) + "\n")


def run(programs, folder, arguments, stdin="", environment=None):
    clean = {"PATH": os.environ["PATH"], **(environment or {})}
    done = subprocess.run(
        [str(programs / arguments[0])] + arguments[1:],
        cwd=folder,
        input=stdin,
        env=clean,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    text = f"exit {done.returncode}\n"
    text += "".join(f"out {line}\n" for line in done.stdout.splitlines())
    text += "".join(f"err {line}\n" for line in done.stderr.splitlines())
    # The help contains the path of the sources at build time, which differs between builds.
    return re.sub(r"Flags from \S*tools/", "Flags from tools/", text)


def operator_case(programs, folder, arguments, answers):
    server = fake_operators(answers)
    text = run(
        programs,
        folder,
        ["larkrack"] + arguments,
        stdin=json.dumps(RESOURCES[0]),
        environment={"LARKRACK_OPERATORS": server.address, "LARKRACK_TOKEN": "token of operators"},
    )
    server.close()
    return text + "".join(f"request {line}\n" for line in server.requests)


def without_times(text):
    return re.sub(r'"t_us":\d+', '"t_us":TIME', re.sub(r"127\.0\.0\.1:\d+", "127.0.0.1:PORT", text))


def daemon_case(programs, folder):
    """Starts larkrackd, stops it by SIGTERM, and returns its log and exit code."""
    ports = free_ports(4)
    (folder / "daemon.json").write_text(json.dumps(settings_for(ports)))
    daemon = subprocess.Popen(
        [str(programs / "larkrackd"), "--settings", "daemon.json"],
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    lines = []
    for line in daemon.stdout:
        lines.append(without_times(line))
        if "node_started" in line:
            # larkrackd responds only after its signal handlers are set.
            urllib.request.urlopen(f"http://127.0.0.1:{ports[3]}/v1/status", timeout=20).read()
            daemon.send_signal(signal.SIGTERM)
    return "".join(f"out {line}" for line in lines) + f"exit {daemon.wait(timeout=60)}\n"


def port_taken_case(programs, folder):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        ports = free_ports(3) + [taken.getsockname()[1]]
        (folder / "taken.json").write_text(json.dumps(settings_for(ports)))
        return without_times(run(programs, folder, ["larkrackd", "--settings", "taken.json"]))


def texts_by_case(programs):
    """Runs all cases and returns their texts by name."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        write_files(folder)
        texts = {case: run(programs, folder, arguments) for case, arguments in PLAIN_CASES}
        for case, arguments, answers in OPERATOR_CASES:
            texts["larkrack " + case] = operator_case(programs, folder, arguments, answers)
        texts["larkrackd started and stopped"] = daemon_case(programs, folder)
        texts["larkrackd when an address is taken"] = port_taken_case(programs, folder)
    return texts


def expected_texts():
    text = (HERE / "programs_daemon.expected").read_text()
    parts = re.split(r"^== (.*)\n", text, flags=re.MULTILINE)[1:]
    return dict(zip(parts[::2], parts[1::2]))


def main():
    programs = pathlib.Path(sys.argv[1] if 1 < len(sys.argv) else "build/bin").resolve()
    expected = expected_texts()
    found = texts_by_case(programs)
    different = [case for case in sorted(set(expected) | set(found)) if expected.get(case) != found.get(case)]
    for case in different:
        print(f"{case}: expected\n{expected.get(case, '(no such case)')}found\n{found.get(case, '(no such case)')}")
    print(f"{len(found) - len(different)} forms of programs the same, {len(different)} different")
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main())
