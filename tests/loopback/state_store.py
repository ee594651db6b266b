"""The data of the simulated state service: keys with versions, leases, and a log of changes for watches."""

import time
from typing import Any, NamedTuple, Optional


class Item(NamedTuple):
    """What a key holds; lease 0: it isn't bound to a lease."""

    value: Any
    version: int
    lease: int


class Change(NamedTuple):
    """A write of a key, or its deletion (value None)."""

    key: str
    value: Optional[Any]
    lease: int = 0


class LoggedChange(NamedTuple):
    """A change that was carried out, and when."""

    time: float
    revision: int
    key: str
    value: Optional[Any]


class Lease(NamedTuple):
    """A lease that ends at a time of the steady clock unless it is renewed for its lifetime."""

    end: float
    ttl_s: float


class StateStore:
    """Keys, leases and the log. The version of a key is the revision that wrote it last."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.last_lease = 0
        self.revision = 0
        self.log: list[LoggedChange] = []

    def version(self, key: str) -> int:
        """The version of a key; 0: there is no such key."""
        return self.items[key].version if key in self.items else 0

    def apply(self, changes: list[Change]) -> int:
        """Carries out the changes under one revision, and returns it."""
        self.revision += 1
        for change in changes:
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = Item(change.value, self.revision, change.lease)
            self.log.append(LoggedChange(time.monotonic(), self.revision, change.key, change.value))
        return self.revision

    def keys(self, prefix: str, after: str) -> list[str]:
        """The keys of a prefix that follow a given one, sorted."""
        return sorted(key for key in self.items if key.startswith(prefix) and key > after)

    def changes_since(self, prefix: str, revision: int) -> list[LoggedChange]:
        """The changes of keys of a prefix that are newer than a revision, in order."""
        found = []
        for change in reversed(self.log):
            if change.revision <= revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]

    def grant_lease(self, ttl_s: float) -> int:
        """Makes a lease and returns its number."""
        self.last_lease += 1
        self.leases[self.last_lease] = Lease(time.monotonic() + ttl_s, ttl_s)
        return self.last_lease

    def renew_lease(self, number: int) -> None:
        """Lets a lease last its lifetime from now on."""
        ttl_s = self.leases[number].ttl_s
        self.leases[number] = Lease(time.monotonic() + ttl_s, ttl_s)

    def expired_leases(self) -> list[int]:
        """The leases that have run out and weren't ended yet."""
        now = time.monotonic()
        return [number for number, lease in self.leases.items() if lease.end < now]

    def end_lease(self, number: int) -> list[Change]:
        """Ends a lease; the deletions of its keys, to be applied."""
        self.leases.pop(number, None)
        return [Change(key, None) for key, item in self.items.items() if item.lease == number]
