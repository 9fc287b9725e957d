// Figures of a run for each rank: a table, and CSV for each second.

#ifndef GOOSEBERRYROCK_APPS_LOAD_LOAD_REPORT_H_
#define GOOSEBERRYROCK_APPS_LOAD_LOAD_REPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "load_run.h"

namespace gooseberryrock::load {

// Prints one line for each rank with requests, then the problems found.
void PrintTable(const std::vector<Sample>& samples, std::ostream& out);

// Prints one line for each second and rank with requests, and one with the
// second "all" for each rank.
void PrintCsv(const std::vector<Sample>& samples, std::ostream& out);

// Number of answers with a problem.
size_t CountWrong(const std::vector<Sample>& samples);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_LOAD_REPORT_H_
