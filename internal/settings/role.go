package settings

import "slices"

// Role names the role of the process that a settings file configures.
type Role string

// The roles that have settings.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
	RoleStandin  Role = "standin"
)

// Roles returns all roles in the order in which they are documented.
func Roles() []Role {
	return []Role{RoleEntry, RoleAgent, RoleControl, RoleOperator, RoleStandin}
}

// keysOf returns the definitions of a role's keys, or nil for an unknown role.
func keysOf(role Role) []definition {
	switch role {
	case RoleEntry:
		return slices.Concat(commonKeys, keyFileKeys, entryKeys)
	case RoleAgent:
		return slices.Concat(commonKeys, keyFileKeys, agentKeys)
	case RoleControl:
		return slices.Concat(commonKeys, keyFileKeys, controlKeys)
	case RoleOperator:
		return operatorKeys
	case RoleStandin:
		return slices.Concat(commonKeys, standinKeys)
	default:
		return nil
	}
}
