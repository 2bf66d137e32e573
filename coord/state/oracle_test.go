package state_test

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
)

// oracle is a simple model of the results returned to callers. It fails the test when
// the state contradicts them.
type oracle struct {
	restored  *state.State // restored from its own snapshot at random points
	reference *state.State // receives the same commands and is never restored
	now       int64

	configuration    uint64
	outcomes         map[string]string         // submission id + text -> first outcome
	claims           map[string]*oracleClaim   // idempotency key -> claim
	fencing          map[uint64]string         // fencing number -> replica and whether it is an unload
	bytes            map[string]map[string]int // target -> model -> GiB, until the unload is confirmed
	keys             map[string]bool           // key id -> withdrawn
	follower         map[string]proto.Message  // rows of a follower that applied every delta
	followerRevision uint64
}

type oracleClaim struct {
	attempt, request string
	state            coordpb.ClaimState
	expires          int64
	released         map[string]bool // attempts settled as not run
}

func newOracle() *oracle {
	return &oracle{
		restored: state.New(), reference: state.New(), now: 1,
		outcomes: map[string]string{}, claims: map[string]*oracleClaim{}, fencing: map[uint64]string{},
		bytes: map[string]map[string]int{"t1": {}, "t2": {}}, keys: map[string]bool{}, follower: map[string]proto.Message{},
	}
}

// apply applies a command to both states, which must return equal results.
func (o *oracle) apply(t *rapid.T, c *coordpb.Command) *coordpb.Result {
	c.NowUnixMs = o.now
	r := o.restored.Apply(c)
	if other := o.reference.Apply(c); !proto.Equal(r, other) {
		t.Fatalf("result of the restored state is %v, of the reference %v", r, other)
	}
	return r
}

// submit checks that one submission per revision is accepted and that a resend
// returns the first outcome.
func (o *oracle) submit(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "id")
	replaces := rapid.Uint64Range(0, o.configuration+1).Draw(t, "replaces")
	r := o.apply(t, submit(id, replaces, questionnaire(id)))
	outcome := fmt.Sprint(r.Kind, r.Submission.GetRevision())
	submission := fmt.Sprint(id, replaces)
	if first, resent := o.outcomes[submission]; resent {
		if outcome != first {
			t.Fatalf("resend of %s returned %q, the first send %q", submission, outcome, first)
		}
		return
	}
	if r.Kind == string(fault.KeyReused) {
		return
	}
	o.outcomes[submission] = outcome
	if r.Kind == "" {
		if replaces != o.configuration || r.Submission.Revision != o.configuration+1 {
			t.Fatalf("accepted as revision %d replacing %d while revision %d was current", r.Submission.Revision, replaces, o.configuration)
		}
		o.configuration++
	}
}

func (o *oracle) claim(t *rapid.T) {
	key, attempt := drawCall(t)
	request := rapid.SampledFrom([]string{"order", "other"}).Draw(t, "request")
	r := o.apply(t, claim(0, key, attempt, request))
	old := o.claims[key]
	if old != nil && old.expires <= o.now {
		old = nil
	}
	granted := r.Kind == "" && r.Claim.State == open
	if old != nil && old.state == open && granted && attempt != old.attempt {
		t.Fatalf("key %s granted to attempt %s while attempt %s holds it", key, attempt, old.attempt)
	}
	if old != nil && old.state == done && granted {
		t.Fatalf("key %s granted again after the call ran", key)
	}
	if old != nil && old.state != notRun && request != old.request && r.Kind != string(fault.KeyReused) {
		t.Fatalf("key %s: a different request returned kind %q", key, r.Kind)
	}
	if old != nil && granted && old.released[attempt] {
		t.Fatalf("key %s granted to attempt %s, which was settled as not run", key, attempt)
	}
	if granted && (old == nil || old.state == notRun) {
		opened := &oracleClaim{attempt: attempt, request: request, state: open, expires: r.Claim.ExpiresUnixMs, released: map[string]bool{}}
		if old != nil {
			opened.released = old.released
		}
		o.claims[key] = opened
	}
}

