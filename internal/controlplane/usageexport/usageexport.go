// Package usageexport is the replicated state of usage export: which files count, and up to which
// period the use of each gateway is exported. Gateways meter units by period and incarnation, which
// the code calls a boot; the leader of a shard collects closed periods and writes them to files. A
// file counts only once a committed entry names its digest. That entry is refused under an old
// term, and where it would export a period twice or skip one.
//
// It is a deterministic state machine: nothing here does I/O or reads a clock.
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

// MachineName is the name of this state machine in the replicated state.
const MachineName = "exports"

// maxFiles is how many files are listed; the chain of digests covers older ones.
const maxFiles = 512

// RoleOfShard returns the name of the role that exports a shard.
func RoleOfShard(shard int) string { return "use/" + strconv.Itoa(shard) }

// ShardOf returns the shard in which the use of a gateway is exported.
func ShardOf(id string, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(max(1, shards)))
}

// PeriodRange is a range of periods of one incarnation in a file, both ends included.
type PeriodRange struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // in hexadecimal
	From        uint64 `json:"from"`
	To          uint64 `json:"to"`
	Last        bool   `json:"last,omitempty"` // the incarnation counted nothing after it
}

// Gap is use that was lost, as far as is known: what an incarnation counted after a period.
type Gap struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	After       uint64 `json:"after"`
	Reason      string `json:"why"`
}

// File is an exported file that counts.
type File struct {
	Role   string        `json:"duty"`
	Term   uint64        `json:"term"`
	Owner  string        `json:"owner"` // id
	Name   string        `json:"name"`
	SHA256 string        `json:"sha256"`
	Rows   int           `json:"rows"`
	Units  float64       `json:"units"`
	Ranges []PeriodRange `json:"spans"`
	Index  uint64        `json:"index"` // index of the log entry that made it count
}

// Incarnation is one incarnation of a gateway.
type Incarnation struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
}

// Command is the command: it makes a file count, and reports gaps and incarnations.
type Command struct {
	Shards int   `json:"shards"`
	File   *File `json:"file,omitempty"`
	Gaps   []Gap `json:"gaps,omitempty"`
	// Seen are incarnations that counted use, or may have. They are listed from then on, even if
	// their folders are lost.
	Seen []Incarnation `json:"seen,omitempty"`
	// Role and Term are the role and the fencing token under which the command is sent.
	Role string `json:"duty"`
	Term uint64 `json:"term"`
}

// Result is the answer to an Op.
type Result struct {
	OK     bool   `json:"ok"`
	Reason string `json:"why,omitempty"`
}

// Progress is the last exported period of an incarnation.
type Progress struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	Period      uint64 `json:"period"`
	Last        bool   `json:"last,omitempty"`
	Gap         string `json:"gap,omitempty"` // why what came after is lost
}

// View is the answer to a query, and the format of a snapshot.
type View struct {
	Progress []Progress `json:"marks"`
	Files    []File     `json:"files"` // the newest last
	Count    uint64     `json:"count"` // files ever
	Units    float64    `json:"units"` // in them
	Chain    string     `json:"chain"` // over the digests of all files, in their order
}

// Fence refuses a command under an old term.
type Fence interface {
	Fence(duty string, term uint64, who lease.Member) error
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	fence    Fence
	progress map[[2]string]*Progress
	view     View
}

// NewMachine returns an empty state machine. The fence is the table of leases, which has to be part
// of the same replicated state.
func NewMachine(f Fence) *Machine { return &Machine{fence: f, progress: map[[2]string]*Progress{}} }

// IncarnationText returns an incarnation in hexadecimal.
func IncarnationText(boot uint64) string { return strconv.FormatUint(boot, 16) }

// Apply applies an Op and returns a Result, both as JSON.
func (m *Machine) Apply(_ time.Duration, index uint64, who lease.Member, body []byte) []byte {
	var op Command
	err := json.Unmarshal(body, &op)
	if err == nil {
		err = m.apply(index, who, &op)
	}
	r := Result{OK: err == nil}
	if err != nil {
		r.Reason = err.Error()
	}
	return mustjson.Marshal(r)
}

// apply checks a command whole and then applies it.
func (m *Machine) apply(index uint64, who lease.Member, op *Command) error {
	if err := m.fence.Fence(op.Role, op.Term, who); err != nil {
		return err
	}
	mine := func(id string) error {
		if d := RoleOfShard(ShardOf(id, op.Shards)); d != op.Role {
			return fmt.Errorf("exports: the use of %s goes under %s, not %s", id, d, op.Role)
		}
		return nil
	}
	if f := op.File; f != nil {
		if f.Role != op.Role || f.Term != op.Term || f.Name == "" ||
			len(f.SHA256) != 2*sha256.Size {
			return fmt.Errorf("exports: file %q: not whole", f.Name)
		}
		// All spans are checked before any of them is applied.
		ends := map[[2]string]uint64{}
		for _, s := range f.Ranges {
			if err := mine(s.ID); err != nil {
				return err
			}
			key := [2]string{s.ID, s.Incarnation}
			done, seen := ends[key]
			if mark := m.progress[key]; !seen && mark != nil {
				done = mark.Period
			}
			if s.From != done+1 || s.To < s.From {
				return fmt.Errorf("exports: periods %d to %d of %s/%s: those up to %d are exported",
					s.From, s.To, s.ID, s.Incarnation, done)
			}
			ends[key] = s.To
		}
	}
	for _, g := range op.Gaps {
		if err := mine(g.ID); err != nil {
			return err
		}
	}
	for _, b := range op.Seen {
		if err := mine(b.ID); err != nil {
			return err
		}
	}
	for _, b := range op.Seen {
		m.progressOf(b.ID, b.Incarnation)
	}
	for _, g := range op.Gaps {
		if mark := m.progressOf(g.ID, g.Incarnation); !mark.Last && mark.Gap == "" {
			mark.Gap = g.Reason
		}
	}
	if op.File == nil {
		return nil
	}
	for _, s := range op.File.Ranges {
		mark := m.progressOf(s.ID, s.Incarnation)
		mark.Period, mark.Last = s.To, s.Last
		if s.Last {
			mark.Gap = "" // its folder came back
		}
	}
	f := *op.File
	f.Owner, f.Index = who.ID, index
	m.view.Count++
	m.view.Units += f.Units
	sum := sha256.Sum256([]byte(m.view.Chain + f.SHA256))
	m.view.Chain = hex.EncodeToString(sum[:])
	files := append(m.view.Files, f)
	m.view.Files = files[max(0, len(files)-maxFiles):]
	return nil
}

// progressOf returns the mark of an incarnation, which is added where there is none.
func (m *Machine) progressOf(id, boot string) *Progress {
	key := [2]string{id, boot}
	if m.progress[key] == nil {
		m.progress[key] = &Progress{ID: id, Incarnation: boot}
	}
	return m.progress[key]
}

// Query returns a View as JSON.
func (m *Machine) Query(time.Duration, []byte) []byte { return m.Snapshot() }

// Snapshot returns the state as JSON; equal states give equal bytes.
func (m *Machine) Snapshot() []byte {
	v := m.view
	v.Progress = make([]Progress, 0, len(m.progress))
	for _, mark := range m.progress {
		v.Progress = append(v.Progress, *mark)
	}
	slices.SortFunc(v.Progress, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return mustjson.Marshal(v)
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(raw []byte) error {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("exports: %w", err)
	}
	m.progress = map[[2]string]*Progress{}
	for _, mark := range v.Progress {
		m.progress[[2]string{mark.ID, mark.Incarnation}] = &mark
	}
	v.Progress = nil
	m.view = v
	return nil
}
