package plans

import (
	"strings"
	"testing"
)

const good = `
[[plan]]
name = "basico"
rate = 1.5
burst = 8
[[plan]]
name = "corporativo"
rate = 12
burst = 40
ceiling_rate = 20
ceiling_burst = 60
[[customer]]
id = "00000000736c7170"
plan = "corporativo"
`

func TestParse(t *testing.T) {
	b, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if h, ok := b.At(0x736c7170, 0); !ok || h.Plan != "corporativo" || h.CeilingBurst != 60 {
		t.Errorf("%+v %v", h, ok)
	}
	if v, ok := b.Plan("basico", 0); !ok || v.Rate != 1.5 || v.Burst != 8 {
		t.Errorf("%+v %v", v, ok)
	}
	if _, ok := b.Plan("outro", 0); ok {
		t.Error("found a plan that does not exist")
	}
}

func TestParseErrorsNameThePlace(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key": {good + "colour = \"red\"\n", "colour"},
		"not TOML":    {"[[plan]\n", "line 1"},
		"no plan":     {"", "the file has no plan"},
		"twice":       {"[[plan]]\nname=\"a\"\n[[plan]]\nname=\"a\"\n", "twice"},
		"short id":    {strings.Replace(good, "00000000736c7170", "736c7170", 1), "customer 1"},
		"no such plan": {
			strings.Replace(good, `plan = "corporativo"`, `plan = "outro"`, 1), "outro",
		},
		"below 0":        {strings.Replace(good, "rate = 1.5", "rate = -1.5", 1), "basico"},
		"half a ceiling": {strings.Replace(good, "ceiling_burst = 60", "", 1), "corporativo"},
		"not a number":   {strings.Replace(good, "rate = 1.5", "rate = nan", 1), "basico"},
		"assigned two plans": {
			good + "[[customer]]\nid = \"00000000736c7170\"\nplan = \"basico\"\n", "assigned two plans",
		},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", name, err, c.want)
		}
	}
}
