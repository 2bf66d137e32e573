package pack_test

import (
	"bytes"
	"testing"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/pack"
)

func TestADocumentComesOutAsItWas(t *testing.T) {
	text := bytes.Repeat([]byte("a route like the others\n"), 10_000)
	for _, packed := range [][]byte{pack.Fast(text), pack.Small(text)} {
		if len(packed) > len(text)/20 {
			t.Errorf("%d bytes of %d", len(packed), len(text))
		}
		got, err := pack.Unpack(packed, int64(len(text)))
		if err != nil || !bytes.Equal(got, text) {
			t.Errorf("%d bytes came out: %v", len(got), err)
		}
	}
}

// Guards against a small message that takes all memory when it is unpacked.
func TestADocumentLongerThanItMayBeIsRefused(t *testing.T) {
	if _, err := pack.Unpack(pack.Fast(make([]byte, 1001)), 1000); !fault.Is(err, fault.TooLarge) {
		t.Errorf("got %v", err)
	}
	if _, err := pack.Unpack([]byte("no such thing"), 1000); !fault.Is(err, fault.Internal) {
		t.Errorf("got %v", err)
	}
	whole := pack.Fast(make([]byte, 1000))
	if _, err := pack.Unpack(whole[:len(whole)-4], 1000); !fault.Is(err, fault.Internal) {
		t.Errorf("of a torn one: %v", err)
	}
}
