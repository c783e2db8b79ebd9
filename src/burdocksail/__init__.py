"""A database proxy with session consistency.

The layers point one way: ``core`` holds plain records that all else imports;
``records`` validates what operators write; ``node`` decides, without input or
output; ``wire`` encodes messages between instances; ``shell`` connects a node
to sockets; ``standin`` plays the platform in tests; ``tools`` is the command
line.
"""
