"""Read the caller's key from the head of a request that has not been parsed."""

__all__ = ["bearer_key"]

FIELD = b"\r\nauthorization:"
SCHEME = b"bearer "


def bearer_key(head: bytes) -> str | None:
    """Return the bearer key in the head of a request, None without one.

    Parameters
    ----------
    head : bytes
        The first bytes of the request, perhaps not the whole head.
    """
    lower = head.lower()
    end_of_head = lower.find(b"\r\n\r\n")
    start = lower.find(FIELD, 0, end_of_head if end_of_head >= 0 else None)
    if start < 0:
        return None
    start += len(FIELD)
    end = lower.find(b"\r\n", start)
    if end < 0:
        return None
    value = head[start:end].strip()
    if value[: len(SCHEME)].lower() != SCHEME:
        return None
    return value[len(SCHEME) :].strip().decode("latin-1")
