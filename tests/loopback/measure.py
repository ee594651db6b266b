"""Figures over several loopback runs: how long suspicion, condemnation and first launches took, by kind of fault.

    python3 tests/loopback/measure.py DIRECTORY...
"""

import statistics
import sys
from collections import defaultdict

import checker

# A controller that was just in a fault may still be suspected for it.
AFTERMATH_S = 5


def spread(values):
    values = sorted(v for v in values if v is not None)
    if not values:
        return "-"
    worst = values[-1]
    return f"{statistics.median(values):.2f} / {values[int(0.9 * (len(values) - 1))]:.2f} / {worst:.2f} ({len(values)})"


def suspected_after(events, fault):
    """Seconds from the fault to the first other controller that suspects its target; None: nobody did."""
    over = next((e["t"] for e in events if e["event"] == "fault-over" and e["t"] > fault["t"]), float("inf"))
    return next((e["t"] - fault["t"] for e in events if e["event"] == "view" and e["of"] == fault["controller"] and
                 e["state"] == "suspected" and fault["t"] < e["t"] < over), None)


def false_suspicions(events):
    """Suspicions of, or by, controllers in no fault at all, and the seconds of the run."""
    faults = [(e["t"], next((o["t"] for o in events if o["event"] == "fault-over" and o["t"] > e["t"]), e["t"]))
              for e in events if e["event"] == "fault"]
    found = [e for e in events if e["event"] == "view" and e["state"] == "suspected" and
             not any(begin <= e["t"] <= end + AFTERMATH_S for begin, end in faults)]
    quiet = events[-1]["t"] - events[0]["t"] - sum(end - begin + AFTERMATH_S for begin, end in faults)
    return len(found), quiet


def main():
    handovers, suspicions, false, quiet, faults, violations = defaultdict(list), defaultdict(list), 0, 0, 0, 0
    for directory in sys.argv[1:]:
        events, _ = checker.load(directory)
        violations += len(checker.check(directory, 16))
        for fault in (e for e in events if e["event"] == "fault"):
            faults += 1
            suspicions[fault["kind"]].append(suspected_after(events, fault))
        for measured in checker.handovers(directory):
            handovers[measured["kind"]].append(measured)
        count, seconds = false_suspicions(events)
        false += count
        quiet += seconds
    print(f"{faults} faults, {violations} violations; {false} suspicions in {quiet:.0f} s without a fault")
    print("kind: suspected after; next token after; first launch under it after (median / p90 / worst, count), s")
    for kind in sorted(suspicions):
        print(f"{kind}: {spread(suspicions[kind])}; {spread(m['condemned_s'] for m in handovers[kind])}; "
              f"{spread(m['first_launch_s'] for m in handovers[kind])}")
    everything = [m for group in handovers.values() for m in group]
    print(f"all: {spread(s for group in suspicions.values() for s in group)}; "
          f"{spread(m['condemned_s'] for m in everything)}; {spread(m['first_launch_s'] for m in everything)}")


if __name__ == "__main__":
    main()
