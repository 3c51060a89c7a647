"""Frontend for callers that hold one session per connection."""
