"""Stand-ins for the platform, the workers and the users, for the cases of the review."""
