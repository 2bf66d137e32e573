package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/server/control"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

// cluster is three control processes on loopback with folders of their own.
type cluster struct {
	t       testing.TB
	secret  *process.Secret
	members []string // id=IP:port
	hosts   map[uint64]*controlHost
}

type controlHost struct {
	listener net.Listener
	options  *settings.Options
	server   *http.Server
	role     *control.Role
}

func newCluster(t testing.TB, restore string) *cluster {
	c := &cluster{t: t, secret: process.NewSecret([]byte("secret of this test group"), time.Now), hosts: map[uint64]*controlHost{}}
	for id := uint64(1); id <= 3; id++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.members = append(c.members, fmt.Sprintf("%d=%s", id, l.Addr()))
		c.hosts[id] = &controlHost{listener: l}
	}
	var wg sync.WaitGroup
	for id, h := range c.hosts {
		h.options = c.settings(id, restore)
		wg.Go(func() { c.start(id) })
	}
	wg.Wait()
	t.Cleanup(func() {
		for id := range c.hosts {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) settings(id uint64, restore string) *settings.Options {
	o := &settings.Options{}
	o.Common.InternalAddress = c.hosts[id].listener.Addr().String()
	o.Common.FailureDomain = "a"
	o.Control.DataFolder = filepath.Join(c.t.TempDir(), fmt.Sprint(id))
	o.Control.MemberID = id
	o.Control.Members = c.members
	o.Control.Tick = 50 * time.Millisecond
	o.Control.Freshness = freshness
	o.Control.OperatorAddress = "127.0.0.1:0"
	o.Control.RestoreFrom = restore
	o.Control.OperatorTokenFile = filepath.Join(c.t.TempDir(), "token")
	if err := os.WriteFile(o.Control.OperatorTokenFile, []byte("token-of-the-operators"), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return o
}

// join prepares a control host with an empty disk that joins the group.
func (c *cluster) join(id uint64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.hosts[id] = &controlHost{listener: l}
	c.hosts[id].options = c.settings(id, "")
	c.hosts[id].options.Control.Join = true
	c.start(id)
}

func (c *cluster) start(id uint64) {
	h := c.hosts[id]
	if h.listener == nil {
		l, err := net.Listen("tcp", h.options.Common.InternalAddress)
		if err != nil {
			c.t.Error(err)
			return
		}
		h.listener = l
	}
	role, err := control.Open(h.options, c.secret, nil, func(err error) { c.t.Error(err) })
	if err != nil {
		c.t.Error(err)
		return
	}
	mux := http.NewServeMux()
	role.Mount(mux)
	h.role, h.server = role, process.InternalServer(c.secret, mux)
	go func() { _ = h.server.Serve(h.listener) }()
	if err := role.Start(context.Background()); err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) stop(id uint64) {
	h := c.hosts[id]
	if h.role == nil {
		return
	}
	_ = h.role.Close()
	_ = h.server.Close()
	h.role, h.listener = nil, nil
}

func (c *cluster) addresses() []string {
	var out []string
	for _, id := range []uint64{1, 2, 3} {
		out = append(out, c.hosts[id].options.Common.InternalAddress)
	}
	return out
}

// follow starts a follower that begins at the control host with the given index.
func (c *cluster) follow(host string) *view.Follower {
	f := view.NewFollower(view.FollowerOptions{
		Caller:    &rpc.Caller{Host: host, Incarnation: host + "-1", Role: "entry", Address: "127.0.0.1:9", FailureDomain: "a"},
		Addresses: c.addresses(), Client: process.Client(c.secret),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	c.t.Cleanup(func() { cancel(); done.Wait() })
	return f
}

// Three real members on loopback: a change through any of them is in force at a
// follower; the leader stops and comes back; a resend gets its first outcome; a
// backup of it all starts a new group that the follower's successor follows.
func TestRealMembers(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, "")
	f := c.follow("entry-1")
	submit := func(id uint64, name string, replaces uint64) error {
		_, err := c.hosts[id].role.Operators().Submit(background, submitAs(name, replaces))
		return err
	}
	g.Eventually(func() error { return submit(2, "first", 0) }, time.Minute).Should(Succeed())
	g.Eventually(func() bool { return f.Current() != nil && f.Current().Configuration != nil }, time.Minute).Should(BeTrue())
	g.Expect(f.Fresh(time.Now())).To(BeTrue())
	st, err := c.hosts[1].role.Operators().Status(background, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.stop(st.LeaderID)
	other := st.LeaderID%3 + 1
	g.Eventually(func() error { return submit(other, "second", 1) }, time.Minute).Should(Succeed())
	c.start(st.LeaderID)
	g.Eventually(func() error { return submit(st.LeaderID, "first", 0) }, time.Minute).Should(Succeed())
	g.Eventually(func() uint64 { return f.Current().Configuration.Revision }, time.Minute).Should(Equal(uint64(2)))

	b, err := c.hosts[other].role.Operators().Backup(background, &operators.BackupPayload{})
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "backup")
	g.Expect(os.WriteFile(file, b.Snapshot, 0o600)).To(Succeed())
	again := newCluster(t, file)
	next := again.follow("entry-1")
	g.Eventually(func() bool { return next.Current() != nil && next.Fresh(time.Now()) }, time.Minute).Should(BeTrue())
	g.Expect(next.Current().Revision).To(BeNumerically(">", f.Current().Revision))
	g.Expect(next.Current().Configuration.Revision).To(BeNumerically(">", uint64(2)))
	info, err := again.hosts[1].role.Operators().Configuration(background, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Questionnaire).To(ContainSubstring("# second"))
}

// A control host's disk is lost. The operator adds a new one under a new id, removes
// the lost one, and then a second of the first hosts stops: what was accepted must
// still be there and changes must go on.
func TestALostControlHostIsReplaced(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, "")
	f := c.follow("entry-1")
	ops := func(id uint64) operators.Service { return c.hosts[id].role.Operators() }
	submit := func(id uint64, name string, replaces uint64) error {
		_, err := ops(id).Submit(background, submitAs(name, replaces))
		return err
	}
	g.Eventually(func() error { return submit(1, "first", 0) }, time.Minute).Should(Succeed())
	c.stop(3)
	c.join(4)
	added := c.hosts[4].options.Common.InternalAddress
	g.Eventually(func() error {
		_, err := ops(1).AddMember(background, &operators.AddMemberPayload{ID: 4, Address: added})
		return err
	}, time.Minute).Should(Succeed())
	g.Eventually(func() []uint64 { return voters(g, ops(2)) }, time.Minute).Should(ContainElement(uint64(4)))
	g.Eventually(func() error {
		_, err := ops(2).RemoveMember(background, &operators.RemoveMemberPayload{ID: 3})
		return err
	}, time.Minute).Should(Succeed())
	c.stop(1)
	g.Eventually(func() error { return submit(4, "second", 1) }, time.Minute).Should(Succeed())
	g.Eventually(func() uint64 { return f.Current().Configuration.Revision }, time.Minute).Should(Equal(uint64(2)))
	g.Eventually(func() bool { return f.Fresh(time.Now()) }, time.Minute).Should(BeTrue())
}

func voters(g *WithT, ops operators.Service) []uint64 {
	st, err := ops.Status(background, nil)
	g.Expect(err).NotTo(HaveOccurred())
	var ids []uint64
	for _, m := range st.Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
