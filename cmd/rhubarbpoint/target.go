package main

import (
	"errors"
	"flag"
	"os"

	"rhubarbpoint/operator/client"
)

// operatorEnv is the environment variable that names the instance to call when -operator is absent.
const operatorEnv = "RHUBARBPOINT_OPERATOR"

// target is the instance that a command calls.
type target struct {
	addr string
}

func (t *target) setFlag(f *flag.FlagSet) {
	f.StringVar(&t.addr, "operator", os.Getenv(operatorEnv),
		"operator listener (`IP:PORT`) of any instance; default from "+operatorEnv)
}

func (t *target) client() (*client.Client, error) {
	if t.addr == "" {
		return nil, errors.New("-operator IP:PORT or " + operatorEnv + " must name an instance")
	}
	return client.New(t.addr), nil
}
