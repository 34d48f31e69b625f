package prefix

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var scope = Scope{Environment: "works", Lane: "production", Organisation: "dock", Model: "adviser"}

// message is one message of a prompt.
type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

func rawOf(messages ...message) string {
	raw, err := json.Marshal(messages)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// text returns a text that is longer than blockBytes.
func text(word string) string { return strings.Repeat(word+" ", 3*blockBytes/(len(word)+1)) }

func TestHashUnchangedWhileConversationGrows(t *testing.T) {
	is := is.New(t)
	system := message{"system", text("rules")}
	turns := []message{system, {"user", text("first")}}
	hash := Hash(scope, rawOf(turns...))
	is.True(hash != 0)
	for i := range 5 {
		turns = append(turns, message{"assistant", fmt.Sprint("answer", i)}, message{"user", fmt.Sprint("next", i)})
		is.Equal(Hash(scope, rawOf(turns...)), hash)
	}
	is.True(Hash(scope, rawOf(system, message{"user", text("other")})) != hash)
	is.True(Hash(scope, rawOf(message{"system", text("rules") + "!"}, turns[1])) != hash)
}

func TestHashIgnoresTextAfterTheBlockInOtherForms(t *testing.T) {
	for name, raws := range map[string][2]string{
		"text":          {`"` + text("folder") + `one"`, `"` + text("folder") + `two"`},
		"no system":     {rawOf(message{"user", text("folder") + "one"}), rawOf(message{"user", text("folder") + "two"})},
		"content array": {rawOf(message{"user", []any{text("folder"), "one"}}), rawOf(message{"user", []any{text("folder"), "two"}})},
		"escapes":       {rawOf(message{"developer", "\"\\]\u2028" + text("é]")}, message{"user", text("a") + "1"}), rawOf(message{"developer", "\"\\]\u2028" + text("é]")}, message{"user", text("a") + "2"})},
		"tokens":        {`[` + strings.Repeat("17,", 1000) + `1]`, `[` + strings.Repeat("17,", 1000) + `2]`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(Hash(scope, raws[0]) != 0)
			is.Equal(Hash(scope, raws[0]), Hash(scope, raws[1]))
		})
	}
}

func TestHashOfShortPromptIsZero(t *testing.T) {
	is := is.New(t)
	for _, raw := range []string{"", "[", "]", `""`, "[]", "null", rawOf(message{"user", "hello"})} {
		is.Equal(Hash(scope, raw), uint64(0))
	}
}

// TestScopesHaveDistinctHashesAndSalts includes scopes that differ only in where a
// field ends.
func TestScopesHaveDistinctHashesAndSalts(t *testing.T) {
	is := is.New(t)
	raw := rawOf(message{"user", text("same")})
	hashes, salts := map[uint64]bool{}, map[string]bool{}
	scopes := []Scope{
		scope,
		{"works", "production", "dock", "other"},
		{"works", "production", "quay", "adviser"},
		{"works", "trial", "dock", "adviser"},
		{"eryri", "production", "dock", "adviser"},
		{"worksp", "roduction", "dock", "adviser"},
		{"works", "productiond", "ock", "adviser"},
	}
	for _, each := range scopes {
		hashes[Hash(each, raw)] = true
		salts[each.Salt()] = true
	}
	is.Equal(len(hashes), len(scopes))
	is.Equal(len(salts), len(scopes)-1) // the model is not in the salt
}

func TestHashDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	raw := rawOf(message{"system", text("rules")}, message{"user", strings.Repeat("x", 8<<20)})
	is.Equal(testing.AllocsPerRun(20, func() { Hash(scope, raw) }), 0.0)
}

func FuzzHash(f *testing.F) {
	f.Add(rawOf(message{"system", text("a")}, message{"user", text("b")}), "tail")
	f.Add(`[{"role":"system"`+strings.Repeat(" ", 2000), "")
	f.Add(`[{"role":{"role":"system"},"content":[[["]"]]]}`+strings.Repeat("]", 2000), "x")
	f.Add(strings.Repeat(`\`, 3000), `"`)
	f.Fuzz(func(t *testing.T, raw, tail string) {
		hash := Hash(scope, raw)
		if hash != Hash(scope, raw) {
			t.Fatal("two hashes of the same prompt differ")
		}
		// Text after the block must not change the hash.
		end := instructionsEnd(raw) + blockBytes
		if end <= len(raw) && !strings.HasSuffix(raw, "]") && !strings.HasSuffix(raw+tail, "]") && instructionsEnd(raw+tail) == instructionsEnd(raw) {
			if Hash(scope, raw+tail) != hash {
				t.Fatal("text after the block changed the hash")
			}
		}
	})
}

func BenchmarkHash(b *testing.B) {
	for _, kilobytes := range []int{4, 64, 8192} {
		for _, role := range []string{"user", "system"} {
			raw := rawOf(message{role, strings.Repeat("x", kilobytes<<10)}, message{"user", text("b")})
			b.Run(fmt.Sprintf("%s/KB=%d", role, kilobytes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Hash(scope, raw)
				}
			})
		}
	}
}
