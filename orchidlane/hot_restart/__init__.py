"""Hot restart: a gateway's listeners, connections and state pass to a new process. Pure, no I/O.

``old_process`` and ``new_process`` are the two sides as state machines, ``handshake`` who may take over,
``messages`` what they send each other, ``pre_copy`` the copy of tables that go on changing, ``tables`` those
tables, ``probation`` the judgement on a new process. ``rolling_upgrade`` upgrades a fleet in the batches of
``rolling_batches``; ``account_recovery`` restores accounts after a restart without a successor.
``orchidlane.gateway.lifecycle`` and ``orchidlane.cli.roll`` carry the decisions out.
"""
