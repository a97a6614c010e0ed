"""Tests of the router as a process."""

import asyncio
import os
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from teaselledge.process.drain import DrainExit
from teaselledge.process.main import EXIT_BAD_SETTINGS
from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.fleet import key_of, running_fleet

SETTINGS = """\
vm: p1
zone: north-a
region: north
platform: {{tables: "{address}", objects: "{address}", vms: "{address}"}}
address_seconds: 0.3
drain_seconds: {drain}
"""
STARTED = b"serves "


async def start(settings, folder):
    path = Path(folder) / "settings.yaml"
    path.write_text(settings)
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "teaselledge.process.main",
        f"--settings={path}",
        stderr=asyncio.subprocess.PIPE,
        env=dict(os.environ),
    )


async def address_of(process):
    async with asyncio.timeout(20):
        while True:
            line = await process.stderr.readline()
            assert line, "the process ended"
            if STARTED in line:
                return line.decode().split("serves ")[1].strip().rstrip(".")


@asynccontextmanager
async def running_process(drain):
    async with running_fleet() as fleet:
        settings = SETTINGS.format(address=fleet.platform_address, drain=drain)
        with TemporaryDirectory() as folder:
            process = await start(settings, folder)
            try:
                yield process, await address_of(process)
            finally:
                if process.returncode is None:
                    process.kill()
                await process.communicate()


async def test_sigterm_ends_the_process_after_its_stream_is_complete():
    """The platform terminates a VM while a stream runs. The stream must be complete
    before the process ends.
    """
    async with running_process(20) as (process, address):
        caller = Caller(key_of("amber"))
        stream = asyncio.create_task(
            caller.request_completion(address, "s", 150, "amber")
        )
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert process.returncode is None
        reply = await stream
        assert is_complete_response(reply, "s", 150), reply
        async with asyncio.timeout(10):
            await process.stderr.read()
            assert await process.wait() == DrainExit.WHOLE


async def test_second_signal_ends_the_process_with_its_exit_code():
    async with running_process(20) as (process, address):
        caller = Caller(key_of("amber"))
        stream = asyncio.create_task(
            caller.request_completion(address, "s", 5000, "amber")
        )
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            await process.stderr.read()
            assert await process.wait() == DrainExit.SECOND_SIGNAL
        reply = await asyncio.gather(stream, return_exceptions=True)
        # the caller can see that the stream was cut
        assert isinstance(reply[0], Exception) or not is_complete_response(
            reply[0], "s", 5000
        )


async def test_invalid_settings_end_the_process_with_all_errors():
    with TemporaryDirectory() as folder:
        process = await start("vm: x\nzone: 3\nnonsense: 1\n", folder)
        _, errors = await process.communicate()
    assert process.returncode == EXIT_BAD_SETTINGS
    assert b"nonsense" in errors and b"zone" in errors and b"platform" in errors
