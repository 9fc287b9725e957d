// Changes of backend servers between cold and warm.

#ifndef GOOSEBERRYROCK_DIRECTORY_COLD_SERVER_H_
#define GOOSEBERRYROCK_DIRECTORY_COLD_SERVER_H_

#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct Directory;

// Returns `announced` with the sequence number to store. Servers that count all
// their announcements would otherwise change the directory with each of them.
// Only a change between cold and warm within an incarnation keeps its number,
// which decides against late announcements; any other announcement gets the
// number of the known record.
ServerRecord NumberColdChange(const Directory& directory,
                              ServerRecord announced);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_COLD_SERVER_H_
