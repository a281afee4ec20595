package metering

import (
	"encoding/hex"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/testing/fixture"
)

// Counts that an earlier build's killed process left are read as it wrote them, those in its ring
// included.
func TestStoredCountsAreRead(t *testing.T) {
	counter, err := Open(fixture.Copy(t, "testdata/stored"), "n2", 12345, time.Second,
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	var text strings.Builder
	err = counter.ClosedPeriods(nil, func(part *controlpb.UsagePeriod) error {
		if part.Last {
			part.EndedAt = 0 // the killed process's last period is closed by this one, now
		}
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(part)
		text.WriteString(hex.EncodeToString(raw) + "\n")
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, "testdata/parts.txt", []byte(text.String()))
}
