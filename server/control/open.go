package control

import (
	"maps"
	"net/http"
	"os"
	"slices"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/node"
	"cowsliptiller/server/process"
	"cowsliptiller/server/settings"
)

// Open opens the data folder, joins or forms the group of control processes, and
// returns the role on top. fatal is called once when the member must not go on,
// and should end the process. Errors: those of node.Open, and
// fault.InvalidRequest for a backup that cannot be used.
func Open(o *settings.Options, secret *process.Secret, logger hclog.Logger, fatal func(error)) (*Role, error) {
	return OpenOn(nil, o, secret, logger, fatal)
}

// OpenOn is Open with the data folder on the given file system; nil: the operating system's.
func OpenOn(fs vfs.FS, o *settings.Options, secret *process.Secret, logger hclog.Logger, fatal func(error)) (*Role, error) {
	members, err := firstMembers(o)
	if err != nil {
		return nil, err
	}
	restore, err := readBackup(o.Control.RestoreFrom)
	if err != nil {
		return nil, err
	}
	machine := NewMachine()
	log, err := node.Open(node.Config{
		ID: o.Control.MemberID, Members: members, Join: o.Control.Join, Folder: o.Control.DataFolder, PrivateDisk: o.Control.PrivateDisk,
		Tick: o.Control.Tick, Machine: machine, Restore: restore,
		NewClient: func() *http.Client { return process.Client(secret) },
		Logger:    logger, Fatal: fatal, FS: fs,
	})
	if err != nil {
		return nil, err
	}
	client := process.Client(secret)
	return New(Config{
		Settings: o, Log: log, Machine: machine, Client: client, Logger: logger,
		CloseLog: func() error {
			defer client.CloseIdleConnections()
			return log.Close()
		},
		Peers: log.Handler,
	}), nil
}

// firstMembers returns the members of the settings in order of their ids. They are
// part of the log's first snapshot, which must be the same at every member: this
// process's failure domain, which the others do not know, is left out.
func firstMembers(o *settings.Options) ([]*coordpb.Member, error) {
	addresses, err := settings.ParseMembers(o.Control.Members)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "--control-member: %v", err)
	}
	var members []*coordpb.Member
	for _, id := range slices.Sorted(maps.Keys(addresses)) {
		members = append(members, &coordpb.Member{Id: id, Address: addresses[id]})
	}
	if len(members) == 0 && !o.Control.Join {
		members = append(members, &coordpb.Member{
			Id: o.Control.MemberID, Address: o.Common.Advertised(), FailureDomain: o.Common.FailureDomain,
		})
	}
	return members, nil
}

// readBackup returns the snapshot to start a new group from, nil where none is given.
func readBackup(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "--control-restore: %v", err)
	}
	snapshot, err := state.SnapshotFromBackup(data)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "--control-restore %s: %s", path, fault.From(err).Message)
	}
	return snapshot, nil
}
