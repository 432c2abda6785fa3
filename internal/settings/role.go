package settings

import "slices"

// Role names the program part that a settings file is for.
type Role string

// The roles that have settings.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
	RoleStandin  Role = "standin"
)

// Roles returns all roles in the order of the documentation.
func Roles() []Role {
	return []Role{RoleEntry, RoleAgent, RoleControl, RoleOperator, RoleStandin}
}

// keysOf returns the declarations of a role's keys, or nil for an unknown role.
func keysOf(role Role) []declared {
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
