"""Jobs of a queue with advice never start where the advice takes longer than a fixed time: see claim.txt."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit-2"))
import standins  # noqa: E402

HOST, PREFIX = "quotes.example", "/quotes/"
FINISH_S = 14
JOBS = [f"{number:016x}" for number in range(0x100, 0x100 + 6)]
WORK = "def seconds(task):\n    return 0.4\n"


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rule = {"decide_ms": 100, "each_ms": 100 if trouble else 20, "validity_ms": 3000}
    ample = {"cpu": 16000, "mem_mb": 32768, "gpus": 0}
    executors = [{"capacity": ample, "labels": ["a", f"r1-{number % 4}"], "ticket_ms": rule["validity_ms"]} for number in range(33)]
    place = standins.Deployment(FOLDER, executors, has_advice=True)
    note = place.note
    route = {"name": "quotes", "hostname": HOST, "path_prefix": PREFIX, "type": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
             "priority": 0, "backend": "storefront", "max_attempts": 3, "stretch": 2.0, "advice": rule}
    headers = {"Host": HOST, "X-Jasminebend-Deadline-Ms": "3000"}
    accepted = {}

    async def ask(method, key, value, turn):
        daemon = place.daemons[turn % len(place.daemons)]
        status, answer = await standins.call(daemon["frontend"], method, PREFIX + key, value, headers)
        note(f"{method} {key} at {daemon['name']} -> {status} {answer}")
        return status

    try:
        # Two executors of three may run the steps.
        advice = standins.Advice(place.store, rule, lambda worker: int(worker[1:]) % 3 > 0, note)
        await standins.serve(advice.handle, place.advice_address)
        await place.start([route], WORK)
        step = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 400}
        for turn, key in enumerate(JOBS):
            if await ask("POST", key, {"spec": "a quote", "steps": [step]}, turn) == 200:
                accepted[key] = time.time() - place.began
            await asyncio.sleep(6)
        note("the traffic has ended")
        await asyncio.sleep(FINISH_S)
        asked_at = time.time() - place.began
        for turn, key in enumerate(accepted):
            await ask("GET", key, None, turn)
        await asyncio.sleep(3)
        judged_at = time.time() - place.began
    finally:
        place.stop()
    events = place.events()
    place.remove_folder()
    place.note_calls()
    begun = set()
    for at, event, executor, task, number, *rest in events:
        if event in ("start", "end"):
            note(f"executor {executor} at {at:.3f}: {event} {task} {number} {' '.join(rest)}")
        if event == "start" and at < judged_at:
            begun.add(task.split(".")[0])
    waiting = [key for key in accepted if key not in begun]
    note(f"{len(waiting)} of {len(accepted)} accepted jobs had nothing running from {asked_at:.1f} to {judged_at:.1f} s and were never started")
    if waiting:
        print(f"LOST: {len(waiting)} of {len(accepted)} jobs never started, with all executors idle")
        return 1
    print("held: every job was started")
    return 0


sys.exit(asyncio.run(main()))
