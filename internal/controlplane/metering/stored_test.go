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

// Open reads the counts that a killed process of an earlier build left, including those in its
// ring.
func TestStoredCountsAreRead(t *testing.T) {
	counter, err := Open(fixture.Copy(t, "testdata/stored"), "n2", 12345, time.Second,
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	var text strings.Builder
	err = counter.ClosedPeriods(nil, func(period *controlpb.UsagePeriod) error {
		if period.Last {
			period.EndedAt = 0 // Open has just closed the killed process's last period
		}
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(period)
		text.WriteString(hex.EncodeToString(raw) + "\n")
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, "testdata/parts.txt", []byte(text.String()))
}
