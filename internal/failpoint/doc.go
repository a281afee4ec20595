// Package failpoint lets a test stop or kill a process at a named point, and change the rate and
// offset of its clock. Only a program built with the tag faults has failpoints. In other programs
// the functions do nothing, and the environment variable MOTHCLEAT_FAULTS is ignored.
//
// The variable holds settings separated by commas:
//
//	kill=NAME@FILE      sends SIGKILL to the process at the point NAME once FILE exists
//	                    and removes FILE
//	stop=NAME@FILE      sends SIGSTOP instead; the test continues the process
//	slow=NAME:D@FILE    waits for the duration D at the point each time while FILE exists
//	deny=NAME@FILE      fails the operation NAME while FILE exists
//	kill=NAME           sends SIGKILL the first time that the point is passed; stop and slow
//	                    work likewise without FILE
//	pace=F              multiplies the rate of the clock by F
//	ahead=D             sets the clock ahead by D
//	jump=D@E            sets the clock ahead by D once the duration E has passed
package failpoint
