package secret

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSealRejectsChanges guards against sealed values that a caller can modify or forge.
func TestSealRejectsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, payload := rapid.SliceOfN(rapid.Byte(), 16, 32).Draw(t, "key"), rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		sealed := Seal(key, payload)
		opened, err := Open(key, sealed)
		if err != nil || string(opened) != string(payload) {
			t.Fatalf("opened %q, %v", opened, err)
		}
		if _, err := Open(append([]byte{1}, key...), sealed); err == nil {
			t.Fatal("a value sealed with another key was opened")
		}
		changed := []byte(sealed)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] ^= 0x01
		if got, err := Open(key, string(changed)); err == nil && string(got) != string(payload) {
			t.Fatalf("the changed value was opened as %q", got)
		}
	})
}

// TestPassword guards against wrong passwords and tokens that are accepted.
func TestPassword(t *testing.T) {
	hash, err := HashPassword("right")
	assert.NilError(t, err)
	assert.Assert(t, PasswordMatches("right", hash))
	assert.Assert(t, !PasswordMatches("wrong", hash))
	assert.Assert(t, !TokenMatches("wrong", HashToken("right")))
}

// TestOtherSpellingOfASealIsRefused guards against a value that is accepted although it differs from the one that was
// sealed, in bits that its encoding does not use.
func TestOtherSpellingOfASealIsRefused(t *testing.T) {
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	key := []byte("key")
	sealed := Seal(key, []byte("payload"))
	_, err := Open(key, sealed)
	assert.NilError(t, err)
	last := len(sealed) - 1
	value := strings.IndexByte(alphabet, sealed[last])
	for unused := 1; unused < 4; unused++ {
		_, err := Open(key, sealed[:last]+string(alphabet[value+unused]))
		assert.Assert(t, errors.Is(err, ErrSeal), "%d", unused)
	}
	_, err = Open(key, sealed+"\n")
	assert.Assert(t, errors.Is(err, ErrSeal))
}
