package leader

import "rosemarywind.example/rosemarywind/internal/call"

// conclusive reports whether the outcome of an attempt is that of the whole call although an earlier attempt may have had
// an effect. A refusal of a call with an effect is not: the queue, the key or the leader that the earlier attempt met may
// have been replaced since.
func conclusive(c call.Call, o call.Outcome) bool {
	switch c.(type) {
	case call.Submit, call.Cancel, call.Declare, call.StartWave, call.Evacuate, call.Reopen:
		return o == call.OK
	case call.Read, call.ReadDeclaration, call.ReadWave, call.Ping:
		return o != call.Refused && o != call.Unavailable
	}
	return o == call.OK
}
