"""Limits of relays: when another router counts as silent, and a request as late.

Answers the load of connections that a busy router hands to a router which stands still,
has lost power or is cut off. Knows which routers have left an offer without an answer,
and the routes in force. Decides which of them get no more connections until they are
heard of again, and when a relayed request gets its final answer here.
"""
