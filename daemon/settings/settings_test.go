package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/settings"
)

// validFile returns a valid settings file.
func validFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "key.pem")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(`[daemon]
id = entry-1
hall = vad-hall-a
callers = 127.0.0.1:8080
admin = 127.0.0.1:8081
peers = 127.0.0.1:8082
seeds = entry-2@127.0.0.1:8083
[platform]
url = http://127.0.0.1:9000
[tls]
certificate = FILE
key = FILE
authority = FILE
[sessions]
pin_keys = 00112233445566778899aabbccddeeff
[table_age]
rolling_out = 20s
`, "FILE", file)
}

func TestParseValidSettings(t *testing.T) {
	s, err := settings.Parse("a.ini", []byte(validFile(t)))
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "entry-1" || s.RollingOutAge != 20*time.Second || s.DefaultDeadline != time.Minute || len(s.Seeds) != 1 || s.LogJSON {
		t.Errorf("read %+v", s)
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	wrong := strings.NewReplacer(
		"id = entry-1", "id = entry 1",
		"callers = 127.0.0.1:8080", "callers = localhost",
		"seeds = entry-2@127.0.0.1:8083", "seeds = entry-2",
		"url = http://127.0.0.1:9000", "url = 127.0.0.1",
		"pin_keys = 00112233445566778899aabbccddeeff", "pin_keys = abc",
		"rolling_out = 20s", "rolling_out = soon\ncolour = red",
		"hall = vad-hall-a", "",
	).Replace(validFile(t)) + "[log]\nlevel = loud\nformat = xml\n[requests]\nmax_body = 0\ndefault_deadline = 1h\n[other]\nx = 1\n"
	_, err := settings.Parse("a.ini", []byte(wrong))
	if !fault.Is(err, settings.Invalid) {
		t.Fatalf("got %v", err)
	}
	for _, want := range []string{
		"section [daemon], key id", "section [daemon], key callers", "section [daemon], key seeds", "section [daemon], key hall",
		"section [platform], key url", "section [sessions], key pin_keys", "section [table_age], key rolling_out",
		"section [table_age], key colour", "section [log], key level", "section [log], key format",
		"section [requests], key max_body", "section [requests], key default_deadline", "section [other]",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name %q:\n%v", want, err)
		}
	}
}

// FuzzParse checks that any file is rejected with a typed error: the key files
// that a valid one would name do not exist.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[daemon]\nid = a\nid = b\n"))
	f.Add([]byte("[daemon\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("a.ini", data)
		var typed *settings.Error
		if err == nil || !errors.As(err, &typed) {
			t.Fatalf("files that the settings name are missing, but got %v", err)
		}
	})
}
