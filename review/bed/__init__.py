"""Stand-ins of the platform, workers and clients for the cases of the review."""
