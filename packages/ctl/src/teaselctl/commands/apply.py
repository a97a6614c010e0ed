"""Apply sections of files as the next version."""

import secrets
from typing import Any

from teaselledge.version.difference import EntryChange
from teaselledge.yamlsource import Source

from teaselctl.client import Client
from teaselctl.commands.diff import change_lines
from teaselctl.files import issues_error, locate_issues, open_source, sections_of
from teaselctl.options import FLAGS
from teaselctl.output import FAULTY, CommandError, Output

__all__ = ["conflict_text", "new_apply_id", "run", "send"]


def new_apply_id() -> str:
    """Return the identifier from the flags, or a new random one."""
    return FLAGS.apply_id or secrets.token_hex(8)


async def run(args: list[str]) -> Output:
    """Send the sections of the files to a router."""
    source = open_source(args)
    sections = sections_of(source, FLAGS.section)
    if FLAGS.base is None:
        raise CommandError(
            "no base: give --base=N, the version that your files start from; "
            "`teaselctl history` lists versions; use 0 if none is published yet"
        )
    body = {
        "apply_id": new_apply_id(),
        "base": FLAGS.base,
        "sections": sections,
        "note": FLAGS.note,
    }
    return await send("/v1/apply", body, source)


async def send(path: str, body: dict[str, Any], source: Source | None) -> Output:
    """Send a change and return its result."""
    client = Client.from_flags(FLAGS)
    try:
        applied = await client.post(path, body)
    except CommandError as error:
        raise _describe_error(error, body, source) from None
    lines = [f"version {applied['version']} is accepted"]
    if applied["found_again"]:
        lines = [f"version {applied['version']} holds this change already"]
    elif not applied["changed"]:
        lines = [f"nothing to change in version {applied['version']}"]
    lines += [f"  {path}" for path in applied["changed"]]
    if applied["beside"]:
        numbers = ", ".join(str(number) for number in applied["beside"])
        lines.append(f"changes of version {numbers} stay in force beside it")
    return Output({**applied, "apply_id": body["apply_id"]}, "\n".join(lines))


def _describe_error(
    error: CommandError, body: dict[str, Any], source: Source | None
) -> CommandError:
    value = error.value if isinstance(error.value, dict) else {}
    kind = value.get("kind", "")
    if value.get("mistakes") and source is not None:
        return issues_error(locate_issues(source, value["mistakes"]))
    if kind == "conflict":
        return CommandError(conflict_text(value["conflicts"]), FAULTY, value)
    if "kind" not in value or kind in ("store", "uncertain"):
        again = f"--apply_id={body['apply_id']}"
        message = (
            f"{error}\nIt may have been accepted. Apply again with {again}: "
            "it is carried out once, however often you ask."
        )
        return CommandError(
            message, error.code, {**value, "apply_id": body["apply_id"]}
        )
    return error


def conflict_text(conflicts: list[dict[str, Any]]) -> str:
    """Describe the conflicting changes and their authors."""
    lines = [
        "others changed the same entries since your base; nothing was applied, "
        "and your files are as they were"
    ]
    for entry in conflicts:
        who = f"version {entry['version']} by {entry['author'] or 'unknown'}"
        lines.append(f"{entry['path']}: {who}, {entry['time']}")
        section, _, name = entry["path"].partition("/")
        change = EntryChange(section, name, entry["theirs"], entry["yours"])
        lines += [f"  {line}" for line in change_lines(change)[1:]]
    lines.append("  (-: in force, +: yours)")
    lines.append("Take their values into your files, then apply with the new base.")
    return "\n".join(lines)
