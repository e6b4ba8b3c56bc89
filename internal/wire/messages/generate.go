// Package messages holds the messages between the daemons and in their files, generated from
// bluebellgauge.proto and queue.proto. It holds no logic.
package messages

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative bluebellgauge.proto queue.proto
