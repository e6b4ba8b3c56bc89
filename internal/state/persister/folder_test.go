package persister

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestNewFoldersAreDurable guards against a data folder that a loss of power removes with all that was acknowledged: the names
// of the folders that were created on the way to it were never synced.
func TestNewFoldersAreDurable(t *testing.T) {
	for _, test := range []struct {
		name string
		open func(files filer.Files, folder string) error
	}{
		{"storage", func(files filer.Files, folder string) error {
			p, _, err := Open(files, folder, "vm1", &messages.Members{})
			if err != nil {
				return err
			}
			return p.Close()
		}},
		{"probe", Writable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			base := t.TempDir()
			folder := filepath.Join(base, "a", "b")
			synced := map[string]bool{}
			files := filer.Faulty{Files: filer.Disk{}, Fault: func(op filer.Operation, path string) error {
				if op == filer.OpSyncFolder {
					synced[path] = true
				}
				return nil
			}}
			is.NoErr(test.open(files, folder))
			is.True(synced[base])                     // holds the name a
			is.True(synced[filepath.Join(base, "a")]) // holds the name b
			clear(synced)
			is.NoErr(test.open(files, folder))
			is.True(!synced[base]) // nothing was created
		})
	}
}
