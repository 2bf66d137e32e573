package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/cockroachdb/pebble/v2/vfs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/server/store"
)

const (
	diskFolder = "/disk"
	dataFolder = "/disk/log"
)

var background = context.Background()

func writeFile(fs vfs.FS, name, text string) {
	GinkgoHelper()
	f, err := fs.Create(name, vfs.WriteCategoryUnspecified)
	Expect(err).NotTo(HaveOccurred())
	_, err = f.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Sync()).To(Succeed())
	Expect(f.Close()).To(Succeed())
	dir, err := fs.OpenDir(fs.PathDir(name))
	Expect(err).NotTo(HaveOccurred())
	Expect(dir.Sync()).To(Succeed())
	Expect(dir.Close()).To(Succeed())
}

// makeData creates the data folder of a member.
func makeData(fs vfs.FS, id store.Identity) {
	GinkgoHelper()
	s, err := store.Open(dataFolder, store.Options{FS: fs})
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Create(id, consensus.Bootstrap(nil))).To(Succeed())
	Expect(s.Close()).To(Succeed())
}

// memberOf returns the member whose data are in the data folder; 0: nobody's.
func memberOf(fs vfs.FS) uint64 {
	GinkgoHelper()
	if _, err := fs.Stat(dataFolder); err != nil {
		return 0
	}
	s, err := store.Open(dataFolder, store.Options{FS: fs})
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(s.Close()).To(Succeed()) }()
	id, _, err := s.Identity()
	Expect(err).NotTo(HaveOccurred())
	return id.Member
}

var _ = Describe("the identity file", func() {
	for _, text := range []string{"", "{", `{"Member":`, `{"Member":0}`} {
		// Guards against the removal of acknowledged data after a full disk truncated the file.
		It(fmt.Sprintf("is recovered from the data if it holds %q", text), func() {
			fs := vfs.NewMem()
			h := alone(fs, diskFolder).start()
			eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
			h.stop()
			writeFile(fs, "/disk/member.json", text)
			h = alone(fs, diskFolder).start()
			defer h.stop()
			eventually(h.acknowledged).Should(ContainElement("d"))
			Expect(h.Role().Status().ID).To(Equal(uint64(1)))
		})
	}

	// Guards against the removal of acknowledged data when the file's name was not durable.
	It("is recovered from the data if it is missing", func() {
		fs := vfs.NewMem()
		makeData(fs, store.Identity{Member: 5, DiskID: "x", Formed: true})
		Expect(alone(fs, diskFolder).Identity(background)).To(Equal(uint64(5)))
		Expect(memberOf(fs)).To(Equal(uint64(5)))
	})

	// Guards against a founder that takes part in a group without the others' consent.
	It("is not recovered from the data of a founder that has not formed the group", func() {
		fs := vfs.NewMem()
		makeData(fs, store.Identity{Member: 5, DiskID: "x"})
		Expect(alone(fs, diskFolder).Identity(background)).To(Equal(uint64(1)))
		Expect(memberOf(fs)).To(BeZero())
	})

	// Guards against a data folder that is removed because it cannot be read.
	It("is not replaced while the data cannot be read", func() {
		d, mem := &disk{}, vfs.NewMem()
		makeData(mem, store.Identity{Member: 5, DiskID: "x", Formed: true})
		d.refuse(everyChange)
		h := alone(d.wrap(mem), diskFolder)
		_, err := h.Identity(background)
		Expect(err).To(MatchError(ContainSubstring("no space left on device")))
		d.repair()
		Expect(h.Identity(background)).To(Equal(uint64(5)))
	})

	// Guards against an identity that was read but is lost at the next power failure, after
	// entries were acknowledged under it.
	It("is durable when it is used, whichever change failed before", func() {
		for n := int64(0); n < 10; n++ {
			d, mem := &disk{}, vfs.NewCrashableMem()
			h := newHost(d.wrap(mem), diskFolder, address, nil) // joins: its id is random
			d.refuseFrom(n)
			_, _ = h.Identity(background)
			d.repair()
			id, err := h.Identity(background)
			Expect(err).NotTo(HaveOccurred())
			crashed := mem.CrashClone(vfs.CrashCloneCfg{})
			Expect(newHost(crashed, diskFolder, address, nil).Identity(background)).To(Equal(id), "change %d failed", n)
		}
	})

	// Guards against a failed write that truncates a valid file.
	It("stays valid when its replacement fails", func() {
		for n := int64(0); n < 10; n++ {
			d, mem := &disk{}, vfs.NewCrashableMem()
			id, err := newHost(mem, diskFolder, address, nil).Identity(background)
			Expect(err).NotTo(HaveOccurred())
			d.refuseFrom(n)
			_, _ = newHost(d.wrap(mem), diskFolder, address, nil).Identity(background)
			for _, fs := range []vfs.FS{mem.CrashClone(vfs.CrashCloneCfg{}), mem} {
				Expect(newHost(fs, diskFolder, address, nil).Identity(background)).To(Equal(id), "change %d failed", n)
			}
		}
	})
})

