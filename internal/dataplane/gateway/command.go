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

// command is a parsed API.READ or API.WRITE.
type command struct {
	args         [][]byte
	clientID     uint64 // the id that the client sent
	timeoutField [2]int // start and end of the value of field d in args[3]
	request      policy.Request
}

const (
	defaultMaxUnits              = 1e6              // if the settings give none
	maxTimeoutMillis             = 24 * 3600 * 1000 // of field d
	customerLimit                = 1 << 33          // customer numbers are below it
	timeoutSlack     policy.Time = 1_000_000        // how far field d may exceed the class's limit
)

// Errors in commands. Their texts are sent to clients.
var (
	errArguments     = errors.New("wrong number of arguments")
	errCustomer      = errors.New("customer: 16 hex digits below 2^33 wanted")
	errRequestID     = errors.New("id: 16 hex digits wanted")
	errTimeoutTooBig = errors.New("field d: longer than the class allows")
	errNoKey         = errors.New("field k: missing")
	errFieldSyntax   = errors.New("fields: name=value wanted, each once")
)

// parseCommand parses API.READ or API.WRITE. Every field must be known and valid; a command that
// can't be parsed is not sent to a backend.
func (cfg *Config) parseCommand(args [][]byte) (command, error) {
	if len(args) < 4 || len(args) > 5 {
		return command{}, errArguments
	}
	c := command{args: args}
	customer, ok := parseHex16(args[1])
	if !ok || customer >= customerLimit {
		return c, errCustomer
	}
	if c.clientID, ok = parseHex16(args[2]); !ok {
		return c, errRequestID
	}
	c.request.Customer = customer
	seen, err := cfg.parseFields(&c)
	if err != nil {
		return c, err
	}
	return c, cfg.checkFields(&c, seen)
}

// checkFields checks the fields of a command against each other and against the class. seen has one
// bit for each field that is present.
func (cfg *Config) checkFields(c *command, seen uint) error {
	for i, name := range fieldNames {
		if i < requiredFields && seen&(1<<i) == 0 {
			return fmt.Errorf("field %s: missing", name)
		}
	}
	class := c.request.Class
	limit := cfg.Host.ClientTimeouts[class]
	if limit > 0 && c.request.Timeout > limit+timeoutSlack {
		// No client waits this long, and the request would only use memory.
		return errTimeoutTooBig
	}
	idempotency := cfg.Settings.Classes[class].Idempotency
	if idempotency == policy.WithIdempotencyKey && seen&(1<<keyField) == 0 {
		return errNoKey
	}
	isRead := bytes.EqualFold(c.args[0], readCommand)
	if isRead != (idempotency == policy.Idempotent) {
		return fmt.Errorf("class %s does not go by this command", cfg.Host.Classes[class])
	}
	return nil
}

// Indexes of the fields in fieldNames. Those below requiredFields are required.
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

// parseFields parses the list of names and values. It returns one bit for each field that is
// present.
func (cfg *Config) parseFields(c *command) (seen uint, err error) {
	list := c.args[3]
	for start := 0; start <= len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[start:], ','); i >= 0 {
			end = start + i
		}
		name, value, ok := bytes.Cut(list[start:end], []byte{'='})
		field := slices.Index(fieldNames[:], string(name))
		if field < 0 {
			return seen, fmt.Errorf("field %.32q: unknown", name)
		}
		if !ok || seen&(1<<field) != 0 {
			return seen, errFieldSyntax
		}
		if !cfg.parseField(c, field, string(value)) {
			return seen, fmt.Errorf("field %s: bad value %.64q", fieldNames[field], value)
		}
		if field == timeoutFieldIndex {
			c.timeoutField = [2]int{end - len(value), end}
		}
		seen |= 1 << field
		start = end + 1
	}
	return seen, nil
}

// parseField parses a field's value into the command. It returns false if the value is invalid.
func (cfg *Config) parseField(c *command, field int, value string) bool {
	r := &c.request
	switch field {
	case classField:
		r.Class = slices.Index(cfg.Host.Classes, value)
		return r.Class >= 0
	case planField:
		r.Plan = slices.Index(cfg.Host.Plans, value)
		return r.Plan >= 0
	case timeoutFieldIndex:
		millis, err := strconv.ParseInt(value, 10, 64)
		r.Timeout = millis * 1000
		return err == nil && millis > 0 && millis <= maxTimeoutMillis
	case keyField:
		return value != ""
	case retryField:
		return value == "0" || value == "1"
	case unitsField:
		units, err := strconv.ParseFloat(value, 64)
		r.Units = units
		return err == nil && units > 0 && units <= cfg.maxUnits() // false for NaN
	case spreadField:
		n, err := strconv.Atoi(value)
		r.Spread = n
		return err == nil && n >= 1 && n <= cfg.Settings.Gateways
	case firstField:
		n, err := strconv.Atoi(value)
		r.First = n
		return err == nil && n >= 0 && n < cfg.Settings.Gateways
	}
	return false
}

// maxUnits returns the maximum number of units of a request.
func (cfg *Config) maxUnits() float64 {
	if cfg.Host.MaxUnits > 0 {
		return cfg.Host.MaxUnits
	}
	return defaultMaxUnits
}

func parseHex16(b []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == 16
}

// encodeForBackend returns the request as it is sent to a backend: unchanged except for the timeout
// in field d (in milliseconds, at least 1).
func (r *request) encodeForBackend(timeout policy.Time) []byte {
	fields := r.args[3]
	list := make([]byte, 0, len(fields)+8)
	list = append(list, fields[:r.timeoutField[0]]...)
	list = strconv.AppendInt(list, max(1, timeout/1000), 10)
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
