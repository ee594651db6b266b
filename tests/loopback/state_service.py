"""A simulated state service: versioned keys, transactions, leases and watches (see PROTOCOL)."""

import asyncio
import time
from typing import Any

from http_service import HttpError, HttpService, NoResponse, Query
from state_store import Change, LoggedChange, StateStore

PAGE_MAX = 1000
POLL_S = 0.05
EXPIRY_POLL_S = 0.02
WATCH_POLL_S = 0.5
LATE_WRITE_S = 3.0

Body = dict[str, Any]


def describe_change(change: LoggedChange) -> Body:
    """A change as reported by a watch."""
    if change.value is None:
        return {"drop": change.key, "mark": change.revision}
    return {"write": change.key, "value": change.value, "mark": change.revision}


class StateService:
    """Serves a store over HTTP."""

    def __init__(self) -> None:
        self.store = StateStore()
        self.changed = asyncio.Event()  # of the next change
        self.has_outage = False
        self.lost_answers: set[str] = set()  # clients whose transactions are carried out and not answered
        self.late_writes: set[
            str
        ] = set()  # clients whose transactions are carried out late, and not answered
        self.http = HttpService(self.handle)

    async def start(self, address: str, port: int) -> None:
        """Starts the HTTP service and the expiry of leases."""
        await self.http.start(address, port)
        asyncio.get_running_loop().create_task(self.expire_leases())

    def begin_outage(self) -> None:
        """Refuses all requests; open watches wait, and no lease ends."""
        self.has_outage = True

    def end_outage(self) -> None:
        """Serves requests again; every lease has its full time."""
        if not self.has_outage:
            return
        self.has_outage = False
        for lease in list(self.store.leases):
            self.store.renew_lease(lease)

    def is_blocked(self, client: str) -> bool:
        """Whether requests of a client are refused or left unanswered."""
        return self.has_outage or self.http.rules.blocks(client)

    async def expire_leases(self) -> None:
        """Ends leases as they expire."""
        while True:
            for lease in [] if self.has_outage else self.store.expired_leases():
                await self.end_lease(lease)
            await asyncio.sleep(EXPIRY_POLL_S)

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        deletions = self.store.end_lease(lease)
        if deletions:
            await self.apply(deletions)

    async def apply(self, changes: list[Change]) -> int:
        """Applies the changes, wakes the watches, and returns the new revision."""
        revision = self.store.apply(changes)
        self.changed.set()
        self.changed = asyncio.Event()
        return revision

    async def handle(self, client: str, method: str, path: str, query: Query, body: Any) -> Body:
        """Handles a request."""
        if self.has_outage:
            raise HttpError(503)
        if path == "/txn":
            return await self.handle_transaction(client, body)
        if path == "/keys":
            return self.list_keys(query)
        if path.startswith("/keys/"):
            return self.get_key(path[len("/keys/") :])
        if path == "/follow":
            return await self.watch(client, query)
        if path == "/holds":
            return {"tether": self.store.grant_lease(body["ttl_ms"] / 1000)}
        if path.startswith("/holds/"):
            return await self.handle_lease(method, int(path.split("/")[2]))
        raise HttpError(404)

    def describe(self, key: str) -> Body:
        """A key with its value, version and lease."""
        item = self.store.items[key]
        tether = {"tether": item.lease} if item.lease else {}
        return {"k": key, "value": item.value, "mark": item.version, **tether}

    def get_key(self, key: str) -> Body:
        """Handles a request for a key."""
        if key not in self.store.items:
            raise HttpError(404, {"tide": self.store.revision})
        return self.describe(key)

    def list_keys(self, query: Query) -> Body:
        """Handles a request for a page of the keys with a prefix."""
        limit = min(int(query.get("most", PAGE_MAX)), PAGE_MAX)
        keys = self.store.keys(query.get("under", ""), query.get("since", ""))
        pairs = [self.describe(key) for key in keys[:limit]]
        return {"pairs": pairs, "has_next": len(keys) > limit, "tide": self.store.revision}

    async def handle_transaction(self, client: str, body: Body) -> Body:
        """Carries out a transaction, late or without an answer if that is set for the client."""
        if client in self.late_writes:
            asyncio.get_running_loop().create_task(self.commit_late(body))
            raise NoResponse()
        answer = await self.commit(body)
        if client in self.lost_answers:
            raise NoResponse()
        return answer

    async def commit_late(self, body: Body) -> None:
        """Carries out a transaction after a delay; nobody learns of its result."""
        await asyncio.sleep(LATE_WRITE_S)
        try:
            await self.commit(body)
        except HttpError:
            pass

    async def commit(self, body: Body) -> Body:
        """Handles a transaction: applies all changes if all conditions hold, otherwise none."""
        failed = [c["k"] for c in body.get("if", []) if self.store.version(c["k"]) != c["mark"]]
        changes = []
        for change in body.get("apply", []):
            lease = change.get("tether", 0)
            if lease and lease not in self.store.leases:
                raise HttpError(400, {"error": "no such lease"})
            changes.append(Change(change.get("write") or change["drop"], change.get("value"), lease))
        if failed:
            raise HttpError(409, {"failed": failed, "tide": self.store.revision})
        return {"tide": await self.apply(changes) if changes else self.store.revision}

    async def handle_lease(self, method: str, lease: int) -> Body:
        """Handles the end (DELETE) or renewal of a lease."""
        if lease not in self.store.leases:
            raise HttpError(404)
        if method == "DELETE":
            await self.end_lease(lease)
        else:
            self.store.renew_lease(lease)
        return {}

    async def watch(self, client: str, query: Query) -> Body:
        """Handles a watch (long poll): the changes since a revision, or an empty list after the timeout."""
        prefix, since = query["under"], int(query["since"])
        deadline = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
        while True:
            # While the client is blocked, its watch must hang: an empty answer would mean that nothing
            # has changed.
            while self.is_blocked(client):
                await asyncio.sleep(POLL_S)
            found = self.store.changes_since(prefix, since)
            left = deadline - time.monotonic()
            if found or left <= 0:
                return {"tide": self.store.revision, "log": [describe_change(change) for change in found]}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, WATCH_POLL_S))
            except asyncio.TimeoutError:
                pass
