// Runs the commands of a transcript and compares their output.

#ifndef GOOSEBERRYROCK_TESTS_CTL_CTL_TRANSCRIPT_H_
#define GOOSEBERRYROCK_TESTS_CTL_CTL_TRANSCRIPT_H_

#include <cstdint>
#include <filesystem>

namespace gooseberryrock::ctl {

// Runs each command of `file` against the stand-in node on `port` and compares
// its output with the text that follows the command. Commands are the lines
// that start with "$ "; in Markdown files (.md) only those in ```console
// blocks. Ids are normalized, and `port` is shown as 8080. When the environment
// variable GBR_UPDATE_EXPECTED is set, the file is updated instead.
void ExpectTranscript(const std::filesystem::path& file, uint16_t port);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_TESTS_CTL_CTL_TRANSCRIPT_H_
