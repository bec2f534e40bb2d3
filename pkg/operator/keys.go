package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

const (
	// secretBytes gives a secret 256 random bits.
	secretBytes = 32
	// keyPrefix lets secret scanners recognise a leaked caller key.
	keyPrefix = "rwp_"
	// tokenPrefix lets secret scanners recognise a leaked operator token.
	tokenPrefix = "rwo_"
)

// NewKey generates a caller key and its digest.
func NewKey() (key, digest string, err error) {
	return newSecret(keyPrefix)
}

// NewToken generates an operator's bearer token and its digest.
func NewToken() (token, digest string, err error) {
	return newSecret(tokenPrefix)
}

// Digest returns the hexadecimal SHA-256 digest of a secret. Only digests of
// secrets are stored.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func newSecret(prefix string) (secret, digest string, err error) {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return "", "", eris.Wrap(err, "generate secret")
	}
	secret = prefix + base64.RawURLEncoding.EncodeToString(random)
	return secret, Digest(secret), nil
}
