// Package manager keeps the configuration document in force on this instance, and edits the one in the store.
package manager
