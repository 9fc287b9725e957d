// Prints statistics of a load run for each rank as a table, and for each second
// as CSV.

#ifndef GOOSEBERRYROCK_APPS_LOAD_LOAD_REPORT_H_
#define GOOSEBERRYROCK_APPS_LOAD_LOAD_REPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "load_run.h"

namespace gooseberryrock::load {

// Prints one line for each rank with requests, then all problems with their
// counts.
void PrintTable(const std::vector<Sample>& samples, std::ostream& out);

// Prints one line for each second and rank with requests, and one with the
// second "all" for each rank.
void PrintCsv(const std::vector<Sample>& samples, std::ostream& out);

// Returns the number of answers with problems.
size_t CountWrongAnswers(const std::vector<Sample>& samples);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_LOAD_REPORT_H_
