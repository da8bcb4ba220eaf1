"""A large job comes beside the usual small ones: 4,000 tasks that write checkpoints.

TROUBLE=0: the same small jobs without the large one.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(HERE)))

from standins import BOUNDS, Deployment, StandstillWatch, job, main, now  # noqa: E402

EXECUTORS = 8
SECONDS = 75
# 4,000 tasks of 0.05 cores: 200 of the 512 cores, so that more than half of the service stays free.
LARGE = {"count": 4000, "cpu": 50, "mem_mb": 50, "estimate_ms": 60000, "checkpointing": True}
SMALL = [{"count": 8, "cpu": 500, "mem_mb": 100, "estimate_ms": 200},
         {"count": 8, "cpu": 500, "mem_mb": 100, "estimate_ms": 200, "after": [0]}]


async def case(record, trouble):
    deployment = Deployment(record, workers=EXECUTORS, cpu=64000)
    try:
        await deployment.start()
        await deployment.until_serving()
        clients = deployment.clients
        watch = StandstillWatch(deployment, record)
        began = now()
        watch.disturbed(began)

        async def traffic():
            while now() < began + SECONDS - 15:
                deployment.spawn(clients.submit(job(SMALL, [100, 300])))
                await asyncio.sleep(0.1)

        deployment.spawn(traffic())
        large = None
        while now() < began + SECONDS:
            if trouble and large is None and now() > began + 8:
                large, accepted = await clients.submit(job([LARGE], [30000, 150000], checkpoints=True))
                record.line("the large job %s: %s" % (large, "accepted" if accepted else "not accepted"))
            watch.look()
            await asyncio.sleep(0.5)
        states = {}
        for ident in (ident for ident in clients.jobs if ident != large):
            state = str(await clients.state(ident))
            states[state] = states.get(state, 0) + 1
        listed = sum(worker.count for worker in deployment.workers)
        late = sum(1 for worker in deployment.workers for end in worker.ended if now() - end[5] > BOUNDS["ack_ms"] / 1000)
        text = ("small jobs are shown as %s, 15 s after the last was handed in; %d stood still for 3 s; %.0f%% of the listed ends not "
                "taken note of in 4 s; %d writes refused by the store"
                % (states, len(watch.lost), 100 * late / max(1, listed), deployment.store.refused_writes))
        record.line(text)
        print(text)
        return bool(watch.lost)
    finally:
        deployment.close()


main(case, HERE)
