"""An HTML page with plots of a loopback run: who leads each shard, whom the machines obey, and how handovers went.

    python3 tests/loopback/report.py DIRECTORY     writes DIRECTORY/report.html; needs gnuplot
"""

import html
import os
import subprocess
import sys

import checker

HEAD = "set terminal svg size 1000,{height} dynamic font 'sans,11'\nset output '{output}'\nset key outside right\n"


def plot(directory, name, height, commands):
    """Runs gnuplot and returns the picture's SVG text."""
    output = os.path.join(directory, name + ".svg")
    script = HEAD.format(height=height, output=output) + commands
    subprocess.run(["gnuplot"], input=script.encode(), check=True)
    with open(output, encoding="utf-8") as file:
        text = file.read()
    return text[text.index("<svg"):]


def write_rows(directory, name, rows):
    path = os.path.join(directory, name + ".dat")
    with open(path, "w", encoding="utf-8") as file:
        for row in rows:
            file.write(" ".join(str(value) for value in row) + "\n")
    return path


def tics(names):
    return "set ytics (" + ", ".join(f"'{name}' {i}" for i, name in enumerate(names)) + ")\n"


def fault_marks(events, begin):
    marks = [(e["t"] - begin, e["kind"]) for e in events if e["event"] == "fault"]
    return "".join(f"set arrow from {at},graph 0 to {at},graph 1 nohead lc rgb '#cc0000' dt 2\n"
                   f"set label '{kind}' at {at},graph 1.02 rotate by 45 font ',8' noenhanced\n" for at, kind in marks)


def leaders_plot(directory, events, begin, end):
    """The terms of leaders: a line for each shard and controller."""
    terms = [e for e in events if e["event"] == "leader" and e["shard"] != "default"]
    shards = sorted({e["shard"] for e in terms})
    names = [(shard, leader) for shard in shards for leader in sorted({e["leader"] for e in terms if e["leader"]})]
    rows = []
    for i, term in enumerate(terms):
        if term["leader"]:
            until = next((e["t"] for e in terms[i + 1:] if e["shard"] == term["shard"]), end)
            rows.append((term["t"] - begin, names.index((term["shard"], term["leader"])), until - term["t"], 0,
                         shards.index(term["shard"]) + 1))
    data = write_rows(directory, "leaders", rows)
    return plot(directory, "leaders", 420, "set tmargin 6\nset xlabel 'seconds'\n" +
                tics([f"{shard}: {leader}" for shard, leader in names]) + fault_marks(events, begin) +
                f"set yrange [-1:{len(names)}]\nplot '{data}' using 1:2:3:4:5 with vectors nohead lw 6 lc variable notitle\n")


def owners_plot(directory, events, machines, begin):
    """The token that each machine obeys; its place in the order of all tokens tells terms apart."""
    tokens = sorted({e["token"] for e in events if e["event"] == "leader" and e["leader"]})
    orders = [e for e in machines if e["event"] == "orders" and e["accepted"] and e["token"] in tokens]
    names = sorted({e["machine"] for e in orders})
    data = write_rows(directory, "owners", [(e["t"] - begin, names.index(e["machine"]), tokens.index(e["token"]) % 8 + 1)
                                            for e in orders])
    return plot(directory, "owners", 200 + 12 * len(names), "set tmargin 6\nset xlabel 'seconds'\n" + tics(names) +
                fault_marks(events, begin) + f"set yrange [-1:{len(names)}]\n"
                f"plot '{data}' using 1:2:3 with points pt 5 ps 0.4 lc variable notitle\n")


def suspicion_plot(directory, events, begin):
    """Which controllers suspect which, as they said so."""
    views = [e for e in events if e["event"] == "view" and e["of"].startswith("controller-")]
    pairs = sorted({(e["of"], e["by"]) for e in views})
    states = {"alive": 2, "probed": 4, "relayed": 3, "suspected": 7, "unheard": 8}
    data = write_rows(directory, "suspicion", [(e["t"] - begin, pairs.index((e["of"], e["by"])), states[e["state"]])
                                               for e in views])
    return plot(directory, "suspicion", 200 + 14 * len(pairs), "set tmargin 6\nset xlabel 'seconds'\n" +
                tics([f"{of} by {by}" for of, by in pairs]) + fault_marks(events, begin) +
                f"set yrange [-1:{len(pairs)}]\nplot '{data}' using 1:2:3 with points pt 7 ps 0.6 lc variable notitle\n")


def distribution_plot(directory, measured):
    parts = []
    for field, title in (("condemned_s", "next token committed"), ("first_launch_s", "its first launch")):
        values = sorted(m[field] for m in measured if m[field] is not None)
        data = write_rows(directory, field, [(value, (i + 1) / len(values)) for i, value in enumerate(values)])
        if values:
            parts.append(f"'{data}' using 1:2 with steps lw 2 title '{title}'")
    if not parts:
        return "<p>no handover</p>"
    return plot(directory, "distribution", 320, "set xlabel 'seconds after the fault'\nset ylabel 'share of handovers'\n"
                "set yrange [0:1.05]\nplot " + ", ".join(parts) + "\n")


def table(measured):
    rows = "".join(f"<tr><td>{m['kind']}<td>{m['shard']}<td>{m['condemned_s']:.2f}<td>"
                   f"{'-' if m['first_launch_s'] is None else format(m['first_launch_s'], '.2f')}" for m in measured)
    return ("<table border=1 cellpadding=4><tr><th>fault<th>shard<th>next token, s<th>its first launch, s" + rows +
            "</table>")


def main():
    directory = sys.argv[1]
    events, machines = checker.load(directory)
    begin, end = events[0]["t"], max(events[-1]["t"], machines[-1]["t"])
    measured = checker.handovers(directory)
    sections = [("Leaders of the shards, by the state service", leaders_plot(directory, events, begin, end)),
                ("Tokens that the machines obey, by the agents", owners_plot(directory, events, machines, begin)),
                ("Suspicion, by the controllers", suspicion_plot(directory, events, begin)),
                ("Time to handover", distribution_plot(directory, measured) + table(measured))]
    body = "".join(f"<h2>{html.escape(title)}</h2>{content}" for title, content in sections)
    path = os.path.join(directory, "report.html")
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"<!DOCTYPE html><meta charset=utf-8><title>Loopback run</title><h1>Loopback run</h1>{body}")
    print(path)


if __name__ == "__main__":
    main()
