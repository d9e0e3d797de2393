// Package httptopo is the HTTP adapter to the platform's store and instance list.
package httptopo
