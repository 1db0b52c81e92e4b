"""Two machines lose the store, and the others of their zone serve an old configuration for too long."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
sys.dont_write_bytecode = True

import standins  # noqa: E402
from standins import (  # noqa: E402
    BOUNDS, Deployment, Machine, Record, Store, new_id, read_body, read_head, request_bytes,
    response, route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "huts.example"
SERVICES = ["status-board", "repair-desk"] * 3
# Outer: the bound of configuration is stretched by `stretch_max_ms` at most.
BOUND_S = BOUNDS["config_propagation_ms"] / 1000 + 5.0
# `platform_down`, how "nodes silent": share 0.35 of the machines for 9 s.
OUTAGE_S = 9.0
ROUNDS = 1
CALM_S = 12.0
standins.ZONES[:] = ["sapporo"]


class PartialStore(Store):
    """A store with one address for each machine, which may leave some machines without answers."""

    def __init__(self, address):
        super().__init__(address)
        self.without_answers = set()
        self.calls_lost = 0
        self.pollers = {}
        self.unchanged_at = 0.0

    async def serve(self, reader, writer):
        machine = writer.get_extra_info("sockname")[0]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if "/api/rows-feed" in target:
                    self.pollers[machine] = time.monotonic()
                lost_before = self.calls_lost
                is_lost = machine in self.without_answers
                status, answer = await self.answer(method, target, body)
                # A call that came before the outage and would be answered in it is lost as well.
                if is_lost or machine in self.without_answers or (
                        lost_before != self.calls_lost and machine in self.last_outage):
                    await asyncio.sleep(3600)
                if "/api/rows-feed" in target and not answer["rows"]:
                    self.unchanged_at = time.monotonic()
                await asyncio.sleep(0.004)
                answer["now_ms"] = int(time.monotonic() * 1000)
                text = json.dumps(answer).encode()
                writer.write(response(status, text, {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    last_outage = frozenset()

    def begin_outage(self, machines):
        self.last_outage = frozenset(machines)
        self.without_answers = set(machines)
        self.calls_lost += 1

    def end_outage(self):
        self.without_answers = set()


standins.Store = PartialStore


class OwnAddressMachine(Machine):
    """A machine that reaches the store by an address of its own."""

    def write_settings(self, bootstrap):
        super().write_settings(bootstrap)
        with open(self.settings, encoding="utf-8") as file:
            settings = json.load(file)
        settings["store_address"] = f"{self.ip}:{self.deployment.ports['store']}"
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)


standins.Machine = OwnAddressMachine


def routes(service):
    """The operator's routes; the first one moves between two services."""
    return [
        route("hut-status-read", HOST, "/hut/", "safe", service, 1000, 500),
        route("board", HOST, "/board/", "safe", "status-board", 1000, 500),
        route("desk", HOST, "/desk/", "safe", "repair-desk", 1000, 500),
    ]


async def ask(record, machine):
    """Sends one read of the moving route; returns when it was sent and who answered."""
    reader, writer = await asyncio.open_connection(*machine.outbound)
    try:
        request_id, sent_at = new_id(), time.monotonic()
        writer.write(request_bytes("GET", HOST, "/hut/2f", request_id, 900))
        head = await asyncio.wait_for(read_head(reader), 1.2)
        body = await read_body(reader, head[1])
        record.write("answered", id=request_id, machine=machine.name,
                     by=body.decode().split(" ")[0])
        return sent_at, body.decode().split(" ")[0]
    finally:
        writer.close()


async def follow(record, machine, service_of, old, until):
    """Returns when the last request was sent that the old service ran."""
    last = None
    while time.monotonic() < until:
        try:
            sent_at, backend = await ask(record, machine)
            if service_of.get(backend) == old:
                last = sent_at
        except (OSError, TypeError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return last


async def play(record):
    deployment = Deployment(record, SERVICES, work_s=0.02)
    store = deployment.store

    async def start_store():
        for machine in deployment.machines:
            await asyncio.start_server(store.serve, machine.ip, deployment.ports["store"])

    store.start = start_store
    worst = 0.0
    try:
        await deployment.start(routes(SERVICES[0]))
        service_of = {machine.backend.id: machine.service for machine in deployment.machines}
        for number in range(ROUNDS):
            old, new = SERVICES[number % 2], SERVICES[(number + 1) % 2]
            await asyncio.sleep(CALM_S)
            # Those that have a poll open are the two that pass changes on to the others.
            cut = sorted(store.pollers, key=store.pollers.get)[-2:]
            cut = set(cut) if len(set(cut)) == 2 else set(store.pollers)
            seen, wait_until = store.unchanged_at, time.monotonic() + 8
            while store.unchanged_at == seen and time.monotonic() < wait_until:
                await asyncio.sleep(0.02)
            if TROUBLE:
                store.begin_outage(cut)
                record.write("outage_began", machines=sorted(cut))
            await asyncio.sleep(0.2)
            deployment.configure(routes(new))
            acknowledged_at = time.monotonic()
            served = [machine for machine in deployment.machines if machine.ip not in cut]
            until = acknowledged_at + OUTAGE_S + 1.0
            followers = [asyncio.create_task(follow(record, machine, service_of, old, until))
                         for machine in served]
            await asyncio.sleep(OUTAGE_S - 0.2)
            store.end_outage()
            record.write("outage_ended")
            ages = {}
            for machine, last in zip(served, await asyncio.gather(*followers)):
                ages[machine.name] = round(last - acknowledged_at, 2) if last else 0.0
            worst = max(worst, *ages.values())
            print(f"round {number + 1}: {len(cut)} machines without the store; last read by the "
                  f"old service after the acknowledgement, at the machines that the store "
                  f"serves, s: {ages}")
        return 1 if worst > BOUND_S else 0
    finally:
        await deployment.close()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 115))
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        code = 2
    record.close()
    sys.exit(code)


main()
