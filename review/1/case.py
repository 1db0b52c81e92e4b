"""The store falls silent in a series of changes, and changes after its return aren't in force."""

import asyncio
import itertools
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

OLD, NEW = "repair-desk", "supply-desk"
DEADLINE_MS = 2500
READS_PER_S = 30.0
# The doses of the site file hut-logbook for `config_storm` and `platform_down`.
SERIES_S, SERIES_GAP_S = 2.0, 0.08
SILENT_S = 8.0
CONFIG_PROPAGATION_S = 2.0


def routes(moved_to, timeout_ms):
    """Returns the routes: a moved one, and one whose timeout the series of changes alters."""
    route = {"host": "hulo84.example", "kind": "safe", "target_latency_ms": 500, "priority": 1,
             "attempts": 2}
    return [
        {**route, "name": "r-moved", "prefix": "/moved/", "service": moved_to, "timeout_ms": 2500},
        {**route, "name": "r-other", "prefix": "/other/", "service": OLD,
         "timeout_ms": timeout_ms},
    ]


async def send_reads(record, machines, stop):
    """Sends reads of the moved route, each a new request at a random machine."""
    tasks = []
    for number in itertools.count():
        if stop.is_set():
            break
        tasks.append(asyncio.ensure_future(fleet.send(
            record, random.choice(machines), "GET", f"/moved/{number}", b"", DEADLINE_MS,
            f"read-{number}")))
        await asyncio.sleep(random.expovariate(READS_PER_S))
    await asyncio.gather(*tasks)


async def fall_silent(record, store):
    await asyncio.sleep(SERIES_S / 2)
    store.is_silent = True
    record("store-silent")
    await asyncio.sleep(SILENT_S)
    store.is_silent = False
    record("store-back")


async def change(record, deployment, version, moved_to, timeout_ms):
    """Writes a configuration as the operator, who waits while the store doesn't answer."""
    while deployment.store.is_silent:
        await asyncio.sleep(0.02)
    deployment.apply(version, routes(moved_to, timeout_ms))
    return record.now()


def check(record, moved_at):
    bound_at = moved_at + CONFIG_PROPAGATION_S
    sent_at = {event["request"]: event["at"] for event in record.of("sent")}
    late = [event for event in record.of("run") if sent_at[event["request"]] > bound_at]
    stale = [event for event in late if event["backend"].startswith(f"i-{OLD}-")]
    last = max((sent_at[event["request"]] for event in stale), default=bound_at)
    print(f"the route was moved at {moved_at:.2f} s; {len(late)} reads sent later than "
          f"{bound_at:.2f} s ran, {len(stale)} of them at the old service, the last one sent "
          f"{last - moved_at:.1f} s after the move")
    return not stale


async def case(record):
    deployment = fleet.Fleet(record, [OLD, NEW] * 6)
    try:
        await deployment.start(routes(OLD, 2000))
        stop = asyncio.Event()
        reads = asyncio.ensure_future(send_reads(record, deployment.machines, stop))
        await asyncio.sleep(3.0)
        silence = fall_silent(record, deployment.store) if TROUBLE else asyncio.sleep(SILENT_S + 1)
        silence = asyncio.ensure_future(silence)
        version = 10
        for _ in range(int(SERIES_S / SERIES_GAP_S)):
            version += 3
            await change(record, deployment, version, OLD, 1000 + version)
            await asyncio.sleep(SERIES_GAP_S)
        await silence
        # The store is stable, and the machines are in touch, a stability window after its return.
        await asyncio.sleep(fleet.STABILITY_WINDOW_S + 1.0)
        moved_at = await change(record, deployment, version + 3, NEW, 2000)
        await asyncio.sleep(25.0)
        stop.set()
        await reads
    finally:
        await deployment.stop()
    return check(record, moved_at)


fleet.main(FOLDER, case)
