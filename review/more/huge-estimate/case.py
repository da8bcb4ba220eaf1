"""A job whose two steps have an `estimate_ms` of 1.2e22 each is handed in.

TROUBLE=0: the same job with estimates of 150 ms.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(HERE)))

from standins import Deployment, job, main  # noqa: E402


async def case(record, trouble):
    deployment = Deployment(record, workers=4, cpu=8000)
    try:
        await deployment.start()
        await deployment.until_serving()
        estimate = 1.2e22 if trouble else 150
        steps = [{"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": estimate},
                 {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": estimate, "after": [0]}]
        _, accepted = await deployment.clients.submit(job(steps, [100, 200]))
        await asyncio.sleep(10.0)
        ended = [daemon.name for daemon in deployment.daemons if daemon.process.poll() is not None]
        text = "the job was %s; daemons that ended by themselves: %s" % ("accepted" if accepted else "not accepted", ended)
        record.line(text)
        print(text)
        return bool(ended)
    finally:
        deployment.close()


main(case, HERE)
