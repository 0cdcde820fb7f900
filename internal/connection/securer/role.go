// Package securer encrypts and authenticates connections between daemons and
// from the operators' tool, and decides which calls a caller may make.
package securer

import (
	"crypto/tls"
	"path"
)

// A Role is what a certificate or token allows its holder to do. A larger
// operator's role includes the smaller ones.
type Role int

// Roles.
const (
	RoleNone Role = iota
	// RoleView reads plans, status, declarations and the time line.
	RoleView
	// RoleConfirm also confirms and cancels intents.
	RoleConfirm
	// RoleAdminister also changes the declarations.
	RoleAdminister
	// RoleDaemon speaks the peer protocol; it is no operator.
	RoleDaemon
)

// units are the organisational units of certificates, by role.
var units = map[Role]string{
	RoleView:       "kumquat-view",
	RoleConfirm:    "kumquat-confirm",
	RoleAdminister: "kumquat-administer",
	RoleDaemon:     "kumquat-daemon",
}

// Unit returns the organisational unit that gives a role to a certificate.
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

// ParseRole returns an operator's role by its name.
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

// RoleOf returns the role of a verified connection's client certificate: the
// largest operator's role that its organisational units name.
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

// NeededFor returns the role that a call needs, by the path of its URL. Calls
// that are not known need the largest operator's role.
func NeededFor(urlPath string) Role {
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
