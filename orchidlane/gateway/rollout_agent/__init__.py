"""One gateway's part in a rollout: datagrams, files, adoption. ``orchidlane.rollout`` makes the decisions."""
