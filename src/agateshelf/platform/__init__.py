"""Adapter that translates between agateshelf and Harborline's platform.

Names of the platform's protocol are used only in this package.
"""
