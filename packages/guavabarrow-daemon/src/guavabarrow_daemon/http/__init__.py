"""HTTP/1.1 client connection and server site over codec libraries."""
