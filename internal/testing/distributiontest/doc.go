// Package distributiontest tests the distribution of the control state with real processes: several
// gateways, three of them voters, in front of simulated servers. Processes are killed or suspended,
// links are cut, and folders are old or damaged. The tests judge effects: the requests that the
// servers received, the files that the processes leave, their logs, and the rig's own replica. A
// process's own status only determines when a test continues.
//
// The package has only tests.
package distributiontest