var _ = Describe("a member that was removed from the group", func() {
	const old = uint64(5)
	prepare := func() *vfs.MemFS {
		mem := vfs.NewCrashableMem()
		makeData(mem, store.Identity{Member: old, DiskID: "x", Formed: true})
		writeFile(mem, "/disk/member.json", fmt.Sprintf(`{"Member":%d,"Join":true}`, old))
		return mem
	}
	// expectWhole checks that the identity and the data belong together.
	expectWhole := func(fs vfs.FS, failed int64) {
		GinkgoHelper()
		h := newHost(fs, diskFolder, address, nil)
		id, err := h.Identity(background)
		Expect(err).NotTo(HaveOccurred())
		if id == old {
			Expect(memberOf(fs)).To(Equal(old), "change %d failed", failed)
			return
		}
		Expect(memberOf(fs)).To(BeZero(), "change %d failed", failed)
		makeData(fs, store.Identity{Member: id, DiskID: "y", Formed: true})
		Expect(newHost(fs, diskFolder, address, nil).Identity(background)).To(Equal(id), "change %d failed", failed)
		Expect(memberOf(fs)).To(Equal(id), "change %d failed", failed)
	}

	// Guards against data removed in part that are opened under the former identity, and against a
	// host that can never join again.
	It("joins under a new identity without data, whichever change fails or power is lost", func() {
		complete := false
		for n := int64(0); !complete; n++ {
			Expect(n).To(BeNumerically("<", 100))
			d, mem := &disk{}, prepare()
			h := newHost(d.wrap(mem), diskFolder, address, nil)
			Expect(h.Identity(background)).To(Equal(old))
			d.refuseFrom(n)
			err := h.Discard()
			if err == nil {
				_, err = h.Identity(background)
			}
			complete = err == nil
			d.repair()
			for _, unsynced := range []int{0, 50, 100} {
				random := rand.New(rand.NewPCG(uint64(n), 0))
				expectWhole(mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: unsynced, RNG: random}), n)
			}
			expectWhole(mem, n)
		}
	})

	// Guards against leftovers on the operating system's files, and against one that founds a group again.
	It("keeps nothing but its new identity on a real disk", func() {
		folder := GinkgoT().TempDir()
		h := alone(nil, folder).start()
		eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		h.stop()
		next := alone(nil, folder)
		Expect(next.Discard()).To(Succeed())
		Expect(next.Identity(background)).NotTo(Equal(uint64(1)))
		files, err := os.ReadDir(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(1))
		Expect(files[0].Name()).To(Equal("member.json"))
	})

	// Guards against a change of a closed store that reaches the folder of the next one.
	It("keeps its data while a store has them open", func() {
		mem := prepare()
		h := newHost(mem, diskFolder, address, nil)
		s, err := store.Open(dataFolder, store.Options{FS: mem})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Discard()).To(Succeed())
		_, err = h.Identity(background)
		Expect(err).To(MatchError(ContainSubstring("in use")))
		Expect(s.Close()).To(Succeed())
		Expect(h.Identity(background)).NotTo(Equal(old))
		Expect(memberOf(mem)).To(BeZero())
	})
})
