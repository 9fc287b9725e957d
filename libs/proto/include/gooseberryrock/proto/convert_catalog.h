// Conversions between catalog values and their messages.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_CATALOG_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_CATALOG_H_

namespace gooseberryrock::catalog {
struct Catalog;
struct Command;
struct CommandOutcome;
struct ServiceDefinition;
}  // namespace gooseberryrock::catalog

namespace gooseberryrock::proto {

class Catalog;
class CommandReply;
class CommandRequest;
class ServiceDefinition;

ServiceDefinition ToMessage(const catalog::ServiceDefinition& service);
catalog::ServiceDefinition FromMessage(const ServiceDefinition& message);

// Throws MalformedMessageError if the change or the command id is missing.
catalog::Command FromMessage(const CommandRequest& message);
CommandRequest ToMessage(const catalog::Command& command);

CommandReply ToMessage(const catalog::CommandOutcome& outcome);

// Excludes the remembered commands, which only control VMs store.
Catalog ToMessage(const catalog::Catalog& catalog);
catalog::Catalog FromMessage(const Catalog& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_CATALOG_H_
