package simprotocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// flatten converts nested JSON settings to the simulator's paths and values, so that both forms are
// parsed with the same tables.
func flatten(raw []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps a number's original text
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	flattenInto(values, "", tree)
	return values, nil
}

func flattenInto(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			flattenInto(values, join(path, key), child)
		}
	case []any:
		flattenList(values, path, node)
	default:
		values[path] = scalar(node)
	}
}

// flattenList stores a list of scalars as one comma-separated value, and objects and lists within a
// list under their indexes. A list that is empty or has items other than scalars also gets a count.
func flattenList(values map[string]string, path string, items []any) {
	var scalars []string
	for i, item := range items {
		switch item.(type) {
		case map[string]any, []any:
			flattenInto(values, join(path, strconv.Itoa(i)), item)
		default:
			scalars = append(scalars, scalar(item))
		}
	}
	if len(scalars) < len(items) || len(items) == 0 {
		values[join(path, "count")] = strconv.Itoa(len(items))
	}
	if len(scalars) == len(items) {
		values[path] = strings.Join(scalars, ",")
	}
}

// join returns the path of a key under a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// scalar formats a scalar as the simulator does. Null becomes the empty string.
func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
