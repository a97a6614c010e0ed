"""Messages between routers, their encoding and their framing.

Import what is needed from its module: a program loads no messages but its own.
"""
