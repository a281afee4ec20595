// Command standin plays the cases of the review: it starts gateways by the deploy file's command,
// and stands in for their clients, servers, discovery and platform, on loopback addresses and the
// real clock. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main
