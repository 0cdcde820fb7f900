// Package securer secures connections between daemons and from the operators'
// tool with TLS, and decides by roles which calls a caller may make.
package securer

import (
	"crypto/tls"
	"path"
)

// A Role is the set of calls that a certificate or token allows its holder to
// make. The roles of operators are ordered: each includes those before it.
type Role int

// Roles.
const (
	RoleNone Role = iota
	// RoleView may read plans, status, declarations and the time line.
	RoleView
	// RoleConfirm may also confirm and cancel intents.
	RoleConfirm
	// RoleAdminister may also make all other operators' calls, such as changing
	// the declarations.
	RoleAdminister
	// RoleDaemon may call the peer protocol, but makes no operators' calls.
	RoleDaemon
)

// units maps each role to the organisational unit that grants it in a certificate.
var units = map[Role]string{
	RoleView:       "kumquat-view",
	RoleConfirm:    "kumquat-confirm",
	RoleAdminister: "kumquat-administer",
	RoleDaemon:     "kumquat-daemon",
}

// Unit returns the organisational unit that grants the role in a certificate.
func (r Role) Unit() string { return units[r] }

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleView:
		return "view"
	case RoleConfirm:
		return "confirm"
	case RoleAdminister:
		return "administer"
	case RoleDaemon:
		return "daemon"
	default:
		return "none"
	}
}

// ParseRole returns the role of operators that has the given name.
func ParseRole(name string) (role Role, ok bool) {
	for _, role := range []Role{RoleView, RoleConfirm, RoleAdminister} {
		if role.String() == name {
			return role, true
		}
	}
	return RoleNone, false
}

// Allows reports whether the role includes the needed one.
func (r Role) Allows(needed Role) bool {
	if needed == RoleDaemon || r == RoleDaemon {
		return r == needed
	}
	return r >= needed
}

// RoleOf returns the role of the other side of a connection: the highest role
// that the organisational units of its verified certificate name, or RoleNone if
// it has no verified certificate.
func RoleOf(state *tls.ConnectionState) Role {
	if state == nil || len(state.VerifiedChains) == 0 {
		return RoleNone
	}
	found := RoleNone
	for _, unit := range state.VerifiedChains[0][0].Subject.OrganizationalUnit {
		for role, name := range units {
			if name == unit {
				found = max(found, role)
			}
		}
	}
	return found
}

// RequiredRole returns the role that a call requires, by the path of its URL.
// Unknown calls require RoleAdminister, the highest role of operators.
func RequiredRole(urlPath string) Role {
	if path.Base(path.Dir(urlPath)) == "kumquat.v1.Peer" {
		return RoleDaemon
	}
	switch path.Base(urlPath) {
	case "Plan", "Status", "GetDeclarations", "Timeline":
		return RoleView
	case "Confirm", "Cancel":
		return RoleConfirm
	default:
		return RoleAdminister
	}
}
