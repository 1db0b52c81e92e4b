"""Uploads in chunks whose clients have left stay in the queue and are handed to backends later."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
sys.dont_write_bytecode = True

from standins import Deployment, Record, call, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With CHUNKED=0 the same bodies are sent with a length.
CHUNKED = os.environ.get("CHUNKED", "1") != "0"
HOST = "court.example"
# `evidence-upload` of the site.
SERVICES = ["evidence-hall"] * 3 + ["booking-desk"] * 3
WORK_S, AIM_MS, TIMEOUT_MS, DEADLINE_MS = 0.26, 1000, 4000, 6000
BODY = b"statement " * 2000
PER_S = 78
# `burst`: x 1.6 for 5 s, ten times; `give_up` meanwhile: share 0.3, within half of the objective.
BURST_X, BURST_S, PAUSE_S, BURSTS = 1.6, 5.0, 2.0, 10
LEAVE_SHARE, LEAVE_MAX_S = 0.3, AIM_MS / 2000
# GONE: "more than a few requests reach a backend over half a second later".
LATE_S, FEW = 0.5, 5


async def play(record):
    random.seed(7)
    deployment = Deployment(record, SERVICES, work_s=WORK_S)
    left, arrived, statuses = {}, {}, {}
    write = record.write

    def watch(what, **fields):
        if what == "left":
            left[fields["id"]] = time.monotonic()
        if what == "arrived":
            arrived.setdefault(fields["id"], time.monotonic())
        if what == "answered":
            statuses[fields["status"]] = statuses.get(fields["status"], 0) + 1
        write(what, **fields)

    record.write = watch
    try:
        await deployment.start([
            route("evidence-upload", HOST, "/evidence/", "upload", "evidence-hall", TIMEOUT_MS,
                  AIM_MS),
            route("book-aid", HOST, "/book/", "unsafe", "booking-desk", 4000, 800),
        ])
        calls, due, began = [], 0.0, time.monotonic()
        while due < BURSTS * (BURST_S + PAUSE_S):
            in_burst = TROUBLE and due % (BURST_S + PAUSE_S) < BURST_S
            due += 1 / (PER_S * (BURST_X if in_burst else 1.0))
            leaves = in_burst and random.random() < LEAVE_SHARE
            machine = deployment.machines[len(calls) % len(deployment.machines)]
            calls.append(asyncio.create_task(call(
                record, machine, "POST", HOST, "/evidence/2f", DEADLINE_MS, body=BODY,
                chunked=CHUNKED,
                leave_after_s=random.uniform(0.0, LEAVE_MAX_S) if leaves else None)))
            await asyncio.sleep(max(0.0, began + due - time.monotonic()))
        await asyncio.gather(*calls)
        await asyncio.sleep(1.0)
        after = [arrived[id] - at for id, at in left.items() if arrived.get(id, 0.0) > at + 0.02]
        late = sum(1 for delay in after if delay > LATE_S)
        print(f"{len(calls)} uploads; {len(left)} clients left; {len(after)} of their requests "
              f"reached a backend afterwards, {late} over {LATE_S} s later (a few: {FEW}); answers "
              f"{statuses}")
        return 1 if late > FEW else 0
    finally:
        await deployment.close()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 110))
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        code = 2
    record.close()
    sys.exit(code)


main()
