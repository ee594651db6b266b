"""The state service of PROTOCOL: versioned keys, transactions, leases and watches, with its limits."""

import asyncio
import json
import time

from .http import Refused, serve

KEPT_CHANGES = 10000
PAGE_KEYS, PAGE_BYTES, BODY_BYTES = 1000, 512 * 1024, 64 * 1024


class Rate:
    """A limit of so many a second, with bursts of one second's worth."""

    def __init__(self, per_s):
        self.per_s, self.level, self.at = per_s, per_s, time.monotonic()

    def take(self, count):
        """Takes `count`, or refuses with 429."""
        now = time.monotonic()
        self.level = min(self.per_s, self.level + (now - self.at) * self.per_s)
        self.at = now
        if self.level < count:
            raise Refused(429)
        self.level -= count


class State:
    """The service and its data."""

    def __init__(self, limits):
        self.limits = limits
        self.requests, self.changes = Rate(limits["rps"]), Rate(limits["write_rps"])
        self.items, self.leases, self.log = {}, {}, []
        self.tide, self.last_lease, self.forgotten_tide = 0, 0, 0
        self.changed = asyncio.Event()
        self.before = None  # called with method, path, query, body before a request is handled

    async def start(self, host, port):
        """Starts the service and the expiry of leases."""
        await serve(host, port, self.handle)
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        """Ends leases that were not renewed in time, at most 100 ms late."""
        while True:
            now = time.monotonic()
            for lease in [number for number, (end, _) in self.leases.items() if end < now]:
                self.end_lease(lease)
            await asyncio.sleep(0.02)

    def end_lease(self, lease):
        """Removes a lease and the keys attached to it."""
        del self.leases[lease]
        self.apply([(key, None, 0) for key, item in self.items.items() if item[2] == lease])

    def apply(self, writes):
        """Applies (key, value or None, lease) under one revision."""
        if not writes:
            return
        self.tide += 1
        for key, value, lease in writes:
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, self.tide, lease)
            self.log.append((self.tide, key, value))
        while len(self.log) > KEPT_CHANGES:
            self.forgotten_tide = self.log.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, query, body):
        """Handles a request."""
        self.requests.take(1)
        if self.before is not None:
            await self.before(method, path, query, body)
        if path == "/txn":
            return self.txn(body)
        if path == "/keys":
            return self.page(query)
        if path.startswith("/keys/"):
            return self.get(path[len("/keys/") :])
        if path == "/follow":
            return await self.follow(query)
        if path == "/holds":
            self.last_lease += 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = (time.monotonic() + ttl_s, ttl_s)
            return {"tether": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            raise Refused(404)
        if method == "DELETE":
            self.end_lease(lease)
        else:
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return {}

    def describe(self, key):
        """A key as a response shows it."""
        value, mark, lease = self.items[key]
        return {"k": key, "value": value, "mark": mark, **({"tether": lease} if lease else {})}

    def get(self, key):
        """GET /keys/{key}."""
        if key not in self.items:
            raise Refused(404, {"tide": self.tide})
        return self.describe(key)

    def page(self, query):
        """GET /keys."""
        under, since = query.get("under", ""), query.get("since", "")
        keys = sorted(key for key in self.items if key.startswith(under) and key > since)
        pairs, size = [], 0
        for key in keys[: min(int(query.get("most", PAGE_KEYS)), PAGE_KEYS)]:
            size += len(json.dumps(self.describe(key)))
            if size > PAGE_BYTES:
                break
            pairs.append(self.describe(key))
        return {"pairs": pairs, "has_next": len(pairs) < len(keys), "tide": self.tide}

    def txn(self, body):
        """POST /txn."""
        conditions, writes = body.get("if", []), body.get("apply", [])
        self.changes.take(len(writes))
        limits = self.limits
        sizes = [len(json.dumps(write.get("value"), separators=(",", ":"))) for write in writes]
        if (
            len(writes) > limits["txn_ops"]
            or len(conditions) > 4 * limits["txn_ops"]
            or max(sizes, default=0) > limits["value_kb"] * 1024
            or len(json.dumps(body, separators=(",", ":"))) > BODY_BYTES
        ):
            raise Refused(400, {"error": "malformed"})
        if any(write.get("tether") and write["tether"] not in self.leases for write in writes):
            raise Refused(400, {"error": "no such lease"})
        failed = [c["k"] for c in conditions if self.items.get(c["k"], (None, 0, 0))[1] != c["mark"]]
        if failed:
            raise Refused(409, {"failed": failed, "tide": self.tide})
        self.apply([(w.get("write") or w["drop"], w.get("value"), w.get("tether", 0)) for w in writes])
        return {"tide": self.tide}

    async def follow(self, query):
        """GET /follow."""
        under, since = query["under"], int(query["since"])
        deadline = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
        while True:
            if since < self.forgotten_tide:
                raise Refused(410)
            found = [change for change in self.log if change[0] > since and change[1].startswith(under)]
            left = deadline - time.monotonic()
            if found or left <= 0:
                log = [
                    {"drop": key, "mark": mark}
                    if value is None
                    else {"write": key, "value": value, "mark": mark}
                    for mark, key, value in found
                ]
                return {"tide": self.tide, "log": log}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass
