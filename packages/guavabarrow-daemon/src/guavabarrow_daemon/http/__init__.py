"""HTTP/1.1 client connections and server, built on existing HTTP parsers."""
