// Formats replies as human-readable text.

#ifndef GOOSEBERRYROCK_APPS_CTL_RENDER_H_
#define GOOSEBERRYROCK_APPS_CTL_RENDER_H_

#include <string>

namespace gooseberryrock::proto {
class GetCatalogReply;
class GetStatusReply;
class QueryAnswer;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::ctl {

// Formats one line for each service.
std::string RenderServices(const proto::GetCatalogReply& reply);

// Formats the version, whether it is current, the services and the reservation.
std::string RenderCatalog(const proto::GetCatalogReply& reply);

std::string RenderStatus(const proto::GetStatusReply& reply);

// Formats the status with its coverage, then one row on each line.
std::string RenderAnswer(const proto::QueryAnswer& answer);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_RENDER_H_
