"""Go back to the content of an older version."""

from teaselctl.commands.apply import new_apply_id, send
from teaselctl.options import FLAGS
from teaselctl.output import CommandError, Output

__all__ = ["run"]


async def run(args: list[str]) -> Output:
    """Request that a router applies the content of an older version."""
    if FLAGS.to is None or FLAGS.base is None:
        raise CommandError(
            "rollback needs --to=N, the version to go back to, and --base=M, the "
            "version in force as you saw it"
        )
    body = {
        "apply_id": new_apply_id(),
        "base": FLAGS.base,
        "to": FLAGS.to,
        "note": FLAGS.note,
    }
    return await send("/v1/rollback", body, None)
