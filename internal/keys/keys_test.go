package keys_test

import (
	"os"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keys"
	"github.com/weldline/weldline/internal/keys/keystest"
)

func serial(t *testing.T, store *keys.Store) string {
	t.Helper()
	certificate, err := store.PublicServer().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return certificate.Leaf.SerialNumber.String()
}

// TestChangedFilesReloaded replaces the certificate while it is in use, and
// then its key with invalid data.
func TestChangedFilesReloaded(t *testing.T) {
	authority := keystest.NewAuthority(t)
	files := authority.Issue("node-1")
	store, err := keys.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	store.SetClock(func() time.Time { return now })
	first := serial(t, store)
	authority.Issue("node-1")
	touch(t, files.Certificate, now.Add(time.Minute))
	if serial(t, store) != first {
		t.Error("the files were read again too soon")
	}
	now = now.Add(2 * time.Second)
	second := serial(t, store)
	if second == first {
		t.Error("the new certificate is not in use")
	}
	if err := os.WriteFile(files.Key, []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch(t, files.Key, now.Add(2*time.Minute))
	now = now.Add(2 * time.Second)
	if serial(t, store) != second {
		t.Error("a pair that doesn't fit replaced the one in use")
	}
}

func touch(t *testing.T, path string, at time.Time) {
	t.Helper()
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
}

// TestLoadErrorsNameField checks that errors name the setting at fault.
func TestLoadErrorsNameField(t *testing.T) {
	authority := keystest.NewAuthority(t)
	good := authority.Issue("node-1")
	for _, entry := range []struct {
		field string
		files keys.Files
	}{
		{"tls.certificate", keys.Files{Certificate: "missing", Key: good.Key, Authority: good.Authority}},
		{"tls.certificate", keys.Files{Certificate: good.Certificate, Key: authority.Issue("node-2").Key, Authority: good.Authority}},
		{"tls.authority", keys.Files{Certificate: good.Certificate, Key: good.Key, Authority: "missing"}},
		{"tls.authority", keys.Files{Certificate: good.Certificate, Key: good.Key, Authority: good.Key}},
	} {
		if _, err := keys.Load(entry.files); !fault.Is(err, fault.Invalid) || fault.FieldOf(err) != entry.field {
			t.Errorf("%+v: %v", entry.files, err)
		}
	}
}
