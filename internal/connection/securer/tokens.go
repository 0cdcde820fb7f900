package securer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// Tokens are the tokens of operators with their roles. Only their digests are
// stored.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	digest [sha256.Size]byte
	role   Role
}

// LoadTokens reads a file with one token per line: a role, a space, and the
// token's SHA-256 digest in hexadecimal. Empty lines and lines that begin with
// "#" are skipped. Errors contain the number of the line, never its content.
func LoadTokens(name string) (tokens Tokens, err error) {
	defer func() { err = eris.Wrapf(err, "reading tokens from %s", name) }()
	content, err := os.ReadFile(name)
	if err != nil {
		return Tokens{}, err
	}
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, ok := parseToken(line)
		if !ok {
			return Tokens{}, eris.Errorf("line %d is not a role and a digest", i+1)
		}
		tokens.entries = append(tokens.entries, entry)
	}
	return tokens, nil
}

func parseToken(line string) (tokenEntry, bool) {
	name, digest, _ := strings.Cut(line, " ")
	role, ok := ParseRole(name)
	if !ok {
		return tokenEntry{}, false
	}
	decoded, err := hex.DecodeString(strings.TrimSpace(digest))
	if err != nil || len(decoded) != sha256.Size {
		return tokenEntry{}, false
	}
	return tokenEntry{digest: [sha256.Size]byte(decoded), role: role}, true
}

// Role returns the role of a token, RoleNone if it is not in the list. It compares
// the token with the whole list in constant time, so that the response time shows
// nothing about the listed tokens.
func (t Tokens) Role(token string) Role {
	digest := sha256.Sum256([]byte(token))
	found := RoleNone
	for _, entry := range t.entries {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			found = max(found, entry.role)
		}
	}
	return found
}
