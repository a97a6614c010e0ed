"""Test of the first steps in docs/TEASELCTL.md."""

import asyncio
import contextlib
import io
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

from teaselctl.main import main
from teaselledge_standins.fleet import running_fleet
from teaselledge_standins.playground import flag_file, welcome


@asynccontextmanager
async def fleet():
    async with running_fleet() as found:
        yield found


def run(*args):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(["teaselctl", *args])
    assert code == 0, err.getvalue()
    return out.getvalue()


def change_share(folder, flags):
    """Run the commands of the page in its order."""
    path = folder / "document.yaml"
    text = run("show", flags)
    assert text.startswith("# version 1\n")
    path.write_text(text.replace("share: 1.0", "share: 3.0", 1))
    assert run("check", str(path)).startswith("no faults")
    assert "+ share: 3.0" in run("diff", str(path), flags)
    assert "version 2 is accepted" in run("apply", str(path), "--base=1", flags)


async def test_first_steps_bring_a_changed_share_into_force(fleet):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = flag_file(fleet, folder)
        flags = f"--flagfile={path}"
        assert f"teaselctl status {flags}" in welcome(fleet, path)
        await asyncio.to_thread(change_share, folder, flags)
        async with asyncio.timeout(10):
            while True:
                text = await asyncio.to_thread(run, "status", flags)
                lines = [line.split() for line in text.splitlines()]
                versions = {
                    w[0]: w[3] for w in lines if w[:1] and w[0] in fleet.routers
                }
                if set(versions.values()) == {"2"}:
                    break
                await asyncio.sleep(0.1)
        assert len(versions) == len(fleet.routers)
        for router in fleet.routers.values():
            assert router.version.document.organisations["amber"].share == 3.0
