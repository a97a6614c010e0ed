"""All routers are killed at once, and clients take up their streams afterwards.

Two routers, three engines, all of one software version. Clients have streams open that
may be resumed when all processes of the system are killed (herd_kill). They start again
half a second later and are ready within two more. Clients take their streams up with
Last-Event-Id and Resumes, again and again within their deadline. Counted are the streams
that are taken up at routers in touch, contact_ms after their start and later, and those
that go on; beside them, new streams. Without the trouble nothing is killed, and clients
break their connections themselves.
"""

import asyncio
import re
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    CannotRun,
    Connection,
    Engine,
    Router,
    World,
    configuration,
    main,
    new_id,
    plain_route,
)

DEADLINE_MS = 10000
STREAMS = 30
NEW_STREAMS = 20
EVENTS = 24
EVENT_SECONDS = 0.1
DOWN_SECONDS = 0.5
CONTACT_SECONDS = 4.0
MIN_TAKEN_UP = 12


async def answer_stream(engine, request, writer):
    """Send the events after the last one that the client has."""
    writer.write(
        (
            "HTTP/1.1 200 OK\r\n"
            f"X-Teaselledge-Request-Id: {request.id}\r\n"
            f"X-Teaselledge-Engine-Stamp: stamp.{engine.name}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
    )
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {engine.version}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")
    return True


class Stream:
    """A client's stream, over all its attempts."""

    def __init__(self, world, router):
        self.world = world
        self.router = router
        self.started = time.monotonic()
        self.last_event = 0
        self.first_id = ""
        self.connection = None

    @property
    def complete(self):
        return self.last_event == EVENTS

    async def attempt(self):
        """Send the stream, or take it up; return whether events came."""
        request_id, data = new_id(), b""
        left = int(DEADLINE_MS - (time.monotonic() - self.started) * 1000)
        if left <= 0:
            return False
        headers = [
            ("Connection", "close"),
            ("X-Teaselledge-Model", "m"),
            ("X-Teaselledge-Token-Counts", "100,120"),
            ("X-Teaselledge-Prefix-Hash", f"aa:60,{request_id}:40"),
        ]
        if self.last_event:
            headers.append(("Last-Event-Id", str(self.last_event)))
            headers.append(("Resumes", self.first_id))
        self.world.record.write(
            "sent", id=request_id, resumes=self.first_id, after=self.last_event
        )
        try:
            self.connection = await Connection.open(self.router.front)
            self.connection.send(
                "POST", "/brief/1", request_id, left, headers, b"x" * 100
            )
            async with asyncio.timeout(left / 1000):
                while part := await self.connection.reader.read(1 << 16):
                    data += part
        except (OSError, TimeoutError):
            pass
        if self.connection is not None:
            self.connection.close()
        numbers = [int(n) for n in re.findall(rb"id: (\d+)\ndata: \w+\n\n", data)]
        if numbers:
            self.last_event = numbers[-1]
            self.first_id = self.first_id or request_id
        status = data[9:12].decode() or "none"
        self.world.record.write(
            "answered", id=request_id, status=status, events=len(numbers)
        )
        return bool(numbers)


async def run(world):
    routes = [
        plain_route(
            "brief",
            "llm",
            "stream",
            DEADLINE_MS,
            attempts=2,
            resumable=True,
            sticky=True,
            slo_ms=1500,
            itl_target_ms=400,
        )
    ]
    world.put_configuration(configuration(routes, ["llm"]))
    for _ in range(3):
        await Engine(world, world.host(9), "llm", "zone-a", answer_stream).start()
    routers = [Router(world, f"router-{n}", "zone-a", world.host(n)) for n in (2, 3)]
    for router in routers:
        router.choose_ports()
    seeds = [f"{r.host}:{r.ports['control']}" for r in routers]
    for router in routers:
        router.write_settings(seeds)
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(10)
    streams = [Stream(world, routers[n % 2]) for n in range(STREAMS)]
    tasks = [asyncio.create_task(each.attempt()) for each in streams]
    await asyncio.sleep(1.2)
    if world.trouble:
        world.record.say("all processes of the system are killed")
        for router in routers:
            router.send_signal(signal.SIGKILL)
        await asyncio.gather(*(router.process.wait() for router in routers))
        await asyncio.sleep(DOWN_SECONDS)
        for router in routers:
            await router.start()
    else:
        for each in streams:
            each.connection.close()
    started = time.monotonic()
    await asyncio.gather(*tasks)
    begun = [each for each in streams if each.last_event and not each.complete]
    if len(begun) < MIN_TAKEN_UP:
        raise CannotRun(f"only {len(begun)} streams were broken off")
    for router in routers:
        await router.wait_ready()
    world.record.say(f"ready {time.monotonic() - started:.1f} s after the start")
    await asyncio.sleep(started + CONTACT_SECONDS + 0.3 - time.monotonic())
    taken_up, went_on = len(begun), set()
    for _ in range(3):
        left = [each for each in begun if each not in went_on]
        goes_on = await asyncio.gather(*(each.attempt() for each in left))
        went_on |= {each for each, on in zip(left, goes_on, strict=True) if on}
        if len(went_on) == taken_up:
            break
        await asyncio.sleep(0.5)
    new = [Stream(world, routers[n % 2]) for n in range(NEW_STREAMS)]
    begin = sum(await asyncio.gather(*(each.attempt() for each in new)))
    world.record.say(
        f"streams taken up at routers in touch {taken_up}, go on {len(went_on)}; "
        f"new streams {len(new)}, begin {begin}"
    )
    return len(went_on) / taken_up < begin / len(new) / 2


main(FOLDER / "record.txt", run)
