"""Statistics over several loopback runs, by kind of fault: time to suspicion, next token and first launch.

    python3 tests/loopback/measure.py DIRECTORY...
"""

import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Optional

import checker
from events import Event

# After a fault ends, suspicions of its target are still attributed to it for this time.
SUSPICION_RECOVERY_S = 5
CANCEL_S = 16


def format_spread(values: Iterable[Optional[float]]) -> str:
    """Median, 90th percentile, maximum and count of the values that are not None."""
    known = sorted(value for value in values if value is not None)
    if not known:
        return "-"
    p90 = known[int(0.9 * (len(known) - 1))]
    return f"{statistics.median(known):.2f} / {p90:.2f} / {known[-1]:.2f} ({len(known)})"


def suspicions(events: list[Event]) -> list[Event]:
    """The events at which a controller starts to suspect another one."""
    return [view for view in checker.events_named(events, "view") if view["state"] == "suspected"]


def suspected_after(events: list[Event], fault: Event) -> Optional[float]:
    """Seconds from the fault until another controller suspects its target; None if none does in time."""
    end = checker.end_of_fault(events, fault, float("inf"))
    of_target = (view for view in suspicions(events) if view["of"] == fault["controller"])
    return next((view["t"] - fault["t"] for view in of_target if fault["t"] < view["t"] < end), None)


def false_suspicions(events: list[Event]) -> tuple[int, float]:
    """The number of suspicions outside all faults, and the duration of the run without faults in seconds."""
    faults = [
        (f["t"], checker.end_of_fault(events, f, f["t"])) for f in checker.events_named(events, "fault")
    ]
    found = [
        view
        for view in suspicions(events)
        if not any(begin <= view["t"] <= end + SUSPICION_RECOVERY_S for begin, end in faults)
    ]
    fault_free_s = (
        events[-1]["t"] - events[0]["t"] - sum(end - begin + SUSPICION_RECOVERY_S for begin, end in faults)
    )
    return len(found), fault_free_s


class RunStatistics:
    """Statistics over all runs."""

    def __init__(self) -> None:
        self.handovers: dict[str, list[dict[str, Any]]] = defaultdict(list)  # by kind of fault
        self.suspected_s: dict[str, list[Optional[float]]] = defaultdict(list)  # by kind of fault
        self.faults = 0
        self.violations = 0
        self.false_suspicions = 0
        self.fault_free_s = 0.0

    def add(self, directory: str) -> None:
        """Adds the measurements of a run."""
        events, _ = checker.load(directory)
        self.violations += len(checker.check(directory, CANCEL_S))
        for fault in checker.events_named(events, "fault"):
            self.faults += 1
            self.suspected_s[fault["kind"]].append(suspected_after(events, fault))
        for handover in checker.handovers(directory):
            self.handovers[handover["kind"]].append(handover)
        count, seconds = false_suspicions(events)
        self.false_suspicions += count
        self.fault_free_s += seconds

    def print(self) -> None:
        """Prints a summary line, and a line for each kind of fault and for all kinds."""
        print(
            f"{self.faults} faults, {self.violations} violations; "
            f"{self.false_suspicions} suspicions in {self.fault_free_s:.0f} s without a fault"
        )
        print(
            "kind: suspected after; next token after; first launch under it after "
            "(median / p90 / worst, count), s"
        )
        for kind in sorted(self.suspected_s):
            print_line(kind, self.suspected_s[kind], self.handovers[kind])
        all_suspected = [seconds for group in self.suspected_s.values() for seconds in group]
        print_line("all", all_suspected, [h for group in self.handovers.values() for h in group])


def print_line(kind: str, suspected_s: list[Optional[float]], handovers: list[dict[str, Any]]) -> None:
    """Prints the statistics of a kind of fault."""
    next_token = format_spread(h["condemned_s"] for h in handovers)
    first_launch = format_spread(h["first_launch_s"] for h in handovers)
    print(f"{kind}: {format_spread(suspected_s)}; {next_token}; {first_launch}")


def main() -> None:
    """Prints the statistics of the runs in the directories on the command line."""
    run_statistics = RunStatistics()
    for directory in sys.argv[1:]:
        run_statistics.add(directory)
    run_statistics.print()


if __name__ == "__main__":
    main()
