// Package usageexport is the replicated state machine of the usage export. Its state says which
// exported files count, and up to which period the usage of each gateway has been exported.
//
// Gateways meter units by period and incarnation. The leader of a shard collects closed periods and
// writes them to files. A file counts only once a command with its digest is committed. A command
// is rejected if its term is over, or if it would export a period twice or skip one.
//
// The state machine is deterministic. It does no I/O and reads no clock.
package usageexport

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// MachineName is the name of this state machine in the replicated log.
const MachineName = "exports"

// maxFiles is the number of files that View.Files lists. View.Chain covers older files, too.
const maxFiles = 512

// RoleOfShard returns the name of the role that exports a shard.
func RoleOfShard(shard int) string { return "use/" + strconv.Itoa(shard) }

// ShardOf returns the shard in which the usage of a gateway is exported.
func ShardOf(id string, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(max(1, shards)))
}

// PeriodRange is a range of periods of one incarnation in a file, both ends included.
type PeriodRange struct {
	// ID is the id of the gateway.
	ID string `json:"id"`
	// Incarnation is the incarnation in hexadecimal.
	Incarnation string `json:"boot"`
	From        uint64 `json:"from"`
	To          uint64 `json:"to"`
	// Last is set if the incarnation has no later periods.
	Last bool `json:"last,omitempty"`
}

// Gap is usage that is known to be lost: what an incarnation counted after the period After.
type Gap struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	After       uint64 `json:"after"`
	Reason      string `json:"why"`
}

// File is an exported file. It counts once a Command with it is committed and applied.
type File struct {
	Role string `json:"duty"`
	Term uint64 `json:"term"`
	// Owner is the id of the leader that exported the file.
	Owner  string        `json:"owner"`
	Name   string        `json:"name"`
	SHA256 string        `json:"sha256"`
	Rows   int           `json:"rows"`
	Units  float64       `json:"units"`
	Ranges []PeriodRange `json:"spans"`
	// Index is the index of the log entry whose command made the file count.
	Index uint64 `json:"index"`
}

// Incarnation identifies one incarnation of a gateway.
type Incarnation struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
}

// Command makes a file count, and reports gaps and incarnations.
type Command struct {
	Shards int   `json:"shards"`
	File   *File `json:"file,omitempty"`
	Gaps   []Gap `json:"gaps,omitempty"`
	// Seen are incarnations that counted usage, or may have. They remain listed even if the
	// directories with their counts are lost.
	Seen []Incarnation `json:"seen,omitempty"`
	// Role and Term are the role and the fencing token under which the command is sent.
	Role string `json:"duty"`
	Term uint64 `json:"term"`
}

// Result is the answer to a Command.
type Result struct {
	OK bool `json:"ok"`
	// Reason is why the command was rejected. Answers are part of the replicated state, so the
	// texts of this package's errors must not change.
	Reason string `json:"why,omitempty"`
}

// Progress is the last exported period of an incarnation.
type Progress struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	// Period is the last exported period; 0 if there is none.
	Period uint64 `json:"period"`
	// Last is set if the incarnation has no later periods.
	Last bool `json:"last,omitempty"`
	// Gap is why later periods are lost; empty if they are not.
	Gap string `json:"gap,omitempty"`
}

// View is the answer to a query, and the format of a snapshot.
type View struct {
	Progress []Progress `json:"marks"`
	// Files are the newest files, at most maxFiles, from the oldest to the newest.
	Files []File `json:"files"`
	// Count is the number of all files that count, including those no longer in Files.
	Count uint64 `json:"count"`
	// Units is the sum of the units in all files that count.
	Units float64 `json:"units"`
	// Chain is a hash in hexadecimal over the digests of all files that count, in their order.
	Chain string `json:"chain"`
}

// Fence rejects commands of former leaders.
type Fence interface {
	// Fence returns an error unless who holds the role under the term. The term is the fencing
	// token.
	Fence(role string, term uint64, who lease.Member) error
}

// incarnationKey identifies an incarnation of a gateway.
type incarnationKey struct{ id, incarnation string }

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	fence    Fence
	progress map[incarnationKey]*Progress
	view     View
}

// NewMachine returns an empty state machine. The fence has to be the lease table of the same
// replicated state.
func NewMachine(f Fence) *Machine {
	return &Machine{fence: f, progress: map[incarnationKey]*Progress{}}
}

