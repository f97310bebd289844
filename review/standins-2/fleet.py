"""Stand-ins of the users' platform for the cases of this review.

One process holds the metadata store, the replicas and the requesters, as
PROTOCOL.md describes them; the routers are processes of their own, started
with the command and the template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - START


def free_ports(count):
    """First of some consecutive ports that are free, below those that the
    system hands out for connections, so that a restarted router gets them."""
    while True:
        first = random.randrange(20000, 32000)
        probes = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probes.append(socket.socket(socket.AF_INET, kind))
                    probes[-1].bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class Head:
    """First line and header fields of a message."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=None):
        for known, value in self.fields:
            if known == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    return Head(raw[:-4])


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, head):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        return await read_chunks(reader)
    length = int(head.get("content-length") or 0)
    return await reader.readexactly(length) if length else b""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.down = False
        self.era = 0
        self.copied = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.expiry = asyncio.create_task(self.expire())

    def keep_copy(self):
        self.copied = (dict(self.items), list(self.history), self.revision,
                       dict(self.leases), self.next_lease)

    def restore(self):
        """Goes back to the copy: what was acknowledged since is gone."""
        items, history, self.revision, leases, self.next_lease = self.copied
        self.items, self.history, self.leases = dict(items), list(history), dict(leases)
        self.era += 1

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (ttl, end) in list(self.leases.items()):
                if end < now():
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes bytes or a JSON document; returns the revision."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.put_text(key, base64.b64encode(value).decode(), lease)
        return self.revision

    def put_text(self, key, text, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": text, "revision": self.revision,
                           "created": created, "lease": lease}
        self.note(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if self.down:
                    status, answer = 503, {}
                else:
                    status, answer = await self.answer(head.first, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n%s" %
                             (status, self.era, len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, first, body):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        args = {k: v[-1] for k, v in parse_qs(query, keep_blank_values=True).items()}
        data = json.loads(body) if body else {}
        if path == "/mallowglade/kv-range":
            keys = sorted(k for k in self.items if k.startswith(args.get("path_prefix", ""))
                          and k > args.get("after", ""))
            page = keys[:500]
            return 200, {"entries": [self.items[k] for k in page],
                         "has_more": len(keys) > len(page), "at": self.revision}
        if path == "/mallowglade/kv-key":
            item = self.items.get(args["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/mallowglade/kv-watch":
            return await self.watch(args)
        if path == "/mallowglade/kv-lease":
            self.next_lease += 1
            ttl = int(data["ttl_ms"])
            self.leases[self.next_lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/mallowglade/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/mallowglade/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/mallowglade/kv-txn":
            return self.transact(data)
        return 404, {}

    def transact(self, data):
        for row in data.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"entries": [self.items[r["key"]] for r in data["precondition"]
                                         if r["key"] in self.items]}
        for row in data.get("write", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in data.get("write", []):
            self.put_text(row["key"], row["value"], row.get("lease", 0))
        for key in data.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def watch(self, args):
        after = int(args["after"])
        if after > self.revision:
            return 410, {"at": self.revision}
        end = now() + int(args.get("wait_ms", 0)) / 1000
        prefix = args.get("path_prefix", "")
        while True:
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass


class Replica:
    """A server of a service. `work` decides how a request is answered."""

    def __init__(self, store, service, name, record, work, slots=6, zone="zone-a"):
        self.store, self.service, self.id, self.record = store, service, name, record
        self.work, self.slots, self.zone = work, slots, zone
        self.runs = []          # (id, method, target, body, head)
        self.state = "ready"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.register()

    def register(self):
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": 1})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not await self.request(head, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def request(self, head, reader, writer):
        method, target, _ = head.first.split(" ")
        attempt = head.get("mallowglade-attempt-id", "")
        expected = head.get("mallowglade-expected-replica")
        if expected and expected != self.id:
            await read_body(reader, head)
            await respond(writer, 421, {"Mallowglade-Replica-Id": self.id,
                                        "Mallowglade-Attempt-Id": attempt}, b"")
            return True
        return await self.work(self, head, reader, writer, attempt, method, target)

    def ran(self, attempt, method, target, body, head):
        self.runs.append((attempt, method, target, body, head))
        self.record("replica %s runs %s (%s %s, %d bytes, tenant %s)" %
                    (self.id, attempt, method, target, len(body),
                     head.get("mallowglade-tenant")))

    def signed(self, attempt):
        return {"Mallowglade-Attempt-Id": attempt,
                "Mallowglade-Replica-Signature": "%s.%s" % (self.id, attempt),
                "Mallowglade-Replica-Load": "1,0,%d" % self.slots}


async def respond(writer, status, fields, body):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in fields.items():
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    writer.write(text.encode() + body)
    await writer.drain()


def render(template, fields):
    """Renders the sections and placeholders of DEPLOY.md that are in use."""
    def lookup(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes, key, current, last):
        def section(match):
            value = lookup(match.group(2), scopes)
            present = value not in (None, False, [], {})
            if match.group(1) == "^":
                return fill(match.group(3), scopes, key, current, last) if not present else ""
            if not present:
                return ""
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(match.group(3), scopes, key, current, last)
            return "".join(
                fill(match.group(3), [entry] + scopes, index, entry, at == len(entries) - 1)
                for at, (index, entry) in enumerate(entries))
        text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

        def place(match):
            name, _, form = match.group(1).partition("|")
            if name == ",":
                return "" if last else ","
            value = key if name == "@" else current if name == "." else lookup(name, scopes)
            if form == "json":
                return json.dumps(value)
            if isinstance(value, list):
                return ",".join(str(v) for v in value)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([^}]+)\}\}", place, text)
    return fill(template, [fields], None, fields, True)


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, directory, store, name, zone="zone-a", limits=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["router"]
        self.directory, self.name = directory, name
        first = free_ports(5)
        self.ports = {"frontend": first, "readiness": first + 1, "registry": first + 2}
        self.peer_port = first + 3
        at = lambda port: "127.0.0.1:%d" % port
        self.fields = {
            "node_name": name, "zone": zone, "zones": {"zone-a": "r", "zone-b": "r"},
            "ip": "127.0.0.1", "heartbeat_ms": 1200,
            "listen": {k: at(p) for k, p in self.ports.items()},
            "internal_ports": [self.peer_port, self.peer_port + 1],
            "platform": {"address": store.address, "history_s": 20},
            "bounds": {"revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "ttl_max_s": 5,
                       "retry_budget_ratio": 0.2, "retry_budget_slack": 56,
                       "budget_window_s": 10},
            "limits": dict({"memory_mb": 110, "file_descriptors": 4100, "cpu_share": 0.25,
                            "cores": 1}, **(limits or {})),
        }
        self.process = None
        self.port = self.ports["frontend"]

    async def start(self):
        path = os.path.join(self.directory, self.name + ".json")
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            template = file.read()
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, self.fields))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MALLOWGLADE_BOOT"] = path
        for name, text in self.role.get("env", {}).items():
            env[name] = render(text, self.fields)
        self.log = os.path.join(self.directory, self.name + ".log")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def could_not_bind(self):
        """True if the process ended because another program has its ports."""
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return "Address already in use" in file.read()

    async def ready(self, timeout=8):
        end = now() + timeout
        while now() < end:
            if await status_of(self.ports["readiness"], "/mallowglade/readyz") == 200:
                return True
            await asyncio.sleep(0.05)
        return False