func drawCall(t *rapid.T) (key, attempt string) {
	key = rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	return key, rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "attempt")
}

func (o *oracle) settle(t *rapid.T) {
	key, attempt := drawCall(t)
	how := rapid.SampledFrom([]coordpb.ClaimState{done, notRun}).Draw(t, "how")
	r := o.apply(t, settleClaim(0, key, attempt, how, []byte("answer")))
	old := o.claims[key]
	if r.Kind != "" {
		return
	}
	if old != nil && how == notRun && old.released[attempt] {
		return // a duplicate of an earlier settlement
	}
	if old == nil || old.attempt != attempt || (old.state != open && old.state != how) {
		t.Fatalf("key %s settled by attempt %s, but the claim is %+v", key, attempt, old)
	}
	if how == notRun && old.state != how {
		old.expires = o.now + state.NotRunRetention.Milliseconds()
		old.released[attempt] = true
	}
	old.state = how
}

func (o *oracle) decide(t *rapid.T) {
	model := rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}).Draw(t, "model")
	target := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target")
	load := rapid.Bool().Draw(t, "load")
	r := o.apply(t, decide(model, target, load))
	if r.Kind != "" {
		return
	}
	row := r.Replicas[0]
	id := fmt.Sprint(model, target, row.State == coordpb.ReplicaState_REPLICA_STATE_UNLOAD)
	if first, used := o.fencing[row.Fencing]; used && first != id {
		t.Fatalf("fencing number %d was issued for %s and again for %s", row.Fencing, first, id)
	}
	o.fencing[row.Fencing] = id
	o.bytes[target][model] = 4
	if sum := 4 * len(o.bytes[target]); sum > 10 {
		t.Fatalf("target %s holds %d GiB of weights, 10 are allowed", target, sum)
	}
}

func (o *oracle) confirm(t *rapid.T) {
	rows := o.restored.Replicas()
	if len(rows) == 0 {
		return
	}
	row := rapid.SampledFrom(rows).Draw(t, "replica")
	fencing := rapid.SampledFrom([]uint64{row.Fencing, row.Fencing - 1}).Draw(t, "fencing")
	loaded := rapid.Bool().Draw(t, "loaded")
	r := o.apply(t, confirm(row.Model, row.Target, fencing, loaded))
	if r.Kind == "" && !loaded {
		delete(o.bytes[row.Target], row.Model)
	}
}

func (o *oracle) key(t *rapid.T) {
	id := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	if rapid.Bool().Draw(t, "withdraw") {
		if r := o.apply(t, withdrawKey(id)); r.Kind == "" {
			o.keys[id] = true
		}
		return
	}
	command := rapid.SampledFrom([]string{"", "c1"}).Draw(t, "command")
	if r := o.apply(t, giveKey(command, id, "w1")); r.Kind == "" && !o.keys[r.Key.KeyId] {
		o.keys[r.Key.KeyId] = false
	}
}

func (o *oracle) host(t *rapid.T) {
	incarnation := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "incarnation")
	target := rapid.SampledFrom([]string{"", "t1"}).Draw(t, "target")
	if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
		o.apply(t, &coordpb.Command{Change: &coordpb.Command_ForgetHost{ForgetHost: &coordpb.ForgetHost{Host: "h1"}}})
		o.bytes["t1"] = map[string]int{}
		for _, r := range o.restored.Replicas() {
			if r.Target == "t1" {
				o.bytes["t1"][r.Model] = 4
			}
		}
		return
	}
	o.apply(t, register("h1", incarnation, target))
}

func (o *oracle) strike(t *rapid.T) {
	attempt := rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "attempt")
	o.apply(t, strike(0, "f", attempt))
}

