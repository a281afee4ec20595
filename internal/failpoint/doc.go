// Package failpoint lets a test stop or end a process at a named point, and change the rate and offset of its clock.
// Only a program built with the tag faults has failpoints: in others all calls are empty, and the
// environment variable MOTHCLEAT_FAULTS is ignored.
//
// The variable holds settings with commas between them:
//
//	kill=NAME@FILE      SIGKILL to itself at the point NAME, when FILE is there; it is removed by that
//	stop=NAME@FILE      SIGSTOP to itself there; the rig wakes it
//	slow=NAME:D@FILE    it waits D there, each time while FILE is there
//	deny=NAME@FILE      what is called NAME fails while FILE is there
//	kill=NAME           and so on: the first time that the point is passed
//	pace=F              the clock goes at F of its pace
//	ahead=D             the clock is D ahead
//	jump=D@E            the clock leaps by D once E have passed
package failpoint
