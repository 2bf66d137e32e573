package daemon

import (
	"net/http"
	"os"
	"slices"
	"sort"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/node"
	"cowsliptiller/server/process"
	"cowsliptiller/server/settings"
)

// controlRole is the control role together with the member of the replicated
// log under it.
type controlRole struct {
	*control.Role
	node *node.Node
}

// Mount implements process.Role.
func (c controlRole) Mount(internal *http.ServeMux) {
	internal.Handle(c.node.Handler())
	c.Role.Mount(internal)
}

func (b *builder) addControl() error {
	members, err := b.members()
	if err != nil {
		return err
	}
	backup, err := readBackup(b.options.Control.RestoreFrom)
	if err != nil {
		return err
	}
	machine := control.NewMachine()
	member, err := node.Open(node.Config{
		ID:        b.options.Control.MemberID,
		Members:   members,
		Join:      b.options.Control.Join,
		Folder:    b.options.Control.DataFolder,
		Tick:      b.options.Control.Tick,
		Machine:   machine,
		Restore:   backup,
		NewClient: func() *http.Client { return process.Client(b.secret) },
		Logger:    b.log.Named("log"),
		Fatal:     b.fatal,
	})
	if err != nil {
		return err
	}
	role := control.New(control.Config{
		Settings: b.options,
		Log:      member,
		Machine:  machine,
		Client:   b.client,
		Logger:   b.log.Named(settings.RoleControl),
		CloseLog: member.Close,
	})
	b.roles = append(b.roles, controlRole{role, member})
	return nil
}

// fatal ends the process: a member whose disk failed, or whose id belongs to
// another disk, must not answer anything more.
func (b *builder) fatal(err error) {
	b.log.Error("this control member must not go on", "error", err)
	os.Exit(exitFatal)
}

// exitFatal is the exit code of a control member that stopped itself.
const exitFatal = 3

// members returns the first members in order of id; a single process that names
// none is a group of its own.
func (b *builder) members() ([]*coordpb.Member, error) {
	if b.options.Control.Join {
		return nil, nil
	}
	addresses, err := settings.ParseMembers(b.options.Control.Members)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "--control-member: %v", err)
	}
	if len(addresses) == 0 {
		addresses = map[uint64]string{b.options.Control.MemberID: b.options.Common.Advertised()}
	}
	members := make([]*coordpb.Member, 0, len(addresses))
	for id, address := range addresses {
		members = append(members, &coordpb.Member{Id: id, Address: address})
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Id < members[j].Id })
	return slices.Clip(members), nil
}

func readBackup(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "--control-restore: %v", err)
	}
	return data, nil
}
