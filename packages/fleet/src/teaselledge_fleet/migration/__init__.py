"""Streams that go on at another engine, or at another router.

Answers the load of streams that broke off: with their engine, with their router or with
the caller's connection. Knows which service and which software version began a stream,
for a while after its first event. Decides where it may go on.
"""
