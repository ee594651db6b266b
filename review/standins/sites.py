"""Small deployments, with the figures of the site files."""

KOYUN = {
    "name": "koyun",
    "cores": 64.0,
    "gpus": 0.0,
    "ram_gb": 256.0,
    "cache_gb": 50.0,
    "pull_gb_per_s": 0.3,
    "hourly": 4.24,
    "low_price": 1.16,
    "boot_s": 20.0,
    "ranges": ["antalya-a", "izmir-b", "istanbul-c", "bodrum-d"],
}
YAVRU = {
    "name": "yavru",
    "cores": 16.0,
    "gpus": 2.0,
    "ram_gb": 128.0,
    "cache_gb": 60.0,
    "pull_gb_per_s": 1.0,
    "hourly": 7.46,
    "low_price": 2.05,
    "boot_s": 25.0,
    "ranges": ["antalya-a", "izmir-b", "bodrum-d"],
}

# The example in PROTOCOL, "GET /machine_types".
G8 = {
    "name": "g8",
    "cores": 96.0,
    "gpus": 8.0,
    "ram_gb": 768.0,
    "cache_gb": 200.0,
    "pull_gb_per_s": 1.0,
    "hourly": 12.0,
    "low_price": 4.5,
    "boot_s": 45.0,
    "ranges": ["antalya-a", "izmir-b", "istanbul-c", "bodrum-d"],
}


def objective(kind, flock, within_s, share):
    """One of params.objectives."""
    return {"kind": kind, "class": flock, "within_s": within_s, "share": share}


# temizyol-ops: 3 controllers with its shares and limits, and two of its machines.
TEMIZYOL = {
    "areas": ["antalya-a", "izmir-b", "istanbul-c"],
    "zones": ["antalya-a", "bodrum-d", "istanbul-c", "izmir-b"],
    "types": [KOYUN, YAVRU],
    "machines": [("koyun", "antalya-a", False), ("yavru", "izmir-b", False)],
    "capacity": {},
    "teams": [{"name": "ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [
        objective("wait", "rotacoz", 25.0, 0.82),
        objective("finished", "rotacoz", 100.0, 0.82),
        objective("finished", "kirisim", 180.0, 0.92),
        objective("finished", "terazi", 60.0, 0.82),
        objective("finished", "terazi", 120.0, 0.975),
    ],
    "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
    "state": {"rps": 80.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8},
    "cloud": {"rps": 3.0, "list_lag_s": 10.0},
    "quota": {"core_share": 0.096, "memory_mb": 56.0, "sockets": 800},
}


def job(ref, flock, shape, talons, cores, gpus, ram_gb, run_s, **other):
    """A submission, and `run_s`, how long its tasks really run (0: until they are stopped)."""
    return {
        "ref": ref,
        "flock": flock,
        "roost": "ops",
        "shape": shape,
        "rank": "standard",
        "talons": talons,
        "cores": cores,
        "gpus": gpus,
        "ram_gb": ram_gb,
        "plumage": f"img-{flock}",
        "image_gb": 1.0,
        "breeds": None,
        "range": None,
        "same_place": False,
        "scatter": False,
        "windfall": True,
        "flight_s": float(run_s),
        "molt_s": 0.0,
        "preen_s": 0.0,
        "dusk_s": None,
        "run_s": run_s,
        **other,
    }
