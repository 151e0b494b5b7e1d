// Package resp reads and writes the commands and replies of the cache protocol, which are framed
// in RESP, the Redis serialization protocol. It knows bytes and their meaning only: connections,
// timeouts and routing are its callers' concern.
package resp
