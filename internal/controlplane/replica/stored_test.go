package replica_test

import (
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/storage/store"
	"mothcleat/internal/testing/fixture"
)

// A storage that an earlier build wrote, in a fleet with all state machines, must be readable by
// this build. Its commands, applied again, must lead to the same state of every state machine, byte
// by byte, and a restored snapshot must give the same state again.
func TestStoredFolderIsReplayed(t *testing.T) {
	dir := fixture.Copy(t, "testdata/stored/log")
	if err := replica.Adopt(dir); err != nil {
		t.Fatal(err)
	}
	folder, err := replica.OpenStorage(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	identity, err := json.Marshal(folder.Identity())
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, "testdata/stored/identity.json", identity)
	saved, err := folder.Load()
	if err != nil {
		t.Fatal(err)
	}
	snapshot := replay(t, folder.Identity().Number, saved)
	fixture.Equal(t, "testdata/stored/snapshot.pb", snapshot.Snapshot.Data)

	var content controlpb.Snapshot
	if err := proto.Unmarshal(snapshot.Snapshot.Data, &content); err != nil {
		t.Fatal(err)
	}
	machines := newMachines()
	for _, stored := range content.Machines {
		path := "testdata/stored/" + stored.Name + ".state"
		fixture.Equal(t, path, stored.State)
		machine := machines[stored.Name]
		if err := machine.Restore(stored.State); err != nil {
			t.Fatal(err)
		}
		fixture.Equal(t, path, machine.Snapshot())
	}
}

func newMachines() map[string]consensus.StateMachine {
	return controlplane.NewStateMachines(lease.DefaultConfig(), configversion.DefaultConfig())
}

// replay applies all committed entries and returns a snapshot of the state that they lead to.
func replay(t *testing.T, number uint64, saved consensus.StoredState) consensus.Ready {
	t.Helper()
	config := consensus.Config{
		Number:         number,
		StateMachines:  newMachines(),
		Random:         rand.New(rand.NewPCG(1, 1)),
		ElectionTicks:  10,
		HeartbeatTicks: 2,
		Logger:         &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
	const now = time.Second
	node, err := consensus.Open(now, config, saved)
	if err != nil {
		t.Fatal(err)
	}
	if err := node.Start(0); err != nil {
		t.Fatal(err)
	}
	for {
		if _, ok := node.Ready(now); !ok {
			break
		}
		if _, err := node.Advance(now); err != nil {
			t.Fatal(err)
		}
	}
	if node.AppliedIndex() != saved.HardState.GetCommit() {
		t.Fatalf("applied up to entry %d, but committed up to entry %d",
			node.AppliedIndex(), saved.HardState.GetCommit())
	}
	if err := node.CreateSnapshot(); err != nil {
		t.Fatal(err)
	}
	snapshot, ok := node.SnapshotSince(0)
	if !ok {
		t.Fatal("no snapshot")
	}
	return snapshot
}
