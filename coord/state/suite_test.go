package state_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "state")
}

// questionnaire returns a questionnaire with two engines, each with 10 GiB for weights,
// and four models of 4 GiB. Texts with different comments differ.
func questionnaire(comment string) []byte {
	return []byte(fmt.Sprintf(`# %s
deployment: test
failure_domains: [a]
store: {loads_per_second: 1, full_speed_loads: 1, adapter_loads: 1, adapter_load_limit: 10ms}
classes:
  - {name: lookup, urgency: interactive, deadline: 8s, repeatable: true, default: true}
targets:
  - {name: t1, kind: engine, failure_domain: a, memory: 12GiB, kv_cache: 2GiB, concurrency: 4}
  - {name: t2, kind: engine, failure_domain: a, memory: 12GiB, kv_cache: 2GiB, concurrency: 4}
models:
  - {name: m1, version: "1", size: 4GiB, load_time: 1s}
  - {name: m2, version: "1", size: 4GiB, load_time: 1s}
  - {name: m3, version: "1", size: 4GiB, load_time: 1s}
  - {name: m4, version: "1", size: 4GiB, load_time: 1s}
workspaces:
  - {name: w1, rate: 10, burst: 100, models: ["*"]}
  - {name: w2, rate: 10, burst: 100, models: ["*"]}
`, comment))
}

func submit(id string, replaces uint64, text []byte) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: 1, Actor: "op", Change: &coordpb.Command_Submit{
		Submit: &coordpb.SubmitQuestionnaire{SubmissionId: id, ReplacesRevision: replaces, Questionnaire: text}}}
}

func giveKey(command, id, workspace string) *coordpb.Command {
	digest := sha256.Sum256([]byte(id))
	return &coordpb.Command{NowUnixMs: 1, Actor: "op", CommandId: command, Change: &coordpb.Command_GiveKey{
		GiveKey: &coordpb.GiveKey{KeyId: id, Workspace: workspace, Digest: digest[:]}}}
}

func withdrawKey(id string) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: 1, Actor: "op", Change: &coordpb.Command_WithdrawKey{WithdrawKey: &coordpb.WithdrawKey{KeyId: id}}}
}

func register(host, incarnation, target string) *coordpb.Command {
	role := state.RoleEntry
	if target != "" {
		role = state.RoleAgent
	}
	return &coordpb.Command{NowUnixMs: 1, Change: &coordpb.Command_RegisterHost{RegisterHost: &coordpb.RegisterHost{
		Host: host, Incarnation: incarnation, Role: role, Target: target, FailureDomain: "a", Address: "127.0.0.1:1"}}}
}

func decide(model, target string, load bool) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: 1, Change: &coordpb.Command_DecideReplicas{DecideReplicas: &coordpb.DecideReplicas{
		Decisions: []*coordpb.ReplicaDecision{{Model: model, Target: target, Load: load}}}}}
}

func confirm(model, target string, fencing uint64, loaded bool) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: 1, Change: &coordpb.Command_ConfirmReplica{ConfirmReplica: &coordpb.ConfirmReplica{
		Model: model, Target: target, Fencing: fencing, Loaded: loaded}}}
}

// kind returns the error kind of a result, "" for success.
func kind(r *coordpb.Result) fault.Kind { return fault.Kind(r.Kind) }

// configured returns a state with an accepted questionnaire, at configuration revision 1.
func configured() *state.State {
	s := state.New()
	Expect(kind(s.Apply(submit("first", 0, questionnaire("first"))))).To(BeEmpty())
	return s
}
