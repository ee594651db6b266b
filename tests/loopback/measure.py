"""Figures over several loopback runs, by kind of fault: time to suspicion, next token and first launch.

    python3 tests/loopback/measure.py DIRECTORY...
"""

import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Optional

import checker
from events import Event

# A controller that was just in a fault may still be suspected for it.
AFTERMATH_S = 5
CANCEL_S = 16


def format_spread(values: Iterable[Optional[float]]) -> str:
    """Median, 90th percentile, worst and count of the values that were measured."""
    known = sorted(value for value in values if value is not None)
    if not known:
        return "-"
    p90 = known[int(0.9 * (len(known) - 1))]
    return f"{statistics.median(known):.2f} / {p90:.2f} / {known[-1]:.2f} ({len(known)})"


def suspicions(events: list[Event]) -> list[Event]:
    """The times at which a controller began to suspect another one."""
    return [view for view in checker.named(events, "view") if view["state"] == "suspected"]


def suspected_after(events: list[Event], fault: Event) -> Optional[float]:
    """Seconds from the fault to the first other controller that suspects its target; None: nobody did."""
    end = checker.end_of_fault(events, fault, float("inf"))
    of_target = (view for view in suspicions(events) if view["of"] == fault["controller"])
    return next((view["t"] - fault["t"] for view in of_target if fault["t"] < view["t"] < end), None)


def false_suspicions(events: list[Event]) -> tuple[int, float]:
    """The number of suspicions in no fault at all, and the seconds of the run without a fault."""
    faults = [(f["t"], checker.end_of_fault(events, f, f["t"])) for f in checker.named(events, "fault")]
    found = [
        view
        for view in suspicions(events)
        if not any(begin <= view["t"] <= end + AFTERMATH_S for begin, end in faults)
    ]
    quiet_s = events[-1]["t"] - events[0]["t"] - sum(end - begin + AFTERMATH_S for begin, end in faults)
    return len(found), quiet_s


class Figures:
    """What was measured over all runs."""

    def __init__(self) -> None:
        self.handovers: dict[str, list[dict[str, Any]]] = defaultdict(list)  # by kind of fault
        self.suspected_s: dict[str, list[Optional[float]]] = defaultdict(list)  # by kind of fault
        self.faults = 0
        self.violations = 0
        self.false_suspicions = 0
        self.quiet_s = 0.0

    def add(self, directory: str) -> None:
        """Adds the figures of a run."""
        events, _ = checker.load(directory)
        self.violations += len(checker.check(directory, CANCEL_S))
        for fault in checker.named(events, "fault"):
            self.faults += 1
            self.suspected_s[fault["kind"]].append(suspected_after(events, fault))
        for handover in checker.handovers(directory):
            self.handovers[handover["kind"]].append(handover)
        count, seconds = false_suspicions(events)
        self.false_suspicions += count
        self.quiet_s += seconds

    def print(self) -> None:
        """Prints a line for each kind of fault, and one for all."""
        print(
            f"{self.faults} faults, {self.violations} violations; "
            f"{self.false_suspicions} suspicions in {self.quiet_s:.0f} s without a fault"
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
    """Prints the figures of a kind of fault."""
    next_token = format_spread(h["condemned_s"] for h in handovers)
    first_launch = format_spread(h["first_launch_s"] for h in handovers)
    print(f"{kind}: {format_spread(suspected_s)}; {next_token}; {first_launch}")


def main() -> None:
    """Prints the figures of the runs that the command line names."""
    figures = Figures()
    for directory in sys.argv[1:]:
        figures.add(directory)
    figures.print()


if __name__ == "__main__":
    main()
