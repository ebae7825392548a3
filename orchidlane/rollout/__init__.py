"""Fleet versions: what the whole fleet goes by, agreed by a quorum and adopted by every gateway.

Pure cores; ``gateway/versions`` does the I/O. ``version`` names contents, ``quorum`` agrees on one value
after another, ``ledger`` is that value and its steps, ``conduct`` says which step is next, ``spread`` who has
heard of it and who may still serve, ``mixing`` what may serve side by side, ``undo`` takes edits back.
"""
