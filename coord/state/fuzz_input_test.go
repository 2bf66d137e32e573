package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
)

// FuzzRecords passes arbitrary bytes, as read from a disk or another process, to
// Restore, SnapshotFromBackup and Apply. None may panic, and a rejected snapshot must leave the
// state unchanged.
func FuzzRecords(f *testing.F) {
	s := New()
	s.Apply(&coordpb.Command{Actor: "a", CommandId: "1", Change: &coordpb.Command_Expire{Expire: &coordpb.Expire{}}})
	snapshot, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	command, err := proto.Marshal(&coordpb.Command{Actor: "a", Change: &coordpb.Command_DecideReplicas{
		DecideReplicas: &coordpb.DecideReplicas{Decisions: []*coordpb.ReplicaDecision{{Model: "m", Target: "t", Load: true}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot, command)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}, []byte{0x52, 0x00})
	f.Add(EncodeBackup(snapshot), []byte(nil))
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		s := New()
		before := s.Revision()
		if err := s.Restore(snapshot); err != nil && s.Revision() != before {
			t.Fatal("Restore returned an error but changed the state")
		}
		if inner, err := SnapshotFromBackup(snapshot); err == nil {
			if err := New().Restore(inner); err != nil {
				t.Fatalf("FromBackup accepted a backup whose snapshot Restore rejects: %v", err)
			}
		}
		c := &coordpb.Command{}
		if proto.Unmarshal(command, c) != nil {
			return
		}
		if s.Apply(c) == nil {
			t.Fatal("Apply returned no result")
		}
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(again); err != nil {
			t.Fatalf("Restore rejects a snapshot made by Snapshot: %v", err)
		}
	})
}
