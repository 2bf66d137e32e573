package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// A shell that ignores SIGXFSZ, as Go programs do, and writes ten bytes for each line that it reads.
const writer = `trap '' XFSZ; n=0; while read _; do n=$((n+1)); printf 0123456789 > $n 2>/dev/null; echo written; done`

// The limit of the sizes of files takes effect in a running process, cuts a write in two, and can be
// removed again.
func TestAFullDiskRefusesWritesUntilItHasRoom(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	shell := exec.Command("sh", "-c", writer)
	shell.Dir = dir
	lines, err := shell.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	output, err := shell.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shell.Start()).To(Succeed())
	f := &fleet{history: newHistory()}
	h := &host{fileLimit: noFileLimit, process: &process{cmd: shell, ended: make(chan struct{})}}
	sizeUnder := func(limit uint64, file string) int64 {
		f.limitFiles(h, limit)
		_, err := lines.Write([]byte("\n"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = output.Read(make([]byte, len("written\n")))
		g.Expect(err).NotTo(HaveOccurred())
		info, err := os.Stat(filepath.Join(dir, file))
		g.Expect(err).NotTo(HaveOccurred())
		return info.Size()
	}
	g.Expect(sizeUnder(0, "1")).To(BeZero())
	g.Expect(sizeUnder(4, "2")).To(BeEquivalentTo(4))
	g.Expect(sizeUnder(noFileLimit, "3")).To(BeEquivalentTo(10))
	g.Expect(lines.Close()).To(Succeed())
	g.Expect(shell.Wait()).To(Succeed())
	g.Expect(f.history.recordedFailures()).To(BeEmpty())
}
