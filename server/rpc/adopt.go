package rpc

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/pack"
)

// MaxDeploymentBytes bounds a decompressed deployment with its source document, in bytes: some
// ten thousand routes.
const MaxDeploymentBytes = 64 << 20

// CompressAdopt returns the request that adopts a deployment, compressed if it has at least
// pack.MinSize bytes.
func CompressAdopt(a *coordpb.AdoptDeployment) (*AdoptRequest, error) {
	if proto.Size(a) < pack.MinSize {
		return &AdoptRequest{Adopt: a}, nil
	}
	data, err := proto.Marshal(a)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "encode deployment: %v", err)
	}
	return &AdoptRequest{AdoptGzip: pack.CompressFast(data)}, nil
}

// DecompressAdopt returns the deployment of a request, or nil if it has none.
func DecompressAdopt(r *AdoptRequest) (*coordpb.AdoptDeployment, error) {
	if len(r.AdoptGzip) == 0 {
		return r.Adopt, nil
	}
	data, err := pack.Decompress(r.AdoptGzip, MaxDeploymentBytes)
	if err != nil {
		return nil, err
	}
	a := &coordpb.AdoptDeployment{}
	if err := proto.Unmarshal(data, a); err != nil {
		return nil, fault.New(fault.InvalidRequest, "decode deployment: %v", err)
	}
	return a, nil
}
