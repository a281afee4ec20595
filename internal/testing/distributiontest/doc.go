// Package distributiontest plays the hard cases of the distribution of the control state with real
// processes: several gateways before stand-ins, three of them voters, with processes that are
// killed or stopped, links that are cut, and folders that are old or damaged. What is judged are
// effects: what the stand-in servers received, the files that the processes leave, what each has
// logged, and a replica of the rig's own. What a process tells of itself only says when to go on.
//
// It consists of tests alone.
package distributiontest
