package securer

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

const bearer = "Bearer "

// Guard returns a handler that passes a call to next if the caller's role allows
// the call, and responds with "permission denied" otherwise. The role is given by
// the caller's certificate or the token in its Authorization header.
func Guard(next http.Handler, tokens Tokens, record recorder.Recorder) http.Handler {
	return guard(next, tokens, record, RequiredRole)
}

// GuardDaemons returns a handler that passes only the calls of daemons to next.
func GuardDaemons(next http.Handler, record recorder.Recorder) http.Handler {
	return guard(next, Tokens{}, record, func(string) Role { return RoleDaemon })
}

func guard(next http.Handler, tokens Tokens, record recorder.Recorder, requiredRole func(path string) Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		needed := requiredRole(r.URL.Path)
		role := callerRole(r, tokens)
		if role.Allows(needed) {
			next.ServeHTTP(w, r)
			return
		}
		method := path.Base(r.URL.Path)
		record.Record(time.Now(), EventDenied, recorder.Fields{
			"method": method, "role": role.String(), "needed": needed.String(),
		})
		// If the response can't be written, the caller sees a broken connection.
		_ = twirp.WriteError(w, twirp.NewErrorf(twirp.PermissionDenied,
			"%s refused: it needs the role %s, yours is %s; use a certificate or token with that role", method, needed, role))
	})
}

func callerRole(r *http.Request, tokens Tokens) Role {
	role := RoleOf(r.TLS)
	header := r.Header.Get("Authorization")
	if role == RoleDaemon || !strings.HasPrefix(header, bearer) {
		return role
	}
	return max(role, tokens.Role(strings.TrimPrefix(header, bearer)))
}
