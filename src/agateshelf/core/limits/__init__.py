"""Limits: who may take how much, of what each target can bear."""
