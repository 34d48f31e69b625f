package observe

import "testing"

// FuzzParseLoad checks that no input of an engine yields negative counts.
func FuzzParseLoad(f *testing.F) {
	f.Add([]byte(`{"incarnation":7,"queue":1,"running":2,"kv_tokens":3,"models":["m"],"role":"prefill","streams":[{"id":"a","owner":"n/p","age_ms":5}]}`))
	f.Add([]byte(`{"queue":-1,"kv_tokens":-9,"streams":[{"age_ms":-9223372036854775808}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		load, err := ParseLoad(data)
		if err == nil && (load.Queue < 0 || load.Running < 0 || load.KVTokens < 0) {
			t.Fatalf("negative load %+v", load)
		}
	})
}
