"""Counting, gathering and reporting of the usage of teams."""
