package node

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/pack"
)

// maxCommandBytes bounds a packed command that is read from the log.
const maxCommandBytes = 128 << 20

// encode returns a command's bytes in the log. A long one is packed: each member gets all
// of them, and keeps them until the next snapshot.
func encode(c *coordpb.Command) ([]byte, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "command: %v", err)
	}
	if len(data) < pack.MinSize {
		return data, nil
	}
	packed, err := proto.Marshal(&coordpb.Command{Packed: pack.CompressFast(data)})
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "command: %v", err)
	}
	return packed, nil
}

// decode is the reverse of encode.
func decode(data []byte) (*coordpb.Command, error) {
	c := &coordpb.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, err
	}
	if len(c.Packed) == 0 {
		return c, nil
	}
	whole := &coordpb.Command{}
	return whole, pack.Unmarshal(c.Packed, maxCommandBytes, whole)
}
