// Package distributionpb has the messages of distribution.proto as generated.
package distributionpb

//go:generate sh -c "mkdir -p ../../../bin && GOBIN=$(cd ../../../bin && pwd) go install tool && PATH=$(cd ../../../bin && pwd):$PATH protoc --go_out=../../.. --go_opt=module=mothcleat --go-grpc_out=../../.. --go-grpc_opt=module=mothcleat -I ../../.. internal/controlplane/distributionpb/distribution.proto"
