package distribution

import "fmt"

// WrongEpochError is returned for a message of an epoch other than the state's.
type WrongEpochError struct{ Have, Got uint64 }

// Error returns both epochs.
func (e *WrongEpochError) Error() string {
	return fmt.Sprintf("distribution: epoch %d instead of %d", e.Got, e.Have)
}

// WrongRevisionError is returned for a delta that does not begin at the state's revision.
type WrongRevisionError struct{ Have, From, To uint64 }

// Error returns the delta's revisions and the state's.
func (e *WrongRevisionError) Error() string {
	return fmt.Sprintf("distribution: a delta from revision %d to %d does not fit a state at %d",
		e.From, e.To, e.Have)
}

// DigestMismatchError is returned if content does not have the digest announced for it.
type DigestMismatchError struct {
	// Position is the announced position.
	Position Position
	Got      Digest
	// OfBuckets is set if the sum of one bucket differs, rather than the digest of the complete
	// state.
	OfBuckets bool
	// Bucket is the index of that bucket if OfBuckets is set.
	Bucket int32
}

// Error returns the digest that was computed and the one announced.
func (e *DigestMismatchError) Error() string {
	if e.OfBuckets {
		return fmt.Sprintf("distribution: bucket %d has sum %s instead of the one announced at %s",
			e.Bucket, e.Got, e.Position)
	}
	return fmt.Sprintf("distribution: the content comes to digest %s instead of %s",
		e.Got, e.Position)
}

// WrongBaseError is returned for the first command of a term if its base is not the machine's
// position. The source should propose the complete state, or a difference from the machine's
// position.
type WrongBaseError struct{ Have, Got Position }

// Error returns both positions.
func (e *WrongBaseError) Error() string {
	return fmt.Sprintf("distribution: a term begins with a difference to %s, the state is at %s",
		e.Got, e.Have)
}

// DivergenceError is reported if the states of a replica and its server have different digests at
// the same revision. The replica repairs its state, but the cause is a fault in a program or in
// memory and should be investigated.
type DivergenceError struct{ Mine, Theirs Position }

// Error returns both positions.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("distribution: two states at one revision: %s here, %s there",
		e.Mine, e.Theirs)
}

// WrongFleetError is returned for a message of another fleet.
type WrongFleetError struct{ Want, Got string }

// Error returns the names of both fleets.
func (e *WrongFleetError) Error() string {
	return fmt.Sprintf("distribution: fleet %q instead of %q", e.Got, e.Want)
}

// TooManyStreamsError is returned by Publisher.Open if MaxStreams streams are open already.
type TooManyStreamsError struct{ Open int }

// Error returns the number of open streams.
func (e *TooManyStreamsError) Error() string {
	return fmt.Sprintf("distribution: %d streams are open, no more are taken", e.Open)
}

// InvalidRecordError is returned for a record that can't be decoded or stored.
type InvalidRecordError struct {
	Kind   Kind
	ID     string
	Reason string
}

// Error returns the record's key and the reason.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("distribution: record %s %q: %s", e.Kind, e.ID, e.Reason)
}

// InvalidMessageError is returned for a message that can't be decoded, or that is not allowed in
// the current state of the receiver.
type InvalidMessageError struct {
	// Message is the name of the message.
	Message string
	Reason  string
}

// Error returns the message's name and the reason.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("distribution: %s: %s", e.Message, e.Reason)
}
