package config_test

import (
	"bytes"
	"fmt"
	"testing"

	"cowsliptiller/coord/config"
)

// questionnaire returns a questionnaire with n adapters on n/100 models, the ratio
// expected of future fleets.
func questionnaire(n int) []byte {
	var b bytes.Buffer
	b.WriteString("deployment: big\nfailure_domains: [a]\n" +
		"store: {loads_per_second: 4, full_speed_loads: 4, adapter_loads: 32, adapter_load_limit: 10ms}\n" +
		"classes: [{name: c, urgency: interactive, deadline: 8s, repeatable: true, default: true}]\n" +
		"targets: [{name: t, kind: engine, failure_domain: a, memory: 80GiB, kv_cache: 8GiB, concurrency: 8}]\n" +
		"workspaces: [{name: w, rate: 10, burst: 10, models: [\"*\"]}]\nmodels:\n")
	models := max(1, n/100)
	for i := range models {
		fmt.Fprintf(&b, "  - {name: m%d, version: \"1\", size: 8GiB, load_time: 2s, cached: [t]}\n", i)
	}
	b.WriteString("adapters:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: a%d, model: m%d, size: 40MiB}\n", i, i%models)
	}
	return b.Bytes()
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{300, 3_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := questionnaire(n)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				q, err := config.Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				config.Generate(q, 1)
			}
		})
	}
}
