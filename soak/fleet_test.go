package soak

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a process that starts on a settings file that is being rewritten, and ends.
func TestSettingsAreReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{dir: t.TempDir()}
	h := &host{name: "entry-1", settingsPath: filepath.Join(f.dir, "entry-1.toml")}
	g.Expect(f.replaceSettings(h, "text")).To(Succeed())
	var writer sync.WaitGroup
	var failure error
	writer.Go(func() {
		for i := 0; i < 2000 && failure == nil; i++ {
			failure = f.replaceSettings(h, "text")
		}
	})
	for range 2000 {
		text, err := os.ReadFile(h.settingsPath)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(Equal("text"))
	}
	writer.Wait()
	g.Expect(failure).NotTo(HaveOccurred())
}
