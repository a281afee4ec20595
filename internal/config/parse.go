package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// SettingError reports the first error found in a file.
type SettingError struct {
	Line   int    // counts from 1; 0 if it is unknown
	Key    string // with its table, such as state.every; empty if it is unknown
	Reason string
}

// Error returns the line number, the key and the reason on one line.
func (e *SettingError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("%d: %s: %s", e.Line, e.Key, e.Reason)
}

// Load reads and checks the file at path. Its error is one line that names the file; it wraps a
// SettingError unless the file can't be read.
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

// Parse reads and checks the text of a file. Its error is a SettingError.
func Parse(raw []byte) (Settings, error) {
	s := Defaults()
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&s)
	if err != nil {
		return Settings{}, decodeError(err)
	}
	if p := s.check(); p != nil {
		return Settings{}, &SettingError{lineOfKey(raw, p.key), p.key, p.reason}
	}
	return s, nil
}

// decodeError converts an error of the TOML decoder to a SettingError.
func decodeError(err error) *SettingError {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		key := strings.Join(strict.Errors[0].Key(), ".")
		return &SettingError{line, key, "no such setting"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		reason := strings.TrimPrefix(decode.Error(), "toml: ")
		key := strings.Join(decode.Key(), ".")
		return &SettingError{line, oneLine(key), oneLine(reason)}
	}
	return &SettingError{Reason: oneLine(err.Error())}
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// lineOfKey returns the number of the line that sets a key, or 1 if no line does.
func lineOfKey(raw []byte, key string) int {
	table, name, _ := strings.Cut(key, ".")
	current := "" // the table of the line
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[] ")
		}
		assigned, _, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		assigned = strings.TrimSpace(assigned)
		inTable := current == table && assigned == name
		dotted := current == "" && assigned == key
		if inTable || dotted {
			return i + 1
		}
	}
	return 1
}
