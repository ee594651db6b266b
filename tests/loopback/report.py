"""Writes an HTML report with plots of a loopback run: shard leaders, machine owners, suspicions, handovers.

    python3 tests/loopback/report.py DIRECTORY     writes DIRECTORY/report.html; needs gnuplot
"""

import html
import os
import subprocess
import sys
from collections.abc import Iterable
from typing import Any

import checker
from events import Event

GNUPLOT_HEADER = """set terminal svg size 1000,{height} dynamic font 'sans,11'
set output '{output}'
set key outside right
"""
TIME_AXIS = "set tmargin 6\nset xlabel 'seconds'\n"
FAULT_MARK = """set arrow from {at},graph 0 to {at},graph 1 nohead lc rgb '#cc0000' dt 2
set label '{kind}' at {at},graph 1.02 rotate by 45 font ',8' noenhanced
"""
LEADERS_HEIGHT, DISTRIBUTION_HEIGHT, HEIGHT, OWNER_HEIGHT, SUSPICION_HEIGHT = 420, 320, 200, 12, 14
# gnuplot colours of the states, and the number of colours used to distinguish terms.
STATE_COLOURS = {"alive": 2, "probed": 4, "relayed": 3, "suspected": 7, "unheard": 8}
TERM_COLOURS = 8
TABLE_TITLES = "<tr><th>fault<th>shard<th>next token, s<th>its first launch, s"


def write_rows(directory: str, name: str, rows: Iterable[Iterable[Any]]) -> str:
    """Writes a data file for gnuplot and returns its path."""
    path = os.path.join(directory, name + ".dat")
    with open(path, "w", encoding="utf-8") as file:
        for row in rows:
            file.write(" ".join(str(value) for value in row) + "\n")
    return path


def plot(directory: str, name: str, height: int, commands: str) -> str:
    """Runs gnuplot and returns the plot as SVG text."""
    output = os.path.join(directory, name + ".svg")
    script = GNUPLOT_HEADER.format(height=height, output=output) + commands
    subprocess.run(["gnuplot"], input=script.encode(), check=True)
    with open(output, encoding="utf-8") as file:
        text = file.read()
    return text[text.index("<svg") :]


