package tables

import (
	"fmt"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
)

func documentText(organisations, engines int) []byte {
	var text strings.Builder
	text.WriteString("name: works\nmodels: [{name: adviser, context_tokens: 1048576}]\nlength_classes: [{name: any, max_prompt_tokens: 1000000, deadline: 45m}]\norganisations:\n")
	for i := range organisations {
		key := environment.KeyDigest(fmt.Sprintf("key-%d", i))
		fmt.Fprintf(&text, "  - {name: organisation-%d, key_digests: [%q], weight: 1, tokens_per_second: 1000}\n", i, key)
	}
	text.WriteString("engines:\n")
	for i := range engines {
		fmt.Fprintf(&text, "  - {name: engine-%d, data_centre: dc-%d, address: \"10.%d.%d.%d:9000\", models: [adviser], slots: 32, kv_tokens: 400000}\n", i, i%7, i%7, i/200, i%200+1)
	}
	return []byte(text.String())
}

// BenchmarkBuild measures the time and memory to parse a document and build the
// tables, and the document's size, uncompressed and as sent between nodes.
func BenchmarkBuild(b *testing.B) {
	for _, size := range []struct{ organisations, engines int }{{10, 25}, {400, 68}, {4000, 680}} {
		b.Run(fmt.Sprintf("organisations=%d/engines=%d", size.organisations, size.engines), func(b *testing.B) {
			data := documentText(size.organisations, size.engines)
			encoder, err := zstd.NewWriter(nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				buildTables(b, data)
			}
			b.ReportMetric(float64(len(data)), "document-B")
			b.ReportMetric(float64(len(encoder.EncodeAll(data, nil))), "sent-B")
		})
	}
}

func buildTables(b testing.TB, data []byte) *Tables {
	b.Helper()
	document, err := environment.Parse(data)
	if err != nil {
		b.Fatal(err)
	}
	site := configuration.NewSite()
	site.Environments["works"] = configuration.Environment{ProductionDigest: "d"}
	return Build(site, map[string]*environment.Document{"d": document})
}

// BenchmarkCaller measures the time to find the organisation of a key.
func BenchmarkCaller(b *testing.B) {
	built := buildTables(b, documentText(4000, 680))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := built.Caller("key-3999"); !ok {
			b.Fatal("caller not found")
		}
	}
}
