package quarantine

import (
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

func TestIdentityDistinguishesRequests(t *testing.T) {
	base := Content{Tenant: "t", Method: "POST", Host: "a.example", Target: "/x/1?q=2", Body: []byte("body")}
	if again := base; Identify(again) != Identify(base) {
		t.Fatal("equal requests have different identities")
	}
	for name, change := range map[string]func(content *Content){
		"tenant": func(content *Content) { content.Tenant = "u" },
		"method": func(content *Content) { content.Method = "GET" },
		"host":   func(content *Content) { content.Host = "b.example" },
		"target": func(content *Content) { content.Target = "/x/1?q=3" },
		"body":   func(content *Content) { content.Body = []byte("bodz") },
		"end of one part at the beginning of the next": func(content *Content) { content.Host, content.Target = "a.example/", "x/1?q=2" },
		"end of the target at the beginning of the body": func(content *Content) {
			content.Target, content.Body = "/x/1?q=2b", []byte("ody")
		},
	} {
		changed := base
		change(&changed)
		if Identify(changed) == Identify(base) {
			t.Errorf("%s: different requests have the same identity", name)
		}
	}
}

func TestParseIdentity(t *testing.T) {
	identity := Identify(Content{Target: "/x"})
	parsed, err := ParseIdentity(identity.String())
	if err != nil || parsed != identity {
		t.Errorf("%s parses as %s (%v)", identity, parsed, err)
	}
	for _, text := range []string{"", "xy", identity.String()[2:], identity.String() + "00"} {
		if _, err := ParseIdentity(text); fault.FieldOf(err) != "identity" {
			t.Errorf("%q: got error %v, want one of the field", text, err)
		}
	}
}

// BenchmarkIdentify hashes a request with a body of 18 kB.
func BenchmarkIdentify(b *testing.B) {
	content := Content{Method: "POST", Host: "a.example", Target: "/x/1", Body: make([]byte, 18<<10)}
	for b.Loop() {
		_ = Identify(content)
	}
}