class Report:
    """The plots of a run."""

    def __init__(self, directory: str) -> None:
        self.directory = directory
        self.events, self.machines = checker.load(directory)
        self.handovers = checker.handovers(directory)
        self.start = self.events[0]["t"]
        self.end = max(self.events[-1]["t"], self.machines[-1]["t"])

    def seconds(self, event: Event) -> float:
        """Seconds from the start of the run to the event."""
        return float(event["t"] - self.start)

    def fault_marks(self) -> str:
        """A line and a label for each fault."""
        faults = checker.events_named(self.events, "fault")
        return "".join(FAULT_MARK.format(at=self.seconds(fault), kind=fault["kind"]) for fault in faults)

    def plot_rows(self, name: str, height: int, labels: list[str], rows: list[Any], style: str) -> str:
        """Plots rows over time; the second value of a row is the index of its label on the y axis."""
        data = write_rows(self.directory, name, rows)
        tics = ", ".join(f"'{label}' {i}" for i, label in enumerate(labels))
        axis = f"set ytics ({tics})\nset yrange [-1:{len(labels)}]\n"
        return plot(
            self.directory,
            name,
            height,
            f"{TIME_AXIS}{axis}{self.fault_marks()}plot '{data}' using {style}\n",
        )

    def plot_leaders(self) -> str:
        """Plots the terms of leaders, with a line for each shard and controller."""
        changes = [e for e in checker.events_named(self.events, "leader") if e["shard"] != "default"]
        shards = sorted({e["shard"] for e in changes})
        leaders = sorted({e["leader"] for e in changes if e["leader"]})
        lines = [(shard, leader) for shard in shards for leader in leaders]
        rows = []
        for i, term in enumerate(changes):
            if term["leader"]:
                end = next((e["t"] for e in changes[i + 1 :] if e["shard"] == term["shard"]), self.end)
                line = lines.index((term["shard"], term["leader"]))
                colour = shards.index(term["shard"]) + 1
                rows.append((self.seconds(term), line, end - term["t"], 0, colour))
        labels = [f"{shard}: {leader}" for shard, leader in lines]
        style = "1:2:3:4:5 with vectors nohead lw 6 lc variable notitle"
        return self.plot_rows("leaders", LEADERS_HEIGHT, labels, rows, style)

    def plot_owners(self) -> str:
        """Plots the tokens that each machine accepts, coloured by their index among all tokens."""
        tokens = sorted({term["token"] for term in checker.terms(self.events)})
        accepted = [e for e in checker.accepted_commands(self.machines) if e["token"] in tokens]
        names = sorted({e["machine"] for e in accepted})
        rows = [
            (self.seconds(e), names.index(e["machine"]), tokens.index(e["token"]) % TERM_COLOURS + 1)
            for e in accepted
        ]
        style = "1:2:3 with points pt 5 ps 0.4 lc variable notitle"
        return self.plot_rows("owners", HEIGHT + OWNER_HEIGHT * len(names), names, rows, style)

    def plot_suspicion(self) -> str:
        """Plots the state of each controller as reported by the others."""
        views = [e for e in checker.events_named(self.events, "view") if e["of"].startswith("controller-")]
        pairs = sorted({(e["of"], e["by"]) for e in views})
        rows = [(self.seconds(e), pairs.index((e["of"], e["by"])), STATE_COLOURS[e["state"]]) for e in views]
        labels = [f"{of} by {by}" for of, by in pairs]
        style = "1:2:3 with points pt 7 ps 0.6 lc variable notitle"
        return self.plot_rows("suspicion", HEIGHT + SUSPICION_HEIGHT * len(pairs), labels, rows, style)

    def plot_distribution(self) -> str:
        """Plots the cumulative distribution of handover times."""
        parts = []
        for field, title in (("condemned_s", "next token committed"), ("first_launch_s", "its first launch")):
            values = sorted(h[field] for h in self.handovers if h[field] is not None)
            rows = [(value, (i + 1) / len(values)) for i, value in enumerate(values)]
            data = write_rows(self.directory, field, rows)
            if values:
                parts.append(f"'{data}' using 1:2 with steps lw 2 title '{title}'")
        if not parts:
            return "<p>no handover</p>"
        axes = "set xlabel 'seconds after the fault'\nset ylabel 'share of handovers'\nset yrange [0:1.05]\n"
        commands = f"{axes}plot {', '.join(parts)}\n"
        return plot(self.directory, "distribution", DISTRIBUTION_HEIGHT, commands)

    def table(self) -> str:
        """An HTML table with a row for each handover."""
        rows = ""
        for handover in self.handovers:
            launch_s = handover["first_launch_s"]
            launch = "-" if launch_s is None else f"{launch_s:.2f}"
            rows += f"<tr><td>{handover['kind']}<td>{handover['shard']}"
            rows += f"<td>{handover['condemned_s']:.2f}<td>{launch}"
        return f"<table border=1 cellpadding=4>{TABLE_TITLES}{rows}</table>"

    def write(self) -> str:
        """Writes the page and returns its path."""
        sections = [
            ("Leaders of the shards, according to the state service", self.plot_leaders()),
            ("Tokens that the machines accept, according to the agents", self.plot_owners()),
            ("Suspicion, according to the controllers", self.plot_suspicion()),
            ("Time to handover", self.plot_distribution() + self.table()),
        ]
        body = "".join(f"<h2>{html.escape(title)}</h2>{content}" for title, content in sections)
        path = os.path.join(self.directory, "report.html")
        with open(path, "w", encoding="utf-8") as file:
            file.write("<!DOCTYPE html><meta charset=utf-8><title>Loopback run</title>")
            file.write(f"<h1>Loopback run</h1>{body}")
        return path


def main() -> None:
    """Writes the report of the run in the directory on the command line."""
    print(Report(sys.argv[1]).write())


if __name__ == "__main__":
    main()
