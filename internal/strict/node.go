package strict

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// maxValueText is the number of bytes to which a fault truncates the refused value.
const maxValueText = 80

// node is one JSON value. Unlike a map, it keeps duplicate members of an object, so that they can be reported.
type node struct {
	value   any // string, json.Number, bool or nil; unset for objects and lists
	object  bool
	list    bool
	members []member
	items   []*node
}

type member struct {
	name string
	node *node
}

// parse reads valid JSON.
func parse(data []byte) *node {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return parseNext(dec)
}

func parseNext(dec *json.Decoder) *node {
	token, _ := dec.Token()
	switch token {
	case json.Delim('{'):
		n := &node{object: true}
		for dec.More() {
			name, _ := dec.Token()
			text, _ := name.(string)
			n.members = append(n.members, member{name: text, node: parseNext(dec)})
		}
		dec.Token()
		return n
	case json.Delim('['):
		n := &node{list: true}
		for dec.More() {
			n.items = append(n.items, parseNext(dec))
		}
		dec.Token()
		return n
	}
	return &node{value: token}
}

// text returns the value for a fault: a scalar in JSON, an object or a list as a description.
func (n *node) text() string {
	switch {
	case n.object:
		return "an object"
	case n.list:
		return "a list of " + strconv.Itoa(len(n.items))
	}
	return Quote(n.value)
}

// Quote returns a value in JSON, truncated if long.
func Quote(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	if len(data) > maxValueText {
		return string(bytes.ToValidUTF8(data[:maxValueText], nil)) + "…"
	}
	return string(data)
}