// crash reports a crash under some of three requests with some of three parts, and that others ran
// to their end.
func (o *oracle) crash(t *rapid.T) {
	fingerprint := rapid.SampledFrom([]string{"f", "g", "h"})
	c := crashes(0, rapid.SampledFrom([]string{"c1", "c2", "c3", "c4"}).Draw(t, "crash"), rapid.SliceOf(fingerprint).Draw(t, "suspects")...)
	m := c.GetRecordCrashes()
	for _, s := range m.Crashes[0].Suspects {
		s.AgeMs = rapid.Uint32Range(0, 2000).Draw(t, "age")
		s.Progress = rapid.Uint64Range(0, 1).Draw(t, "progress")
		s.Parts = rapid.SliceOfN(rapid.Uint64Range(1, 3), 0, 2).Draw(t, "parts")
	}
	m.ClearedParts = rapid.SliceOfN(rapid.Uint64Range(1, 3), 0, 1).Draw(t, "cleared parts")
	if rapid.Bool().Draw(t, "completed") {
		m.Completed = append(m.Completed, requestID("w1", fingerprint.Draw(t, "completed request")))
	}
	o.apply(t, c)
}

// advanceTime advances the time by 1 ms, 1 s or the retention of claims, and expires
// rows.
func (o *oracle) advanceTime(t *rapid.T) {
	o.now += rapid.SampledFrom([]int64{1, 1000, state.ClaimRetention.Milliseconds()}).Draw(t, "ms")
	o.apply(t, expire(0))
}

// restore replaces the restored state by one decoded from its own snapshot.
func (o *oracle) restore(t *rapid.T) {
	data, err := o.restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := state.New()
	if err := fresh.Restore(data); err != nil {
		t.Fatal(err)
	}
	o.restored = fresh
}

// checkFollower applies the delta since the follower's revision. The follower's rows
// must then equal those of a full view.
func (o *oracle) checkFollower(t *rapid.T) {
	v := o.restored.View(o.followerRevision)
	if v.Since == 0 {
		o.follower = map[string]proto.Message{}
	}
	for _, tombstone := range v.Tombstones {
		delete(o.follower, tombstone.Table+" "+tombstone.Id)
	}
	addRows(o.follower, v)
	o.followerRevision = v.Revision
	full := map[string]proto.Message{}
	addRows(full, o.restored.View(0))
	if len(full) != len(o.follower) {
		t.Fatalf("the follower has %d rows, the state %d", len(o.follower), len(full))
	}
	for id, row := range full {
		if !proto.Equal(row, o.follower[id]) {
			t.Fatalf("the follower has %v, the state %v", o.follower[id], row)
		}
	}
}

func addRows(rows map[string]proto.Message, v *coordpb.View) {
	for _, r := range v.Keys {
		rows["key "+r.KeyId] = r
	}
	for _, r := range v.Hosts {
		rows["host "+state.HostID(r.Host, r.Role)] = r
	}
	for _, r := range v.Replicas {
		rows["replica "+state.ReplicaID(r.Model, r.Target)] = r
	}
	for _, r := range v.Parts {
		rows["parts "+state.PartID(request.Part(r.Part))] = r
	}
	for _, r := range v.Strikes {
		rows["strikes "+state.StrikesID(r.Workspace, r.Fingerprint)] = r
	}
}

// checkInvariants runs after each action.
func (o *oracle) checkInvariants(t *rapid.T) {
	a, _ := o.restored.Snapshot()
	b, _ := o.reference.Snapshot()
	if !bytes.Equal(a, b) {
		t.Fatalf("snapshots of the restored state and the reference differ")
	}
	if got := o.restored.ConfigurationRevision(); got != o.configuration {
		t.Fatalf("configuration revision is %d, last accepted %d", got, o.configuration)
	}
	for _, k := range o.restored.Keys() {
		if o.keys[k.KeyId] && !k.Withdrawn {
			t.Fatalf("key %s is valid after its withdrawal", k.KeyId)
		}
	}
}
