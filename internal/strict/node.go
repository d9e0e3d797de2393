package strict

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// maxValueText bounds how much of a refused value is repeated in a fault.
const maxValueText = 80

// node is one JSON value. Unlike a map, it keeps members that occur twice.
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

// text returns the value in JSON, for faults.
func (n *node) text() string {
	switch {
	case n.object:
		return "an object"
	case n.list:
		return "a list of " + strconv.Itoa(len(n.items))
	}
	return Quote(n.value)
}

// Quote returns a value in JSON, cut if long.
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
