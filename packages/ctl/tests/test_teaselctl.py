"""Tests of teaselctl against a small fleet over loopback."""

import asyncio
import contextlib
import hashlib
import io
import json
import tempfile
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from pathlib import Path

import yaml
from teaselctl.main import main
from teaselledge_standins.caller import Caller
from teaselledge_standins.fleet import OPERATOR, Fleet, key_of, running_fleet


@dataclass
class _Operator:
    """An operator with a running fleet and a folder for files."""

    fleet: Fleet
    folder: Path

    def write(self, name, value):
        return self.write_text(name, yaml.safe_dump(value, sort_keys=False))

    def write_text(self, name, text):
        (self.folder / name).write_text(text)
        return str(self.folder / name)

    def read(self, name):
        return (self.folder / name).read_text()

    async def call(self, *args, key="key"):
        flags = [
            f"--router={self.fleet.routers['r1'].operator_address}",
            f"--key_file={self.folder / key}",
        ]
        return await asyncio.to_thread(run, *args, *flags)


def run(*args):
    """Run teaselctl and return the exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(["teaselctl", *args])
    return code, out.getvalue(), err.getvalue()


@contextmanager
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@asynccontextmanager
async def operator():
    async with running_fleet() as fleet:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name)
            (path / "key").write_text(key_of(OPERATOR))
            yield _Operator(fleet, path)


async def in_force(fleet, version):
    async with asyncio.timeout(10):
        while any(r.version.number != version for r in fleet.routers.values()):
            await asyncio.sleep(0.05)


async def test_a_changed_share_comes_into_force_everywhere(operator):
    document = operator.fleet.document()
    document["organisations"]["amber"]["share"] = 5.0
    path = operator.write("document.yaml", document)
    code, out, err = await operator.call("diff", path)
    assert (code, err) == (0, "")
    assert "organisations/amber (changed)\n  - share: 1.0\n  + share: 5.0" in out
    code, out, err = await operator.call("apply", path, "--base=1", "--note=more")
    assert (code, err) == (0, "")
    assert out == "version 2 is accepted\n  organisations/amber\n"
    await in_force(operator.fleet, 2)
    for router in operator.fleet.routers.values():
        assert router.version.document.organisations["amber"].share == 5.0
    code, out, _ = await operator.call("history")
    assert code == 0 and f"{OPERATOR}" in out and "more" in out
    code, out, err = await operator.call("rollback", "--to=1", "--base=2")
    assert (code, err) == (0, "")
    await in_force(operator.fleet, 3)
    for router in operator.fleet.routers.values():
        assert router.version.document.organisations["amber"].share == 1.0


async def test_conflicting_change_is_refused_with_the_other_author(operator):
    """Two operators change the same share from the same version.

    The second one gets the author and value of the first, and the file is unchanged.
    """
    document = operator.fleet.document()
    document["organisations"]["amber"]["share"] = 5.0
    first = operator.write("first.yaml", document)
    document["organisations"]["amber"]["share"] = 7.0
    second = operator.write("second.yaml", document)
    before = operator.read("second.yaml")
    assert (await operator.call("apply", first, "--base=1"))[0] == 0
    code, out, err = await operator.call("apply", second, "--base=1")
    assert (code, out) == (1, "")
    assert f"organisations/amber: version 2 by {OPERATOR}" in err
    assert "- share: 5.0" in err and "+ share: 7.0" in err
    assert operator.read("second.yaml") == before


async def test_invalid_section_is_refused(operator):
    """An operator applies a section that names a zone which does not exist."""
    document = operator.fleet.document()
    endpoints = document["services"]["models"]["endpoints"]
    endpoints["engine-0"]["zone"] = "nowhere"
    path = operator.write("services.yaml", {"services": document["services"]})
    code, out, err = await operator.call("apply", path, "--base=1")
    assert (code, out) == (1, "")
    assert "services.yaml:" in err
    assert "services.models.endpoints.engine-0.zone: found nowhere" in err
    code, out, _ = await operator.call("history", "--json")
    assert [head["version"] for head in json.loads(out)] == [1]


async def test_status_lists_every_router_and_names_a_missing_one(operator):
    """A router that stopped must be reported as missing, not as healthy."""
    code, out, _ = await operator.call("status", "--seconds=0.1")
    assert code == 0 and "r3" in out and "no answer from" not in out
    membership = operator.fleet.routers["r1"].node.membership
    async with asyncio.timeout(20):
        while "r3" not in membership.listed():
            await asyncio.sleep(0.05)
    router = operator.fleet.routers.pop("r3")
    await router.stop()
    code, out, _ = await operator.call("status", "--seconds=0.1")
    assert code == 0 and "no answer from r3" in out
    code, out, _ = await operator.call("report", "burn", "--json")
    assert code == 0 and json.loads(out)["missing"] == ["r3"]


async def test_report_counts_the_responses_to_callers(operator):
    caller = Caller(key_of("amber"))
    for i, vm in enumerate(("r1", "r2", "r3")):
        address = operator.fleet.routers[vm].caller_address
        reply = await caller.request_completion(address, f"c{i}", 3, "amber")
        assert reply.status == 200
    page = operator.folder / "burn.html"
    code, out, err = await operator.call("report", "burn", "--json", f"--html={page}")
    assert (code, err) == (0, "")
    (row,) = json.loads(out)["rows"]
    assert (row["organisation"], row["kind"]) == ("amber", "completion")
    assert (row["good"], row["bad"]) == (3, 0)
    assert row["budget_left"] == 1.0
    assert "amber" in operator.read("burn.html")


async def test_drained_router_is_removed_from_the_addresses_of_others(operator):
    """An operator drains a router; other routers must stop listing its address."""
    code, out, err = await operator.call("drain")
    assert (code, err) == (0, "")
    assert out.startswith("r1 drains")
    addresses = {r.caller_address for r in operator.fleet.routers.values()}
    gone = operator.fleet.routers["r1"].caller_address
    async with asyncio.timeout(10):
        while True:
            listed = operator.fleet.routers["r2"].addresses()["addresses"]
            if {entry["address"] for entry in listed} == addresses - {gone}:
                break
            await asyncio.sleep(0.05)
    rows = (await operator.fleet.tables.scan("config", "audit/", 10)).ok
    assert b'"action": "drain", "what": "r1"' in rows[-1].value


async def test_keys_permit_only_what_their_role_includes(operator):
    """An unknown key, and an editor's key for another team's section, are refused."""
    operator.write_text("stranger", "guessed")
    code, _, err = await operator.call("status", key="stranger")
    assert code == 2 and "knows no operator with this key" in err
    document = operator.fleet.document()
    document["operators"]["erin"] = {
        "keys": [sha("erins-key")],
        "role": "editor",
        "sections": ["services/models"],
    }
    path = operator.write("document.yaml", document)
    assert (await operator.call("apply", path, "--base=1"))[0] == 0
    await in_force(operator.fleet, 2)
    operator.write_text("erin", "erins-key")
    document["organisations"]["amber"]["share"] = 9.0
    path = operator.write("document.yaml", document)
    code, _, err = await operator.call("apply", path, "--base=2", key="erin")
    assert code == 1 and "may not change organisations/amber" in err
    document["organisations"]["amber"]["share"] = 1.0
    document["services"]["models"]["resumes"] = False
    path = operator.write("document.yaml", document)
    assert (await operator.call("apply", path, "--base=2", key="erin"))[0] == 0
    code, _, err = await operator.call("drain", key="erin")
    assert code == 1 and "role editor does not include drain" in err


def sha(key):

    return hashlib.sha256(key.encode()).hexdigest()


def test_check_lists_all_faults_at_once_with_their_places(folder):
    (folder / "a.yaml").write_text(
        "zones:\n  north-a: {region: north}\norganisations:\n"
        "  amber: {share: 0, keys: [], services: [models]}\n"
    )
    (folder / "b.yaml").write_text(
        "services:\n  models:\n    cost: coins\n    kinds: {}\n"
        "    endpoints:\n      e: {address: nohost, zone: north-a}\n"
    )
    code, out, err = run("check", str(folder))
    assert (code, out) == (1, "")
    assert "3 faults" in err
    assert f"{folder}/a.yaml:4: organisations.amber.share: found 0" in err
    assert f"{folder}/b.yaml:3: services.models.cost: found 'coins'" in err
    assert f"{folder}/b.yaml:6: services.models.endpoints.e.address" in err


def test_mistakes_of_the_user_end_without_a_traceback(folder):
    for args, code in (
        ((), 2),
        (("frobnicate",), 2),
        (("apply",), 2),
        (("check", "/no/such/file"), 2),
        (("status",), 2),
        (("status", "--router=127.0.0.1:1", f"--key_file={folder}/none"), 2),
        (("history", "--limit=0"), 2),
        (("history", "--nonsense"), 2),
        (("orders",), 2),
    ):
        found, _, err = run(*args)
        assert found == code, (args, found, err)
        assert "Traceback" not in err
    (folder / "key").write_text("k")
    code, _, err = run("status", "--router=127.0.0.1:1", f"--key_file={folder}/key")
    assert code == 2 and "can't be reached" in err


def test_help_names_every_command():
    code, out, _ = run("help")
    assert code == 0
    for name in ("check", "apply", "rollback", "report"):
        assert f"  {name}" in out
    code, out, _ = run("help", "apply")
    assert code == 0 and "--base" in out
    assert run("--help")[0] == 0
