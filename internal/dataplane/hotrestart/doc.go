// Package hotrestart carries a gateway's state from one process to its successor: the balancer's
// snapshot, the socket for peers' messages, and the clients' connections. They go over a Unix
// socket in a directory that both processes see.
//
// A process that starts calls FindPredecessor. If another process serves, it prepares until it
// could serve itself, and calls TakeState. The predecessor pauses, sends its state, and waits for
// the confirmation that it was restored. From then on the predecessor admits nothing new, and
// passes its clients' connections on one by one, each between two requests. Without a confirmation
// it goes on serving as before.
//
// The socket carries messages of a kind byte and a body; see the message kinds. File descriptors
// travel with messages of the kinds messageStateEnd and messageClient.
package hotrestart
