// Package resp encodes and decodes the commands and replies of the cache protocol, which are framed
// in RESP, the Redis serialization protocol. Its callers handle connections, timeouts and routing.
package resp
