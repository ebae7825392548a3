"""The adapter of the operators' simulator: its binary frames in, actions out."""
