"""A stand-in of the state service, as PROTOCOL describes it: keys with versions, transactions, leases, watches."""

import asyncio
import time

from http_service import Fault, HttpService

PAGE_MOST = 1000


class StateService:
    def __init__(self):
        self.keys = {}  # key -> (value, version, lease)
        self.revision = 0
        self.log = []  # (revision, key, value or None), one for each change
        self.leases = {}  # lease -> (end, life)
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.http = HttpService(self.handle)
        self.history = []  # (time, key, value or None, revision): what the tests compare with

    async def start(self, address, port):
        await self.http.start(address, port)
        asyncio.get_running_loop().create_task(self.expire_leases())

    async def expire_leases(self):
        while True:
            now = time.monotonic()
            for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
                await self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        held = [key for key, (_, _, holder) in self.keys.items() if holder == lease]
        if held:
            await self.apply([(key, None, 0) for key in held])

    async def apply(self, changes):
        """Carries out (key, value or None, lease), each, under one revision."""
        self.revision += 1
        revision = self.revision  # it may have grown by the time that the watches have been told
        for key, value, lease in changes:
            if value is None:
                self.keys.pop(key, None)
            else:
                self.keys[key] = (value, revision, lease)
            self.log.append((revision, key, value))
            self.history.append((time.monotonic(), key, value, revision))
        async with self.changed:
            self.changed.notify_all()
        return revision

    async def handle(self, client, method, path, query, body):
        if path == "/txn":
            return await self.transaction(body)
        if path == "/keys":
            return self.list(query)
        if path.startswith("/keys/"):
            return self.get(path[len("/keys/"):])
        if path == "/follow":
            return await self.follow(client, query)
        if path == "/holds":
            return self.grant(body["ttl_ms"] / 1000)
        if path.startswith("/holds/"):
            return await self.lease(method, path)
        raise Fault(404)

    def item(self, key):
        value, version, lease = self.keys[key]
        return {"k": key, "value": value, "mark": version, **({"tether": lease} if lease else {})}

    def get(self, key):
        if key not in self.keys:
            raise Fault(404, {"tide": self.revision})
        return self.item(key)

    def list(self, query):
        most = min(int(query.get("most", PAGE_MOST)), PAGE_MOST)
        keys = sorted(key for key in self.keys
                      if key.startswith(query.get("under", "")) and key > query.get("since", ""))
        pairs = [self.item(key) for key in keys[:most]]
        return {"pairs": pairs, "has_next": len(keys) > most, "tide": self.revision}

    async def transaction(self, body):
        conditions = body.get("if", [])
        failed = [c["k"] for c in conditions if self.keys.get(c["k"], (None, 0, 0))[1] != c["mark"]]
        changes = []
        for change in body.get("apply", []):
            lease = change.get("tether", 0)
            if lease and lease not in self.leases:
                raise Fault(400, {"error": "no such lease"})
            changes.append((change.get("write") or change["drop"], change.get("value"), lease))
        if failed:
            raise Fault(409, {"failed": failed, "tide": self.revision})
        return {"tide": await self.apply(changes) if changes else self.revision}

    def grant(self, life):
        self.last_lease += 1
        self.leases[self.last_lease] = (time.monotonic() + life, life)
        return {"tether": self.last_lease}

    async def lease(self, method, path):
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            raise Fault(404)
        if method == "DELETE":
            await self.end_lease(lease)
        else:
            life = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + life, life)
        return {}

    async def follow(self, client, query):
        prefix, since = query["under"], int(query["since"])
        until = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
        while True:
            # An open watch hangs while its client is refused or cut off: it must not say that nothing has changed.
            while client in self.http.rules.refused | self.http.rules.silent:
                await asyncio.sleep(0.05)
            found = self.changes(prefix, since)
            left = until - time.monotonic()
            if found or left <= 0:
                return {"tide": self.revision, "log": found}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
                except asyncio.TimeoutError:
                    pass

    def changes(self, prefix, since):
        found = []
        for revision, key, value in reversed(self.log):
            if revision <= since:
                break
            if key.startswith(prefix):
                found.append({"drop": key, "mark": revision} if value is None else
                             {"write": key, "value": value, "mark": revision})
        return found[::-1]
