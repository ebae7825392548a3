"""A gateway's listeners, connections and state pass to its successor; everything here decides without I/O.

``giver`` and ``taker`` are the two sides as state machines, ``messages`` what they say to each other,
``precopy`` how tables that go on changing are brought over, ``health`` the judgement on a trial, ``roll`` the
order in which a fleet is upgraded. ``orchidlane.gateway.handover`` and ``orchidlane.cli.roll`` carry it out.
"""
