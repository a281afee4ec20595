package simprotocol

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// errUnknownWord is the error for a setting whose value is not one of the allowed words.
var errUnknownWord = errors.New("unknown word")

// SettingError is the error for a setting that is missing or invalid.
type SettingError struct {
	Key string
	Err error
}

// Error returns the name of the setting and the cause.
func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// setter sets a field from a setting's value.
type setter func(d *draft, value string) error

func intSetting[T ~int | ~int64](field func(*draft) *T) setter {
	return func(d *draft, value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return err
		}
		*field(d) = T(n)
		return nil
	}
}

func floatSetting(field func(*draft) *float64) setter {
	return func(d *draft, value string) error {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		*field(d) = x
		return nil
	}
}

func boolSetting(field func(*draft) *bool) setter {
	return func(d *draft, value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return err
		}
		*field(d) = b
		return nil
	}
}

func textSetting(field func(*draft) *string) setter {
	return func(d *draft, value string) error {
		*field(d) = value
		return nil
	}
}

// listSetting reads comma-separated strings.
func listSetting(field func(*draft) *[]string) setter {
	return func(d *draft, value string) error {
		*field(d) = strings.Split(value, ",")
		return nil
	}
}

// wordSetting reads one of the words of a table.
func wordSetting[V any](table map[string]V, field func(*draft) *V) setter {
	return func(d *draft, value string) error {
		v, ok := table[value]
		if !ok {
			return errUnknownWord
		}
		*field(d) = v
		return nil
	}
}

// apply sets the fields of a table from the values whose keys have the prefix.
func (d *draft) apply(values map[string]string, prefix string, table map[string]setter) error {
	for key, set := range table {
		value, ok := values[prefix+key]
		if !ok {
			continue
		}
		if err := set(d, value); err != nil {
			return &SettingError{prefix + key, fmt.Errorf("value %q: %w", value, err)}
		}
	}
	return nil
}

// applyList sets the fields of all items of a list. For each item it first calls add, which appends
// an empty one.
func (d *draft) applyList(
	values map[string]string, name string, table map[string]setter, add func(),
) error {
	key := name + ".count"
	value, ok := values[key]
	if !ok {
		return &SettingError{key, errors.New("missing")}
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > len(values) {
		return &SettingError{key, fmt.Errorf("value %q is no count of items", value)}
	}
	for i := range n {
		add()
		if err := d.apply(values, fmt.Sprintf("%s.%d.", name, i), table); err != nil {
			return err
		}
	}
	return nil
}
