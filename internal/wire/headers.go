package wire

import (
	"fmt"

	"rosemarywind.example/rosemarywind/internal/request"
)

// flattenHeaders returns a list of alternating names and values, which is cheaper to decode than a map of lists.
func flattenHeaders(h request.Headers) (list []string) {
	if len(h) == 0 {
		return nil
	}
	list = make([]string, 0, 2*len(h))
	for name, values := range h {
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
}

// unflattenHeaders returns the headers in a list of alternating names and values.
func unflattenHeaders(list []string) (h request.Headers, err error) {
	if len(list)%2 != 0 {
		return nil, fmt.Errorf("headers have %d names and values, want an even number", len(list))
	}
	if len(list) == 0 {
		return nil, nil
	}
	h = make(request.Headers, len(list)/2)
	for i := 0; i < len(list); i += 2 {
		name := list[i]
		if h[name] == nil {
			h[name] = list[i+1 : i+2 : i+2]
			continue
		}
		h[name] = append(h[name], list[i+1])
	}
	return h, nil
}
