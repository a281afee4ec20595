package distribution

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/mustproto"
)

// stateFileFormat must be incremented if the meaning of the file, of a digest or of the buckets
// changes.
const stateFileFormat = 1

// EncodeStateFile returns the content of a state file. The digest of the state's position serves as
// its checksum.
func EncodeStateFile(fleet string, s *State) []byte {
	return mustproto.Marshal(&distributionpb.StateFile{
		Format:   stateFileFormat,
		Fleet:    fleet,
		Position: s.Position().Proto(),
		Records:  recordsProto(s),
	})
}

// DecodeStateFile decodes the result of EncodeStateFile. It returns a WrongFleetError for the file
// of another fleet, an InvalidMessageError for a file of another format, and an
// InvalidMessageError, InvalidRecordError or DigestMismatchError for a damaged file.
func DecodeStateFile(fleet string, raw []byte) (*State, error) {
	var file distributionpb.StateFile
	if err := proto.Unmarshal(raw, &file); err != nil {
		return nil, &InvalidMessageError{"state file", err.Error()}
	}
	if file.Format != stateFileFormat {
		return nil, &InvalidMessageError{
			"state file", fmt.Sprintf("format %d instead of %d", file.Format, stateFileFormat),
		}
	}
	if file.Fleet != fleet {
		return nil, &WrongFleetError{Want: fleet, Got: file.Fleet}
	}
	return stateFromProto(file.Position, file.Records)
}

func recordsProto(s *State) []*distributionpb.Record {
	messages := make([]*distributionpb.Record, 0, s.records)
	for _, b := range s.buckets {
		messages = appendRecords(messages, b.records)
	}
	return messages
}

func appendRecords(to []*distributionpb.Record, records []Record) []*distributionpb.Record {
	for i := range records {
		r := &records[i]
		to = append(to, &distributionpb.Record{Kind: r.Kind, Id: r.ID, Value: r.Value})
	}
	return to
}

// stateFromProto builds a state from its records and verifies the position's digest.
func stateFromProto(m *distributionpb.Position, records []*distributionpb.Record) (*State, error) {
	position, err := PositionFromProto(m)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, len(records))
	for i, record := range records {
		changes[i] = Change{Record: Record{record.GetKind(), record.GetId(), record.GetValue()}}
		if err := changes[i].check(); err != nil {
			return nil, err
		}
	}
	s := NewState()
	s.commit(s.stage(changes), position.Epoch, position.Revision)
	if got := s.Digest(); got != position.Digest {
		return nil, &DigestMismatchError{Position: position, Got: got}
	}
	return s, nil
}
