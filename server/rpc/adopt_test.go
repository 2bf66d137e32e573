package rpc_test

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/rpc"
)

// Guards against a call whose transfer over a slow link exceeds the time limit of calls to
// control.
func TestALongDeploymentIsShortOnItsWay(t *testing.T) {
	long := &coordpb.AdoptDeployment{
		Deployment: &coordpb.Deployment{Version: 3}, Source: []byte(strings.Repeat("a route like the others\n", 40_000)),
	}
	for _, a := range []*coordpb.AdoptDeployment{long, {Deployment: &coordpb.Deployment{Version: 4}}, nil} {
		r, err := rpc.CompressAdopt(a)
		if err != nil {
			t.Fatal(err)
		}
		if n := proto.Size(r); n > 20<<10 {
			t.Errorf("request of %d bytes for a deployment of %d, want at most 20 KiB", n, proto.Size(a))
		}
		got, err := rpc.DecompressAdopt(r)
		if err != nil || !proto.Equal(got, a) {
			t.Errorf("unpacked deployment differs, error %v", err)
		}
	}
	if _, err := rpc.DecompressAdopt(&rpc.AdoptRequest{AdoptGzip: []byte("damaged")}); err == nil {
		t.Error("a damaged request was unpacked without an error")
	}
}
