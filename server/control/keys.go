package control

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/google/uuid"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/gen/operators"
)

// keyBytes is the length of a caller's key: 256 random bits cannot be searched for
// from their digest.
const keyBytes = 32

// GiveKey implements operators.Service. The secret is in this answer alone. It is
// kept nowhere, so that a resend under the same command id, whose first answer was
// lost, gets the id of the key that the first sending made and no secret: the
// operator withdraws that key and gives another under a new command id.
func (s *operatorsService) GiveKey(ctx context.Context, p *operators.GiveKeyPayload) (*operators.KeyInfo, error) {
	if p.CommandID == "" {
		return nil, refusal(fault.New(fault.InvalidRequest, "command_id must be given"))
	}
	secret, digest := newKey()
	id := uuid.NewString()
	r, err := s.change(ctx, p.Actor, "give/"+p.CommandID, &coordpb.Command{Change: &coordpb.Command_GiveKey{GiveKey: &coordpb.GiveKey{
		Workspace: p.Workspace, Digest: digest, KeyId: id,
	}}})
	if err != nil {
		return nil, err
	}
	info := keyInfo(r.Key)
	if r.Key.KeyId == id {
		info.Secret = &secret
	}
	return info, nil
}

func newKey() (secret string, digest []byte) {
	var raw [keyBytes]byte
	_, _ = rand.Read(raw[:])
	secret = base64.RawURLEncoding.EncodeToString(raw[:])
	sum := sha256.Sum256([]byte(secret))
	return secret, sum[:]
}

// WithdrawKey implements operators.Service. It answers once no entry host accepts
// the key: see awaitInForce for the bound. A resend waits likewise.
func (s *operatorsService) WithdrawKey(ctx context.Context, p *operators.WithdrawKeyPayload) (*operators.KeyInfo, error) {
	r, err := s.change(ctx, p.Actor, "", &coordpb.Command{Change: &coordpb.Command_WithdrawKey{
		WithdrawKey: &coordpb.WithdrawKey{KeyId: p.KeyID}}})
	if err != nil {
		return nil, err
	}
	if err := s.role.awaitInForce(ctx, r.Key.Revision); err != nil {
		return nil, refusal(err)
	}
	return keyInfo(r.Key), nil
}

func keyInfo(k *coordpb.Key) *operators.KeyInfo {
	return &operators.KeyInfo{KeyID: k.KeyId, Workspace: k.Workspace, Withdrawn: k.Withdrawn}
}

// Keys implements operators.Service.
func (s *operatorsService) Keys(ctx context.Context, _ *operators.KeysPayload) (*operators.KeyList, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	list := &operators.KeyList{Keys: []*operators.KeyInfo{}}
	s.role.machine.Read(func(st *state.State) {
		for _, k := range st.Keys() {
			list.Keys = append(list.Keys, keyInfo(k))
		}
	})
	return list, nil
}
