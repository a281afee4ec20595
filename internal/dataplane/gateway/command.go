package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// command is a client's request as it was read.
type command struct {
	args         [][]byte
	clientID     uint64 // the id that the client gave
	timeoutField [2]int // where the value of d stands in args[3]
	request      policy.Request
}

const (
	defaultMaxUnits  = 1e6              // where the settings tell none
	maxTimeoutMillis = 24 * 3600 * 1000 // ms
	customerLimit    = 1 << 33
	timeoutSlack     = 1_000_000 // that d may be over the class's limit
)

// parseCommand reads API.READ or API.WRITE. Every field must be known and right: what
// is not understood reaches no backend.
func (cfg *Config) parseCommand(args [][]byte) (command, error) {
	if len(args) < 4 || len(args) > 5 {
		return command{}, errors.New("wrong number of arguments")
	}
	c := command{args: args}
	customer, ok := hex16(args[1])
	if !ok || customer >= customerLimit {
		return c, errors.New("customer: 16 hex digits below 2^33 wanted")
	}
	if c.clientID, ok = hex16(args[2]); !ok {
		return c, errors.New("id: 16 hex digits wanted")
	}
	c.request.Customer = customer
	seen, err := cfg.parseFields(&c)
	if err != nil {
		return c, err
	}
	for i, name := range fieldNames {
		if i < requiredFields && seen&(1<<i) == 0 {
			return c, fmt.Errorf("field %s: missing", name)
		}
	}
	if limit := cfg.Host.Limits[c.request.Class]; limit > 0 && c.request.Timeout > limit+timeoutSlack {
		// Longer than any client waits: it would keep its timers and its request.
		return c, errors.New("field d: longer than the class allows")
	}
	effect := cfg.Settings.Classes[c.request.Class].Idempotency
	if effect == policy.WithIdempotencyKey && seen&(1<<keyField) == 0 {
		return c, errors.New("field k: missing")
	}
	if reads := bytes.EqualFold(args[0], readCommand); reads != (effect == policy.Idempotent) {
		return c, fmt.Errorf("class %s does not go by this command", cfg.Host.Classes[c.request.Class])
	}
	return c, nil
}

// The fields by name, those that every request needs first.
const (
	classField = iota
	planField
	timeoutFieldIndex
	unitsField
	spreadField
	firstField
	keyField
	retryField
	requiredFields = keyField
)

var fieldNames = [...]string{"c", "t", "d", "units", "spread", "first", "k", "r"}

// parseFields reads the list of names and values, and tells which it holds: a bit for
// each.
func (cfg *Config) parseFields(c *command) (seen uint, err error) {
	list := c.args[3]
	for start := 0; start <= len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[start:], ','); i >= 0 {
			end = start + i
		}
		name, value, ok := bytes.Cut(list[start:end], []byte{'='})
		field := slices.Index(fieldNames[:], string(name))
		switch {
		case field < 0:
			return seen, fmt.Errorf("field %.32q: unknown", name)
		case !ok || seen&(1<<field) != 0:
			return seen, errors.New("fields: name=value wanted, each once")
		}
		if err := cfg.parseField(c, field, string(value)); err != nil {
			return seen, err
		}
		if field == timeoutFieldIndex {
			c.timeoutField = [2]int{end - len(value), end}
		}
		seen |= 1 << field
		start = end + 1
	}
	return seen, nil
}

func (cfg *Config) parseField(c *command, field int, value string) error {
	ok := false
	switch field {
	case classField:
		c.request.Class = slices.Index(cfg.Host.Classes, value)
		ok = c.request.Class >= 0
	case planField:
		c.request.Plan = slices.Index(cfg.Host.Plans, value)
		ok = c.request.Plan >= 0
	case timeoutFieldIndex:
		ms, err := strconv.ParseInt(value, 10, 64)
		c.request.Timeout = ms * 1000
		ok = err == nil && ms > 0 && ms <= maxTimeoutMillis
	case keyField:
		ok = value != ""
	case retryField:
		ok = value == "0" || value == "1"
	case unitsField:
		units, err := strconv.ParseFloat(value, 64)
		c.request.Units = units
		most := cfg.Host.MaxUnits
		if most <= 0 {
			most = defaultMaxUnits
		}
		ok = err == nil && units > 0 && units <= most // which NaN is not
	case spreadField:
		n, err := strconv.Atoi(value)
		c.request.Spread = n
		ok = err == nil && n >= 1 && n <= cfg.Settings.Gateways
	case firstField:
		n, err := strconv.Atoi(value)
		c.request.First = n
		ok = err == nil && n >= 0 && n < cfg.Settings.Gateways
	}
	if !ok {
		return fmt.Errorf("field %s: bad value %.64q", fieldNames[field], value)
	}
	return nil
}

func hex16(b []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == 16
}

// encodeForBackend is the request as a backend gets it: as it came, but for d.
func (r *request) encodeForBackend(wait policy.Time) []byte {
	fields := r.args[3]
	list := make([]byte, 0, len(fields)+8)
	list = append(list, fields[:r.timeoutField[0]]...)
	list = strconv.AppendInt(list, max(1, wait/1000), 10)
	list = append(list, fields[r.timeoutField[1]:]...)

	b := resp.AppendArray(make([]byte, 0, argBytes(r.args)+72), len(r.args))
	for i, arg := range r.args {
		if i == 3 {
			arg = list
		}
		b = resp.AppendBulk(b, arg)
	}
	return b
}