// IncarnationText returns an incarnation in hexadecimal.
func IncarnationText(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Apply applies a Command and returns a Result, both as JSON.
func (m *Machine) Apply(_ time.Duration, index uint64, who lease.Member, body []byte) []byte {
	var command Command
	err := json.Unmarshal(body, &command)
	if err == nil {
		err = m.apply(index, who, &command)
	}
	r := Result{OK: err == nil}
	if err != nil {
		r.Reason = err.Error()
	}
	return mustjson.Marshal(r)
}

// apply checks the whole command before it applies any part of it.
func (m *Machine) apply(index uint64, who lease.Member, command *Command) error {
	if err := m.fence.Fence(command.Role, command.Term, who); err != nil {
		return err
	}
	if err := m.check(command); err != nil {
		return err
	}
	for _, seen := range command.Seen {
		m.progressOf(seen.ID, seen.Incarnation)
	}
	for _, gap := range command.Gaps {
		progress := m.progressOf(gap.ID, gap.Incarnation)
		if !progress.Last && progress.Gap == "" {
			progress.Gap = gap.Reason
		}
	}
	if command.File != nil {
		m.addFile(index, who, command.File)
	}
	return nil
}

// check returns an error if a command can't be applied. It does not change the state.
func (m *Machine) check(command *Command) error {
	if command.File != nil {
		if err := m.checkFile(command); err != nil {
			return err
		}
	}
	for _, gap := range command.Gaps {
		if err := command.checkShard(gap.ID); err != nil {
			return err
		}
	}
	for _, seen := range command.Seen {
		if err := command.checkShard(seen.ID); err != nil {
			return err
		}
	}
	return nil
}

// checkShard rejects gateways whose usage is exported under another role.
func (c *Command) checkShard(id string) error {
	if role := RoleOfShard(ShardOf(id, c.Shards)); role != c.Role {
		return fmt.Errorf("exports: the use of %s goes under %s, not %s", id, role, c.Role)
	}
	return nil
}

// checkFile checks that a file is complete, and that each of its ranges begins after the last
// exported period of its incarnation.
func (m *Machine) checkFile(command *Command) error {
	f := command.File
	underCommand := f.Role == command.Role && f.Term == command.Term
	if !underCommand || f.Name == "" || len(f.SHA256) != 2*sha256.Size {
		return fmt.Errorf("exports: file %q: incomplete", f.Name)
	}
	exported := map[incarnationKey]uint64{} // the last period of the ranges checked so far
	for _, r := range f.Ranges {
		if err := command.checkShard(r.ID); err != nil {
			return err
		}
		key := incarnationKey{r.ID, r.Incarnation}
		last, seen := exported[key]
		if progress := m.progress[key]; !seen && progress != nil {
			last = progress.Period
		}
		if r.From != last+1 || r.To < r.From {
			return fmt.Errorf("exports: periods %d to %d of %s/%s: those up to %d are exported",
				r.From, r.To, r.ID, r.Incarnation, last)
		}
		exported[key] = r.To
	}
	return nil
}

// addFile makes a file that has passed checkFile count.
func (m *Machine) addFile(index uint64, who lease.Member, file *File) {
	for _, r := range file.Ranges {
		progress := m.progressOf(r.ID, r.Incarnation)
		progress.Period = r.To
		progress.Last = r.Last
		if r.Last {
			progress.Gap = "" // the gateway has the incarnation's counts again
		}
	}
	f := *file
	f.Owner = who.ID
	f.Index = index
	m.view.Count++
	m.view.Units += f.Units
	sum := sha256.Sum256([]byte(m.view.Chain + f.SHA256))
	m.view.Chain = hex.EncodeToString(sum[:])
	files := append(m.view.Files, f)
	m.view.Files = files[max(0, len(files)-maxFiles):]
}

// progressOf returns the progress of an incarnation, and adds the incarnation if it is new.
func (m *Machine) progressOf(id, incarnation string) *Progress {
	key := incarnationKey{id, incarnation}
	if m.progress[key] == nil {
		m.progress[key] = &Progress{ID: id, Incarnation: incarnation}
	}
	return m.progress[key]
}

// Query returns a View as JSON.
func (m *Machine) Query(time.Duration, []byte) []byte { return m.Snapshot() }

// Snapshot returns the state as JSON. Equal states give equal bytes.
func (m *Machine) Snapshot() []byte {
	v := m.view
	v.Progress = make([]Progress, 0, len(m.progress))
	for _, progress := range m.progress {
		v.Progress = append(v.Progress, *progress)
	}
	slices.SortFunc(v.Progress, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return mustjson.Marshal(v)
}

// Restore replaces the state by that of a snapshot. On an error it leaves the state unchanged.
func (m *Machine) Restore(raw []byte) error {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("exports: %w", err)
	}
	m.progress = map[incarnationKey]*Progress{}
	for _, progress := range v.Progress {
		m.progress[incarnationKey{progress.ID, progress.Incarnation}] = &progress
	}
	v.Progress = nil
	m.view = v
	return nil
}
