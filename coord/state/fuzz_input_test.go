package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
)

// FuzzRecords feeds records from a disk or from another process to Restore and
// Apply: neither panics, and a snapshot that is refused leaves the state as it was.
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
	f.Add(Backup(snapshot), []byte(nil))
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		s := New()
		before := s.Revision()
		if err := s.Restore(snapshot); err != nil && s.Revision() != before {
			t.Fatal("a refused snapshot changed the state")
		}
		if inner, err := FromBackup(snapshot); err == nil {
			if err := New().Restore(inner); err != nil {
				t.Fatalf("a good backup is refused: %v", err)
			}
		}
		c := &coordpb.Command{}
		if proto.Unmarshal(command, c) != nil {
			return
		}
		if s.Apply(c) == nil {
			t.Fatal("a command without a result")
		}
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(again); err != nil {
			t.Fatalf("the state's own snapshot is refused: %v", err)
		}
	})
}
