// Package operators reads the operators' file: the settings of everything that
// the platform does not offer. It is read strictly. What it leaves out keeps its
// default, with which each part is off.
package operators

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings are all that the file holds. deploy/operators.toml tells what each is for.
type Settings struct {
	State    State    `toml:"state"`
	HandOver HandOver `toml:"handover"`
}

// State is where a gateway keeps what its next process is to know.
type State struct {
	File   string   `toml:"file"` // "": nowhere
	Every  Duration `toml:"every"`
	Oldest Duration `toml:"oldest"`
}

// HandOver is how a process is replaced by a new one that takes its sockets over.
type HandOver struct {
	On          bool     `toml:"on"`
	PIDFile     string   `toml:"pid_file"` // "": none is written
	ReadyWithin Duration `toml:"ready_within"`
}

// Duration is a length of time, written as 1s or 250ms.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time such as 250ms or 1s", text)
	}
	*d = Duration(v)
	return nil
}

// Defaults are the settings where there is no file.
func Defaults() Settings {
	return Settings{
		State:    State{Every: Duration(time.Second), Oldest: Duration(time.Minute)},
		HandOver: HandOver{ReadyWithin: Duration(10 * time.Second)},
	}
}

// Load reads a file. An error is one line that names the file and, where it can
// be told, the line and the key.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("operators: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return s, fmt.Errorf("operators: %s:%w", path, err)
	}
	return s, nil
}

// Parse reads the text of a file. Its errors begin with the line.
func Parse(raw []byte) (Settings, error) {
	s := Defaults()
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&s)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		row, _ := strict.Errors[0].Position()
		return Settings{}, fmt.Errorf("%d: %s: no such setting", row, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &decode):
		row, _ := decode.Position()
		why := strings.TrimPrefix(decode.Error(), "toml: ")
		if key := strings.Join(decode.Key(), "."); key != "" {
			why = key + ": " + why
		}
		return Settings{}, fmt.Errorf("%d: %s", row, oneLine(why))
	case err != nil:
		return Settings{}, fmt.Errorf("0: %s", oneLine(err.Error()))
	}
	if key, why := s.check(); why != "" {
		return Settings{}, fmt.Errorf("%d: %s: %s", lineOf(raw, key), key, why)
	}
	return s, nil
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// check tells which setting can't be used, and why.
func (s *Settings) check() (key, why string) {
	within := func(d Duration, least, most time.Duration) string {
		if time.Duration(d) < least || time.Duration(d) > most {
			return fmt.Sprintf("%v: from %v to %v wanted", time.Duration(d), least, most)
		}
		return ""
	}
	for _, c := range []struct{ key, why string }{
		{"state.every", within(s.State.Every, 50*time.Millisecond, time.Minute)},
		{"state.oldest", within(s.State.Oldest, time.Second, time.Hour)},
		{"handover.ready_within", within(s.HandOver.ReadyWithin, 100*time.Millisecond, 10*time.Minute)},
	} {
		if c.why != "" {
			return c.key, c.why
		}
	}
	switch {
	case s.State.File != "" && filepath.Base(s.State.File) != strings.TrimSpace(filepath.Base(s.State.File)):
		return "state.file", "a name that ends in a space"
	case s.State.Oldest < s.State.Every:
		return "state.oldest", "less than state.every: no state would ever be used"
	case s.HandOver.PIDFile != "" && !s.HandOver.On:
		return "handover.pid_file", "set though handover.on is false"
	case s.HandOver.PIDFile != "" && s.HandOver.PIDFile == s.State.File:
		return "handover.pid_file", "the same file as state.file"
	}
	return "", ""
}

// lineOf finds the line on which a key stands; 1 where it is left to its default.
func lineOf(raw []byte, key string) int {
	table, name, _ := strings.Cut(key, ".")
	in := ""
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = strings.Trim(line, "[] ")
		}
		left, _, ok := strings.Cut(line, "=")
		if left = strings.TrimSpace(left); ok && (in == table && left == name || in == "" && left == key) {
			return i + 1
		}
	}
	return 1
}

// Fixed names the settings that differ from another's and that only a new
// process can take in.
func (s *Settings) Fixed(other *Settings) (names []string) {
	for _, c := range []struct {
		name    string
		changed bool
	}{
		{"state.file", s.State.File != other.State.File},
		{"state.oldest", false}, // only a start uses it
		{"handover", s.HandOver != other.HandOver},
	} {
		if c.changed {
			names = append(names, c.name)
		}
	}
	return names
}
