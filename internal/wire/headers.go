package wire

import (
	"fmt"

	"rosemarywind.example/rosemarywind/internal/request"
)

// flat returns the names and values of headers in turn, because a map of lists costs more to decode.
func flat(h request.Headers) (list []string) {
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

// headersOf returns the headers of a flat list.
func headersOf(list []string) (h request.Headers, err error) {
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
