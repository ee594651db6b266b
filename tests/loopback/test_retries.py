"""Tests with real controllers that a submission in other words is the same job, at every controller and after
a restart of all of them.

    python3 tests/loopback/test_retries.py DIRECTORY CONTROLLER AGENT
"""

import asyncio
import json
import sys
import time
from typing import Any

import unknown_members
from cluster import Cluster, Programs
from controller import Controller
from http_messages import read_body
from settings import FRONT_PORT, Settings

CONTROLLERS, WORDINGS, SEED = 3, 20, 5
START_TIMEOUT_S, REQUEST_TIMEOUT_S, RETRY_S = 60, 5, 0.5
STATUS_OK, STATUS_CREATED, STATUS_MALFORMED = 200, 201, 400

JOB = {
    "ref": "run-000412",
    "flock": "tr\u00e4in",
    "roost": "ops",
    "shape": "batch",
    "rank": "standard",
    "talons": 3,
    "cores": 1.0,
    "gpus": 0,
    "ram_gb": 1.5,
    "plumage": "none",
    "image_gb": 0.0,
    "breeds": None,
    "range": None,
    "same_place": False,
    "scatter": False,
    "windfall": False,
    "flight_s": 600.0,
    "molt_s": 0.0,
    "preen_s": 0.0,
    "dusk_s": None,
}
OPTIONAL = ("breeds", "range", "dusk_s")
# Other spellings of members, each with the same meaning.
SPELLINGS = [
    ('"talons":3', '"talons":3.0'),
    ('"talons":3', '"talons" : 30e-1'),
    ('"cores":1.0', '"cores":1'),
    ('"ram_gb":1.5', '"ram_gb":\t15E-1'),
    ('"flock":"tr\\u00e4in"', '"fl\\u006fck":"\\u0074r\u00e4in"'),
    ('"gpus":0', '"gpus":-0.0'),
]
HEADS = [
    "Content-Length: {}",
    "content-length:{}",
    "CONTENT-LENGTH: \t{} ",
    "X-Unknown: a\r\nContent-Length: {}",
]


def wordings() -> list[bytes]:
    """The job in other words: other order, spelling, unknown members, and absent in place of null."""
    unknown_members.seed(SEED)
    short = {name: value for name, value in JOB.items() if name not in OPTIONAL}
    texts = [unknown_members.encode(JOB if i % 2 else short) for i in range(WORDINGS)]
    plain = json.dumps(JOB, separators=(",", ":"))
    for old, new in SPELLINGS:
        assert old in plain, old
        texts.append(plain.replace(old, new).encode())
    return texts


async def post(controller: Controller, text: bytes, head: str) -> tuple[int, Any]:
    """Submits a text with this spelling of the header; returns status and body of the answer."""
    reader, writer = await asyncio.open_connection(controller.address, FRONT_PORT + 1)
    try:
        header = head.format(len(text))
        writer.write(f"POST /v2/runs HTTP/1.1\r\n{header}\r\n\r\n".encode() + text)
        status = int((await reader.readline()).split()[1])
        return status, json.loads(await read_body(reader))
    finally:
        writer.close()


async def submit(controller: Controller, text: bytes, head: str = HEADS[0]) -> tuple[int, Any]:
    """Submits a text until a controller answers it for good."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            status, answer = await asyncio.wait_for(post(controller, text, head), REQUEST_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError):
            status, answer = 0, None
        if status in (STATUS_OK, STATUS_CREATED, STATUS_MALFORMED):
            return status, answer
        assert time.monotonic() < deadline, f"{controller.name} answers {status}"
        await asyncio.sleep(RETRY_S)


async def check_retries(cluster: Cluster) -> None:
    """Every wording is a retry of the job at every controller."""
    for controller in cluster.controllers:
        for i, text in enumerate(wordings()):
            status, answer = await submit(controller, text, HEADS[i % len(HEADS)])
            assert status == STATUS_OK, (controller.name, status, answer, text)
            assert answer["ref"] == JOB["ref"] and answer["stance"] == "queued", answer


async def check_refusal(cluster: Cluster) -> None:
    """A text that is not JSON is refused, and the log tells where it is not."""
    controller = cluster.controllers[0]
    status, _ = await submit(controller, b'{"ref":"run-000500","x":01}')
    assert status == STATUS_MALFORMED, status
    lines = list(controller.log_lines("malformed request refused: interface=user"))
    assert any("byte 25: " in line for line in lines), lines


async def run(directory: str, controller: str, agent: str) -> None:
    """Carries out all checks on one cluster without machines, so that the job stays queued."""
    settings = Settings(["a"], None)
    cluster = Cluster(directory, Programs(controller, agent), CONTROLLERS, settings)
    await cluster.start([])
    try:
        status, _ = await submit(cluster.controllers[0], wordings()[0])
        assert status == STATUS_CREATED, status
        await check_retries(cluster)
        await check_refusal(cluster)
        for node in cluster.controllers:
            cluster.kill_controller(node)
        for node in cluster.controllers:
            cluster.start_controller(node)
        await check_retries(cluster)
    finally:
        await cluster.stop()


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:4]))
    print("retries in other words are the same job")
