"""The data of the simulated state service: versioned keys, leases, and a change log for watches."""

import time
from typing import Any, NamedTuple, Optional


class Item(NamedTuple):
    """The value, version and lease of a key; lease 0: not bound to a lease."""

    value: Any
    version: int
    lease: int


class Change(NamedTuple):
    """A write to a key, or its deletion (value None)."""

    key: str
    value: Optional[Any]
    lease: int = 0


class LoggedChange(NamedTuple):
    """An applied change, with its time and revision."""

    time: float
    revision: int
    key: str
    value: Optional[Any]


class Lease(NamedTuple):
    """A lease: the monotonic time at which it expires, and the duration of a renewal."""

    end: float
    ttl_s: float


class StateStore:
    """Keys, leases and the change log. The version of a key is the revision of its last write."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.last_lease = 0
        self.revision = 0
        self.log: list[LoggedChange] = []

    def version(self, key: str) -> int:
        """The version of a key; 0 if it does not exist."""
        return self.items[key].version if key in self.items else 0

    def apply(self, changes: list[Change]) -> int:
        """Applies the changes atomically under a new revision, and returns it."""
        self.revision += 1
        for change in changes:
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = Item(change.value, self.revision, change.lease)
            self.log.append(LoggedChange(time.monotonic(), self.revision, change.key, change.value))
        return self.revision

    def keys(self, prefix: str, after: str) -> list[str]:
        """The sorted keys with a prefix that are greater than `after`."""
        return sorted(key for key in self.items if key.startswith(prefix) and key > after)

    def changes_since(self, prefix: str, revision: int) -> list[LoggedChange]:
        """The changes after a revision to keys with a prefix, in order."""
        found = []
        for change in reversed(self.log):
            if change.revision <= revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]

    def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its number."""
        self.last_lease += 1
        self.leases[self.last_lease] = Lease(time.monotonic() + ttl_s, ttl_s)
        return self.last_lease

    def renew_lease(self, number: int) -> None:
        """Renews a lease for its duration from now."""
        ttl_s = self.leases[number].ttl_s
        self.leases[number] = Lease(time.monotonic() + ttl_s, ttl_s)

    def expired_leases(self) -> list[int]:
        """The leases that have expired but have not been ended yet."""
        now = time.monotonic()
        return [number for number, lease in self.leases.items() if lease.end < now]

    def end_lease(self, number: int) -> list[Change]:
        """Removes a lease; returns the deletions of its keys, which the caller must apply."""
        self.leases.pop(number, None)
        return [Change(key, None) for key, item in self.items.items() if item.lease == number]
