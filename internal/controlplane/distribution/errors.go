package distribution

import "fmt"

// WrongEpochError is returned for a message of another lineage than the state's.
type WrongEpochError struct{ Have, Got uint64 }

func (e *WrongEpochError) Error() string {
	return fmt.Sprintf("distribution: epoch %d instead of %d", e.Got, e.Have)
}

// WrongRevisionError is returned for a delta that does not begin where the state is.
type WrongRevisionError struct{ Have, From, To uint64 }

func (e *WrongRevisionError) Error() string {
	return fmt.Sprintf("distribution: a delta from revision %d to %d does not fit a state at %d",
		e.From, e.To, e.Have)
}

// DigestMismatchError is returned where the content does not come to the digest that was announced.
type DigestMismatchError struct {
	Position  Position // as announced
	Got       Digest
	OfBuckets bool  // a bucket's sum, not the whole state's digest
	Bucket    int32 // if OfBuckets
}

func (e *DigestMismatchError) Error() string {
	if e.OfBuckets {
		return fmt.Sprintf("distribution: bucket %d comes to %s, which is not its sum at %s",
			e.Bucket, e.Got, e.Position)
	}
	return fmt.Sprintf("distribution: the content comes to digest %s instead of %s",
		e.Got, e.Position)
}

// WrongBaseError is returned for the first command of a term that is a difference to another
// position than the machine's. The whole state is taken, or the difference to the position that it
// has.
type WrongBaseError struct{ Have, Got Position }

func (e *WrongBaseError) Error() string {
	return fmt.Sprintf("distribution: a term begins with a difference to %s, the state is at %s",
		e.Got, e.Have)
}

// DivergenceError is reported where two states at one revision have different digests. It names a
// fault of a program or of memory: it is repaired, but should be looked into.
type DivergenceError struct{ Mine, Theirs Position }

func (e *DivergenceError) Error() string {
	return fmt.Sprintf("distribution: two states at one revision: %s here, %s there",
		e.Mine, e.Theirs)
}

// WrongFleetError is returned for a message of another fleet.
type WrongFleetError struct{ Want, Got string }

func (e *WrongFleetError) Error() string {
	return fmt.Sprintf("distribution: fleet %q instead of %q", e.Got, e.Want)
}

// InvalidRecordError is returned for a record that can't be read or kept.
type InvalidRecordError struct {
	Kind   Kind
	ID     string
	Reason string
}

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("distribution: record %s %q: %s", e.Kind, e.ID, e.Reason)
}

// InvalidMessageError is returned for a message that can't be read, or that does not belong where
// it came.
type InvalidMessageError struct {
	Message string // its name
	Reason  string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("distribution: %s: %s", e.Message, e.Reason)
}
