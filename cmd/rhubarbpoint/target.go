package main

import (
	"errors"
	"flag"
	"os"

	"rhubarbpoint/operator/client"
)

// operatorVariable names the instance to ask when -operator is absent.
const operatorVariable = "RHUBARBPOINT_OPERATOR"

// target is the instance that a verb asks.
type target struct {
	addr string
}

func (t *target) setFlag(f *flag.FlagSet) {
	f.StringVar(&t.addr, "operator", os.Getenv(operatorVariable),
		"operator listener (`IP:PORT`) of any instance; default from "+operatorVariable)
}

func (t *target) client() (*client.Client, error) {
	if t.addr == "" {
		return nil, errors.New("-operator IP:PORT or " + operatorVariable + " must name an instance")
	}
	return client.New(t.addr), nil
}
