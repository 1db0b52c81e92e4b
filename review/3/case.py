"""A daemon that is killed twice forgets that its backend has left, and sends it work again."""

import asyncio
import itertools
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICE = "repair-desk"
ROUTES = [{"name": "r-orders", "host": "hulo84.example", "prefix": "/xapu221/ny95/",
           "kind": "unsafe", "timeout_ms": 2500, "target_latency_ms": 600, "priority": 1,
           "service": SERVICE, "attempts": 2}]
DEADLINE_MS = 2500
ORDERS_PER_S = 25.0
DOWN_S = 0.5
# Much longer than a transaction at the store takes.
SECOND_KILL_AFTER_S = 1.0
# How long the backend serves after its leave is acknowledged: "at times many seconds".
STAYS_S = 15.0
HEARTBEAT_LATE_S = 4.0


async def send_orders(record, machines, stop):
    """Sends orders, each a new request at a random machine, until `stop` is set."""
    tasks = []
    for number in itertools.count():
        if stop.is_set():
            break
        body = b'{"order": "%d"}' % number
        path = f"/xapu221/ny95/hut-{random.randrange(40)}/{number}"
        tasks.append(asyncio.ensure_future(fleet.send(
            record, random.choice(machines), "POST", path, body, DEADLINE_MS, f"order-{number}")))
        await asyncio.sleep(random.expovariate(ORDERS_PER_S))
    await asyncio.gather(*tasks)


async def leave(record, machine, late_heartbeat):
    """Lets the backend of `machine` leave, while its daemon is killed before and after."""
    backend = machine.backend
    if TROUBLE:
        machine.kill_daemon()
        await asyncio.sleep(DOWN_S)
        machine.start_daemon()
        await fleet.wait_until(machine.is_ready, 5.0, "the restarted daemon to be ready")
    status = await backend.tell(backend.leave())
    record("leave-told", backend=backend.id, status=status)
    if status != 200:
        raise fleet.CannotRun(f"the leave was answered with {status}")
    acknowledged_at = record.now()
    if TROUBLE:
        await asyncio.sleep(SECOND_KILL_AFTER_S)
        machine.kill_daemon()
        await asyncio.sleep(DOWN_S)
        machine.start_daemon()
    up_at = record.now()
    await late_heartbeat
    await asyncio.sleep(acknowledged_at + STAYS_S - record.now())
    backend.end()
    record("backend-end", backend=backend.id)
    await asyncio.sleep(3.0)
    return acknowledged_at, up_at


async def tell_late(record, backend, data):
    """Delivers a heartbeat that was sent now, seconds late."""
    record("heartbeat-sent", backend=backend.id, seq=backend.seq)
    await asyncio.sleep(HEARTBEAT_LATE_S)
    status = await backend.tell(data)
    record("heartbeat-arrived", backend=backend.id, status=status)


def check(record, backend, acknowledged_at, up_at):
    arrivals = [event for event in record.of("arrival") if event["backend"] == backend.id]
    # The machine itself is in touch again a stability window after its last start.
    bound_at = max(acknowledged_at + fleet.DRAIN_S, up_at + fleet.STABILITY_WINDOW_S)
    sent_at = {event["request"]: event["at"] for event in record.of("sent")}
    late = [event for event in arrivals
            if event["at"] > bound_at and sent_at[event["request"]] > bound_at]
    answered = {event["request"]: event["status"] for event in record.of("answered")}
    lost = [event for event in late if answered.get(event["request"]) != 200]
    print(f"the leave was acknowledged at {acknowledged_at:.2f} s, the daemon up at {up_at:.2f} s; "
          f"{len(late)} requests sent later than {bound_at:.2f} s reached the backend, "
          f"{len(lost)} of them were not answered with 200")
    return not late


async def case(record):
    deployment = fleet.Fleet(record, [SERVICE] * 6, {"work_s": (0.15, 0.3)})
    try:
        await deployment.start(ROUTES)
        machine = deployment.machines[0]
        backend = machine.backend
        stop = asyncio.Event()
        orders = asyncio.ensure_future(send_orders(record, deployment.machines, stop))
        await asyncio.sleep(5.0)
        deployment.stop_beats(machine)
        late = asyncio.ensure_future(tell_late(record, backend, backend.heartbeat("ready")))
        await asyncio.sleep(0.1)
        acknowledged_at, up_at = await leave(record, machine, late)
        stop.set()
        await orders
    finally:
        await deployment.stop()
    return check(record, backend, acknowledged_at, up_at)


fleet.main(FOLDER, case)
