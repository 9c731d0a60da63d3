// Package secret hashes credentials and seals values that pass through callers.
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

// ErrSeal is returned for a sealed value that was altered or sealed with another key.
var ErrSeal = errors.New("the seal does not match")

// HashToken returns the hex SHA-256 of a random token. Tokens have at least 128
// random bits, so that a slow hash is not needed on the path of a request.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TokenMatches compares token with a hash of HashToken in constant time.
func TokenMatches(token, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(hash)) == 1
}

// HashPassword returns the bcrypt hash of an operator's password.
func HashPassword(password string) (string, error) {
	hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.DefaultCost)
	return string(hash), err
}

// PasswordMatches compares password with a hash of HashPassword.
func PasswordMatches(password, hash string) bool {
	return bcrypt.CompareHashAndPassword([]byte(hash), []byte(password)) == nil
}

// Seal returns payload with a MAC under key, in URL-safe text.
func Seal(key, payload []byte) string {
	return encode(payload) + "." + encode(sign(key, payload))
}

// Open returns the payload of a value made by Seal, or ErrSeal.
func Open(key []byte, sealed string) ([]byte, error) {
	head, tail, found := strings.Cut(sealed, ".")
	if !found {
		return nil, ErrSeal
	}
	payload, err := base64.RawURLEncoding.DecodeString(head)
	if err != nil {
		return nil, ErrSeal
	}
	mac, err := base64.RawURLEncoding.DecodeString(tail)
	if err != nil || !hmac.Equal(mac, sign(key, payload)) {
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

// Derive returns a key for one purpose, so that a value sealed for another purpose never opens with it.
func Derive(key []byte, purpose string) []byte { return sign(key, []byte(purpose)) }
