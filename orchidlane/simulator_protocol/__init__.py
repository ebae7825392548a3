"""The adapter of the operators' simulator: its binary frames in, actions out.

``codec`` has the records, ``settings_json`` the settings text, ``process`` the loop. The protocol's own
names of fields and values stand in these modules alone. They import the standard library and the policy only.
"""
