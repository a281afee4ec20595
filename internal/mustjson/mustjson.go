// Package mustjson encodes values of the program's own types as JSON, for state machines and
// digests that can't handle an encoding error.
package mustjson

import "encoding/json"

// Marshal returns v as JSON, as encoding/json encodes it: equal values give equal bytes. It panics
// on an error: only a type or a float that JSON can't represent causes one, which is a bug in the
// program.
func Marshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
