package control

import (
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/pkg/client"
)

func toJobBody(j job.Job) client.JobBody {
	s := j.Spec()
	b := client.JobBody{
		ID: s.ID(), Workspace: s.Workspace(), State: string(j.State()), Result: string(j.Result()), Reason: j.Reason(),
		Urgency: string(s.Urgency()), FencingToken: uint64(j.FencingToken()), Attempts: j.Attempts(), Members: []client.MemberBody{},
		Shape: client.ShapeBody{
			Members: s.Shape().Members(), Accelerators: s.Shape().Accelerators(),
			Adjacency: string(s.Shape().Adjacency()),
		},
	}
	for _, m := range j.Members() {
		b.Members = append(b.Members, client.MemberBody{
			Index: m.Index(), Worker: m.Worker(), Accelerators: m.Accelerators(),
		})
	}
	return b
}
