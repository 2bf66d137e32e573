package node

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
)

// Guards against entries that take the links of all members for as long as an election.
func TestLongCommandsAreShortInTheLog(t *testing.T) {
	long := &coordpb.Command{Actor: strings.Repeat("a route like the others\n", 50_000)}
	for _, c := range []*coordpb.Command{long, {Actor: "short"}} {
		data, err := encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 20<<10 {
			t.Errorf("%d bytes in the log of %d", len(data), proto.Size(c))
		}
		got, err := decode(data)
		if err != nil || !proto.Equal(got, c) {
			t.Errorf("another command came out: %v", err)
		}
	}
	if _, err := decode(mustMarshal(t, &coordpb.Command{Packed: []byte("damaged")})); err == nil {
		t.Error("a damaged command was read")
	}
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
