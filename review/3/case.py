"""A backend that has crashed and leaves soon after its return gets work again by a late heartbeat."""

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
ORDERS_PER_S = 60.0
# As `srv_crash` of the site file hut-logbook: one backend is down for 4.5 s.
CRASHED_S = 4.5
LEAVES_AFTER_S = 1.0
HEARTBEAT_LATE_S = 4.0
# How long the backend serves after its leave is acknowledged: "at times many seconds".
STAYS_S = 15.0


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


async def tell_late(record, backend, data):
    """Delivers a heartbeat that is sent now, seconds late."""
    record("heartbeat-sent", backend=backend.id, seq=backend.seq)
    await asyncio.sleep(HEARTBEAT_LATE_S)
    status = await backend.tell(data)
    record("heartbeat-arrived", backend=backend.id, status=status)


async def crash_and_leave(record, deployment, machine):
    """Returns when the leave of the machine's backend was acknowledged."""
    backend = machine.backend
    deployment.stop_beats(machine)
    if TROUBLE:
        backend.end()
        record("backend-crashed", backend=backend.id)
        await asyncio.sleep(CRASHED_S)
        await backend.start()
    late = asyncio.ensure_future(tell_late(record, backend, backend.heartbeat("ready")))
    await asyncio.sleep(LEAVES_AFTER_S)
    status = await backend.tell(backend.leave())
    record("leave-told", backend=backend.id, status=status)
    if status != 200:
        raise fleet.CannotRun(f"the leave was answered with {status}")
    acknowledged_at = record.now()
    await late
    await asyncio.sleep(acknowledged_at + STAYS_S - record.now())
    backend.end()
    record("backend-end", backend=backend.id)
    await asyncio.sleep(3.0)
    return acknowledged_at


def check(record, backend, acknowledged_at):
    # The crash isn't a disruption of the machine, and nothing else is disturbed, so all machines are
    # in touch.
    bound_at = acknowledged_at + fleet.DRAIN_S
    late = [event for event in record.of("arrival")
            if event["backend"] == backend.id and event["at"] > bound_at]
    answered = {event["request"]: event["status"] for event in record.of("answered")}
    lost = [event for event in late if answered.get(event["request"]) != 200]
    print(f"the leave was acknowledged at {acknowledged_at:.2f} s; {len(late)} requests reached the "
          f"backend later than {bound_at:.2f} s, {len(lost)} of them were not answered with 200")
    return not late


async def case(record):
    deployment = fleet.Fleet(record, [SERVICE] * 6, {"work_s": (0.15, 0.3)})
    try:
        await deployment.start(ROUTES)
        machine = deployment.machines[0]
        stop = asyncio.Event()
        orders = asyncio.ensure_future(send_orders(record, deployment.machines, stop))
        await asyncio.sleep(5.0)
        acknowledged_at = await crash_and_leave(record, deployment, machine)
        stop.set()
        await orders
    finally:
        await deployment.stop()
    return check(record, machine.backend, acknowledged_at)


fleet.main(FOLDER, case)
