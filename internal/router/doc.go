// Package router implements the network side of the router. It accepts client connections, reads
// commands, passes events to the policy engine and performs the actions that the engine returns.
//
// # Goroutines
//
// A Server runs these goroutines:
//
//   - the event loop (eventLoop.run), one;
//   - the accept loop (Server.acceptLoop), one;
//   - a reader (clientConn.readLoop) and a writer (clientConn.writeLoop) for each client connection;
//   - one for each upstream connection (a connection to a cache), which dials and then reads replies
//     (upstreamConn.run);
//   - one for the watch on the discovery service, while it is open;
//   - the log writer (eventLogger.run), one.
//
// # Ownership of state
//
// The event loop owns the policy engine and the state of all requests, attempts, upstream pools and
// upstream connections. That state has no lock: other goroutines change it only through functions
// that they pass to eventLoop.post. Therefore the state cannot change between a decision of the
// engine and the actions that carry it out. The event loop must never block: it passes replies to
// channels with a buffer of one (replySlot) and log lines to a queue that drops lines when it is full,
// and its socket writes do not wait.
//
// The set of client connections is guarded by Server.mu. A clientConn shares atomic fields between
// its reader, its writer and the accept loop; its map of requests belongs to the event loop. The
// descriptor and memory budgets are atomic counters.
package router
