"""Machines of the system are replaced one after the other. Then an executor is lost for good, and the owner is replaced.

TROUBLE=0: no machine is replaced and no executor is lost.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins import CannotRun, Daemon, Deployment, StandstillWatch, job, main, now  # noqa: E402

# One of 16 executors is lost: 0.0625 of them, less than the 0.14 of the site file.
EXECUTORS = 16
DAEMONS = 3
# After this many the rows of absent members are more than half of all.
REPLACEMENTS = 4
GAP_S = 6.0
# A new machine comes 2 s after the old one has gone, as in the site file.
NEW_AFTER_S = 2.0
WATCHED_S = 45.0
SMALL = [{"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 200},
         {"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 200, "after": [0]}]


async def case(record, trouble):
    deployment = Deployment(record, workers=EXECUTORS, daemons=DAEMONS, cpu=8000)
    try:
        await deployment.start()
        await deployment.until_serving()
        clients = deployment.clients
        watch = StandstillWatch(deployment, record)

        async def traffic():
            while True:
                deployment.spawn(clients.submit(job(SMALL, [100, 300])))
                await asyncio.sleep(0.5)

        async def replace(old, number):
            record.line("daemon %s is gone for good" % old.name)
            deployment.remove(old)
            watch.disturbed(now() + NEW_AFTER_S)
            await asyncio.sleep(NEW_AFTER_S)
            new = Daemon(DAEMONS + number, deployment.folder, deployment.store.address, deployment.zones[number % 3])
            new.start()
            deployment.daemons.append(new)
            record.line("daemon %s is added at another address" % new.name)

        deployment.spawn(traffic())
        await asyncio.sleep(3.0)
        for number in range(REPLACEMENTS):
            if trouble:
                await replace(deployment.owner(), number)
            await asyncio.sleep(GAP_S)
        if trouble:
            gone = max(deployment.workers, key=lambda worker: len(worker.running))
            gone.crash()
            record.line("executor %s is lost for good" % gone.id)
            await asyncio.sleep(0.5)
            await replace(deployment.owner(), REPLACEMENTS)
        until = now() + WATCHED_S
        while now() < until:
            watch.look()
            await asyncio.sleep(0.25)
        owner = deployment.owner()
        if owner is None or any(daemon.process.poll() is not None for daemon in deployment.daemons):
            raise CannotRun("a daemon has ended")
        states = {}
        for ident in list(clients.jobs):
            state = str(await clients.state(ident))
            states[state] = states.get(state, 0) + 1
        text = "%d jobs accepted, shown as %s; %d stood still for 3 s" % (len(clients.jobs), states, len(watch.lost))
        record.line(text)
        print(text)
        return bool(watch.lost)
    finally:
        deployment.close()


main(case, HERE)
