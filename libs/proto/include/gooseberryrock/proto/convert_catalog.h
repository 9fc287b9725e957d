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

// Throws MalformedMessageError when there is no change or no command id.
catalog::Command FromMessage(const CommandRequest& message);
CommandRequest ToMessage(const catalog::Command& command);

CommandReply ToMessage(const catalog::CommandOutcome& outcome);

// Without the remembered commands, which only control VMs keep.
Catalog ToMessage(const catalog::Catalog& catalog);
catalog::Catalog FromMessage(const Catalog& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_CATALOG_H_
