"""Fleet-wide configuration versions, agreed on by a quorum and adopted by every gateway.

The modules contain decisions only, without I/O; ``gateway/rollout_agent`` carries them out:

- ``version``: contents named by their hash, versions of them, votes and certificates;
- ``replicated_state`` and ``commands``: the state that the voters agree on, and its transitions;
- ``consensus``, ``acceptor`` and ``voter_state``: agreement on one state after another (CASPaxos);
- ``bootstrap``: creation of the first state;
- ``leader`` and ``rollout_driver``: leader election, and the leader's next command;
- ``phases`` and ``canary_analysis``: the stages of a rollout, and whether a stage is rolled back;
- ``compatibility``: which versions may serve side by side;
- ``rollback`` and ``shard_migration``: contents that revert an edit or move customers between replica sets;
- ``dissemination`` and ``messages``: spread of the state to all gateways, leases, and the datagrams.
"""