async def status_of(port, target):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(("GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % target).encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(head.first.split(" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0


def route(name, kind, service, **more):
    return dict({"name": name, "host": "api.example", "path_prefix": "/%s/" % name,
                 "type": kind, "timeout_ms": 12000, "target_latency_ms": 600, "priority": 1,
                 "service": service, "max_attempts": 2, "public": False, "sticky": False,
                 "resumable": False, "gap_target_ms": 800}, **more)


def manifest(version, routes, services, tenants, **limits):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/healthz", "max_connections": 370,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": dict({"max_header_bytes": 16384, "max_body_bytes": 4194304,
                            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                            "tokens_per_s": 260000}, **limits),
            "tenants": [{"name": n, "api_keys": k, "priority": 1} for n, k in tenants.items()]}


def request_text(method, target, attempt, body=b"", key="key-1", deadline=4000, fields=()):
    text = "%s %s HTTP/1.1\r\nHost: api.example\r\n" % (method, target)
    text += "Mallowglade-Attempt-Id: %s\r\nMallowglade-Deadline-Ms: %d\r\n" % (attempt, deadline)
    if key:
        text += "Authorization: Bearer %s\r\n" % key
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    if body or method == "POST":
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode() + b"\r\n" + body


def run_case(main):
    """Runs a case in a temporary folder, which ends its routers on a signal, too.

    A case that fails in itself has shown nothing: status 2.
    """
    async def guarded(folder):
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await main(folder)

    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(guarded(folder))
        except (Exception, asyncio.CancelledError) as error:
            print("the case could not run: %r" % error)
            status = 2
    sys.exit(status)
