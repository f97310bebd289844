"""LOST: one event with wrong bytes ends the router that relays it, and with it the requests of all its callers."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet  # noqa: E402

ROUTERS = 2
REPLICAS = 6
FAULTY_REPLICAS = 2  # a share of 0.33; the site's is 0.35
SPOIL_EVERY = 50  # a share of 0.02 of their answers, as in the site file
CLIENTS = 100
TRAFFIC_S = 14
SPOIL_FROM_S, SPOIL_TO_S = 4, 9  # 5 s; the site's is 5.5 s
FIRST_EVENT_S = 0.6
RESTART_DELAY_S = 0.3
MAX_LOST = 3
# Shorter than the 1 MiB that a router takes as one event.
NESTING = 200_000
SPOILED_DATA = '{"usage":{"prompt":' + "[" * NESTING + "]" * NESTING + "}}"


class Engine(fleet.Replica):
    """Reads the prompt before it makes the first event."""

    async def run(self, attempt, request, writer):
        self.record_run(attempt, request)
        await asyncio.sleep(FIRST_EVENT_S)
        await self.stream(attempt, request, writer)


class FaultyEngine(Engine):
    """Hands out wrong bytes in the last event of some of its answers."""

    spoiling = False
    answers = 0
    spoiled = 0

    def event(self, attempt, number):
        if number == self.events:
            self.answers += 1
            if self.spoiling and self.answers % SPOIL_EVERY == 0:
                self.spoiled += 1
                self.record.write("spoiled_event", replica=self.name, attempt=attempt, bytes=len(SPOILED_DATA))
                return f"id: {number}\ndata: {SPOILED_DATA}\n\n".encode()
        return super().event(attempt, number)


async def case(record, directory, trouble):
    store = fleet.Store(record)
    await store.listen()
    replicas = []
    for number in range(REPLICAS):
        kind = FaultyEngine if number < FAULTY_REPLICAS else Engine
        replicas.append(kind(store, record, "precentor-llm", f"i-{number}"))
        await replicas[-1].start()
    store.put("op/config", fleet.manifest(7, {"kirk": ["key-kirk"]}, ["precentor-llm"], [
        ("draft", "/stream/", "streaming", "precentor-llm",
         {"timeout_ms": 10000, "target_latency_ms": 1200, "resumable": False, "gap_target_ms": 800})]))
    routers = [fleet.Router(f"edge-{number}", f"zone-{number}", store.port, directory, record)
               for number in range(ROUTERS)]
    lost = []
    answers = {}
    stopping = asyncio.Event()
    ends = []
    watcher = None
    try:
        for router in routers:
            router.start()
        for router in routers:
            if not await fleet.wait_until(router.ready, 10):
                raise RuntimeError(f"{router.name} is not ready")
        watcher = asyncio.create_task(restart_ended(record, routers, stopping, ends))
        start = record.now()
        tasks = [asyncio.create_task(client(record, routers[number % ROUTERS], number, start, answers, lost))
                 for number in range(CLIENTS)]
        await asyncio.sleep(SPOIL_FROM_S)
        for replica in replicas[:FAULTY_REPLICAS]:
            replica.spoiling = trouble
        await asyncio.sleep(SPOIL_TO_S - SPOIL_FROM_S)
        for replica in replicas[:FAULTY_REPLICAS]:
            replica.spoiling = False
        await asyncio.gather(*tasks)
    finally:
        stopping.set()
        if watcher:
            await watcher
        for router in routers:
            router.kill()
        for replica in replicas:
            replica.stop()
        store.stop()
    sound_runs = {attempt for replica in replicas[FAULTY_REPLICAS:] for attempt in replica.runs}
    counts = {router.name: sum(name == router.name and attempt in sound_runs for name, attempt in lost)
              for router in routers}
    spoiled = sum(replica.spoiled for replica in replicas[:FAULTY_REPLICAS])
    served = sum(answer == 200 for answer in answers.values())
    record.write("summary", requests=len(answers), served=served, spoiled_events=spoiled, router_ends=ends,
                 kept_channels_closed_without_answer=counts)
    if served < len(answers) / 2 or (trouble and spoiled == 0):
        raise RuntimeError("too few requests were served, or no answer was spoiled")
    return max(counts.values()) <= MAX_LOST


async def restart_ended(record, routers, stopping, ends):
    """Restarts a router that ended by itself after a short delay, as the platform does."""
    while not stopping.is_set():
        for router in routers:
            if router.ended() is not None:
                ends.append(router.ended())
                record.write("router_ended_by_itself", router=router.name, status=router.ended())
                await asyncio.sleep(RESTART_DELAY_S)
                router.start()
        await asyncio.sleep(0.05)


async def client(record, router, number, start, answers, lost):
    """Sends streams on a kept channel; notes those whose channel ended without the head of an answer."""
    rng = random.Random(number)
    channel = fleet.Channel(router.caller_port)
    sequence = 0
    while record.now() - start < TRAFFIC_S:
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        sequence += 1
        attempt = f"s{number}-{sequence}"
        kept = channel.answered > 0
        record.write("sent", attempt=attempt, router=router.name, kept_channel=int(kept))
        try:
            answer = await channel.send("POST", "/stream/draft", attempt, "key-kirk", 10000, b"psalm 23")
        except (OSError, asyncio.TimeoutError):
            channel.close()
            record.write("not_sent", attempt=attempt)
            continue
        answers[attempt] = answer.status if answer.complete else None
        record.write("answered", attempt=attempt, status=answer.status, complete=answer.complete)
        if kept and answer.status is None:
            lost.append((router.name, attempt))
    channel.close()


fleet.run_case(FOLDER, case)
