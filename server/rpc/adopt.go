package rpc

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/pack"
)

// MaxAdoptBytes bounds a decompressed deployment with its source document, in bytes: some
// ten thousand routes.
const MaxAdoptBytes = 64 << 20

// PackAdopt returns the request that adopts a deployment, compressed if it has at least
// pack.Above bytes.
func PackAdopt(a *coordpb.AdoptDeployment) (*AdoptRequest, error) {
	if proto.Size(a) < pack.Above {
		return &AdoptRequest{Adopt: a}, nil
	}
	data, err := proto.Marshal(a)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "encode deployment: %v", err)
	}
	return &AdoptRequest{AdoptGzip: pack.Fast(data)}, nil
}

// UnpackAdopt returns the deployment of a request, or nil if it has none.
func UnpackAdopt(r *AdoptRequest) (*coordpb.AdoptDeployment, error) {
	if len(r.AdoptGzip) == 0 {
		return r.Adopt, nil
	}
	data, err := pack.Unpack(r.AdoptGzip, MaxAdoptBytes)
	if err != nil {
		return nil, err
	}
	a := &coordpb.AdoptDeployment{}
	if err := proto.Unmarshal(data, a); err != nil {
		return nil, fault.New(fault.InvalidRequest, "decode deployment: %v", err)
	}
	return a, nil
}
