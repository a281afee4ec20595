// Package hotrestart hands a gateway's state over from one process to its successor: the balancer's
// snapshot, the socket for peer messages, and the client connections. They are sent over a Unix
// socket in a directory that both processes can access.
//
// A process that starts calls FindPredecessor. If another process serves, the new process prepares
// until it is able to serve, and then calls TakeState. The predecessor pauses, sends its state, and
// waits for the confirmation that the state was restored. From then on the predecessor admits no
// new requests, and passes its client connections one by one, each between two requests. Without a
// confirmation the predecessor continues to serve.
//
// A message on the socket is a kind byte and a body; see the message kinds. File descriptors are
// attached to messages of the kinds messageStateEnd and messageClient.
package hotrestart
