"""Schemas and validation of settings and configuration documents."""
