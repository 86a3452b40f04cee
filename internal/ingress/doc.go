// Package ingress is the HTTP reverse proxy of a router node: it forwards client
// requests along the declared routes to machines.
//
// A request is retried only if the machine proved that it did not run it, or if
// the route is repeatable and the retry budget allows it. A response that breaks
// off also breaks the client's connection, so that a truncated response never
// looks complete. Header names are left to the Translator.
package ingress
