package config

import (
	"strconv"

	"go.yaml.in/yaml/v3"
)

// lines maps the path of a node, such as models.3.size, to its line.
type lines map[string]int

// locate records where each node of the text stands. Text that does not parse
// gives an empty map: the decoder has already complained.
func locate(text []byte) lines {
	var doc yaml.Node
	ls := lines{}
	if yaml.Unmarshal(text, &doc) != nil || len(doc.Content) == 0 {
		return ls
	}
	ls.walk("", doc.Content[0])
	return ls
}

func (ls lines) walk(path string, n *yaml.Node) {
	ls[path] = n.Line
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			ls.walk(join(path, n.Content[i].Value), n.Content[i+1])
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			ls.walk(join(path, strconv.Itoa(i)), c)
		}
	}
}

func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// at returns the line of a path, or of its nearest parent that stands in the text.
func (ls lines) at(path string) int {
	for {
		if l, ok := ls[path]; ok {
			return l
		}
		cut := lastDot(path)
		if cut < 0 {
			return ls[""]
		}
		path = path[:cut]
	}
}

func lastDot(s string) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == '.' {
			return i
		}
	}
	return -1
}
