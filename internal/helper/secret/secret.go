// Package secret hashes credentials and authenticates values that are handed to callers and
// returned by them.
package secret

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"strings"

	"golang.org/x/crypto/bcrypt"
)

// ErrSeal is returned for a sealed value that was modified or sealed with a different key.
var ErrSeal = errors.New("invalid seal")

// HashToken returns the hex SHA-256 digest of a random token. Tokens have at least 128
// random bits, so requests don't need a slow password hash.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TokenMatches compares token in constant time with a hash returned by HashToken.
func TokenMatches(token, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(hash)) == 1
}

// HashPassword returns the bcrypt hash of an operator's password.
func HashPassword(password string) (string, error) {
	hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.DefaultCost)
	return string(hash), err
}

// PasswordMatches compares password with a hash returned by HashPassword.
func PasswordMatches(password, hash string) bool {
	return bcrypt.CompareHashAndPassword([]byte(hash), []byte(password)) == nil
}

// Seal returns payload and its HMAC-SHA256 under key as URL-safe text. The payload is not
// encrypted.
func Seal(key, payload []byte) string {
	return encode(payload) + "." + encode(sign(key, payload))
}

// Open verifies a value returned by Seal and returns its payload, or ErrSeal.
func Open(key []byte, sealed string) ([]byte, error) {
	encodedPayload, _, found := strings.Cut(sealed, ".")
	if !found {
		return nil, ErrSeal
	}
	payload, err := base64.RawURLEncoding.DecodeString(encodedPayload)
	// The whole text is compared: several texts decode to the same bytes.
	if err != nil || !hmac.Equal([]byte(sealed), []byte(Seal(key, payload))) {
		return nil, ErrSeal
	}
	return payload, nil
}

func encode(data []byte) string { return base64.RawURLEncoding.EncodeToString(data) }

func sign(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(payload)
	return mac.Sum(nil)
}

// Derive derives a key for one purpose from key, so that values sealed for other purposes are
// rejected.
func Derive(key []byte, purpose string) []byte { return sign(key, []byte(purpose)) }
