// Runs the commands of a transcript and compares their output.

#ifndef GOOSEBERRYROCK_TESTS_CTL_CTL_TRANSCRIPT_H_
#define GOOSEBERRYROCK_TESTS_CTL_CTL_TRANSCRIPT_H_

#include <cstdint>
#include <filesystem>

namespace gooseberryrock::ctl {

// Runs each command of `file` against the stand-in node on `port` and expects
// the output that follows it. In a page (.md), commands are the lines that
// start with "$ " in ```console blocks. Ids, and `port` as 8080, are
// normalized. With the environment variable GBR_UPDATE_EXPECTED the file is
// written instead.
void ExpectTranscript(const std::filesystem::path& file, uint16_t port);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_TESTS_CTL_CTL_TRANSCRIPT_H_
