"""All routers restart after the store has come back from a copy.

TROUBLE=0 leaves out both disruptions, TROUBLE=drill and TROUBLE=kill play only
one of them. ERA0 is the first value of Store-Era.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from fleet import *  # noqa: E402

RECOVERY_S = 12
PER_SECOND = 10
KEPT_COPY_AT = 4
STORE_AWAY_AT = 7
STORE_BACK_AT = 8
KILL_AT = 11
RESTART_DELAY_S = 1
END_AT = 64

MODE = os.environ.get("TROUBLE", "1")
DRILL = MODE not in ("0", "kill")
KILL = MODE not in ("0", "drill")


async def serve(replica, head, reader, writer, attempt, method, target):
    body = await read_body(reader, head)
    replica.ran(attempt, method, target, body, head)
    await asyncio.sleep(0.03)
    await respond(writer, 200, replica.signed(attempt), b"answer to " + attempt.encode())
    return True


async def main(directory):
    record = Record(os.path.join(HERE, "record.txt"))
    store = Store()
    store.era = int(os.environ.get("ERA0", "0"))
    await store.start()
    replicas = [Replica(store, "board", "i-%d" % n, record, serve) for n in range(4)]
    for replica in replicas:
        await replica.start()

    def write_manifest(version):
        store.put("op/config", manifest(version, [route("status", "safe", "board",
                                                        timeout_ms=1200)],
                                        ["board"], {"parish": ["key-1"]}))

    write_manifest(7)
    routers = [Router(directory, store, "router-%d" % n, zone="zone-%s" % "ab"[n % 2])
               for n in range(4)]
    tasks = []
    try:
        for router in routers:
            await router.start()
        for router in routers:
            if not await router.ready():
                print("a router did not become ready")
                return 2
        await asyncio.sleep(2)
        begin = now()
        clock = lambda: now() - begin
        outcomes = []  # (time sent, served)

        async def check_in():
            while True:
                await asyncio.sleep(1.2)
                if not store.down:
                    for replica in replicas:
                        replica.register()

        async def request(number):
            attempt, sent, served = "r%d" % number, clock(), False
            # Requesters try another address after one that does not connect.
            for router in (routers[number % 4:] + routers[:number % 4]):
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
                except OSError:
                    continue
                try:
                    record("%s sent to %s" % (attempt, router.name))
                    writer.write(request_text("GET", "/status/now", attempt, deadline=2500))
                    head = await asyncio.wait_for(read_head(reader), 2.5)
                    body = await read_body(reader, head)
                    status = int(head.first.split(" ")[1])
                    record("%s answered %d by %s" % (attempt, status, router.name))
                    served = status == 200 and body == b"answer to " + attempt.encode()
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                    record("%s not answered: %r" % (attempt, error))
                writer.close()
                break
            outcomes.append((sent, served))

        back_at = [KILL_AT + RESTART_DELAY_S]

        async def disrupt():
            await asyncio.sleep(KEPT_COPY_AT)
            store.keep_copy()
            await asyncio.sleep(STORE_AWAY_AT - KEPT_COPY_AT)
            if DRILL:
                store.down = True
                record("the store is away")
            await asyncio.sleep(STORE_BACK_AT - STORE_AWAY_AT)
            if DRILL:
                store.restore()
                # The manifest is older than the copy; only the replicas wrote since.
                for replica in replicas:
                    replica.register()
                store.down = False
                record("the store is back from its copy, era %d" % store.era)
            await asyncio.sleep(KILL_AT - STORE_BACK_AT)
            # The final fault strikes right after a manifest is acknowledged.
            write_manifest(9)
            record("manifest 9 is acknowledged")
            if KILL:
                for router in routers:
                    router.signal(signal.SIGKILL)
                for router in routers:
                    await router.process.wait()
                record("all routers are killed")
                await asyncio.sleep(RESTART_DELAY_S)
                for router in routers:
                    await router.start()
                back_at[0] = clock()
                record("all routers are started again")

        tasks = [asyncio.create_task(check_in()), asyncio.create_task(disrupt())]
        number = 0
        requests = []
        while clock() < END_AT:
            number += 1
            requests.append(asyncio.create_task(request(number)))
            await asyncio.sleep(max(0, number / PER_SECOND - clock()))
        await asyncio.gather(*requests)
        await tasks[1]
        if any(router.could_not_bind() for router in routers):
            print("a router did not get its ports")
            return 2

        def share(first, last):
            found = [served for sent, served in outcomes if first <= sent < last]
            return sum(found), len(found)

        before = share(0, STORE_AWAY_AT)
        after = share(back_at[0] + RECOVERY_S, END_AT)
        print("served before: %d of %d; later than %d s after the restart: %d of %d"
              % (before + (RECOVERY_S,) + after))
        record("served before: %d of %d, after: %d of %d" % (before + after))
        if 4 * before[0] < before[1]:
            return 2
        return 1 if 4 * after[0] < after[1] else 0
    finally:
        for task in tasks:
            task.cancel()
        for router in routers:
            await router.end()


run_case(main)
