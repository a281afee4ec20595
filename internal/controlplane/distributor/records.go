package distributor

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/dataplane/registry"
)

// phaseToProto has the encoded phase by the registry's name for it.
var phaseToProto = map[string]distributionpb.Phase{
	registry.Ready:       distributionpb.Phase_PHASE_READY,
	registry.Terminating: distributionpb.Phase_PHASE_DRAINING,
}

// phaseFromProto is the inverse of phaseToProto.
var phaseFromProto = map[distributionpb.Phase]string{
	distributionpb.Phase_PHASE_READY:    registry.Ready,
	distributionpb.Phase_PHASE_DRAINING: registry.Terminating,
}

// encodeServer returns the value of a server's record. Equal members give equal bytes. It returns
// an error that names the server if the record would be rejected.
func encodeServer(m registry.Member) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&distributionpb.ServerRecord{
		Address:   m.HostPort,
		Zone:      m.Locality,
		Cell:      int32(m.Cell),
		Phase:     phaseToProto[m.Phase],
		Size:      m.Size,
		StartedMs: m.UpSince,
	})
	if err != nil {
		return nil, fmt.Errorf("distribution: record of server %q: %w", m.ID, err)
	}
	change := &distributionpb.Change{Kind: distribution.KindServer, Id: m.ID, Value: value}
	if _, err := distribution.ChangesFromProto([]*distributionpb.Change{change}); err != nil {
		return nil, err
	}
	if !utf8.ValidString(m.ID) {
		return nil, fmt.Errorf("distribution: record of server %q: the id is not valid UTF-8", m.ID)
	}
	return value, nil
}

// decodeServer decodes the value of a server's record. A phase that this build does not know
// becomes the empty phase, in which a server is sent no requests.
func decodeServer(id string, value []byte) (registry.Member, error) {
	var record distributionpb.ServerRecord
	if err := proto.Unmarshal(value, &record); err != nil {
		return registry.Member{}, fmt.Errorf("distribution: record of server %q: %w", id, err)
	}
	return registry.Member{
		ID:       id,
		HostPort: record.Address,
		Locality: record.Zone,
		Cell:     int(record.Cell),
		Phase:    phaseFromProto[record.Phase],
		Size:     record.Size,
		UpSince:  record.StartedMs,
	}, nil
}
