// Runs the commands of a transcript and compares their output.

#include "ctl_transcript.h"

#include <gtest/gtest.h>
#include <regex.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace gooseberryrock::ctl {

namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Replaces each id that GenerateId() made with the same fixed id.
void NormalizeIds(std::string& text) {
  // Uses the POSIX functions because std::regex causes compiler warnings in
  // builds with AddressSanitizer.
  const std::string id = "1764842400000-0123456789abcdef";
  regex_t pattern;
  regmatch_t match;
  ASSERT_EQ(regcomp(&pattern, "[0-9]{13}-[0-9a-f]{16}", REG_EXTENDED), 0);
  size_t at = 0;
  while (regexec(&pattern, text.c_str() + at, 1, &match, 0) == 0) {
    at += static_cast<size_t>(match.rm_so);
    text.replace(at, id.size(), id);
    at += id.size();
  }
  regfree(&pattern);
}

// Creates a folder with the example settings and the secrets that they name.
fs::path CreateWorkFolder() {
  fs::path folder = fs::path(testing::TempDir()) /
                    ("ctl_test_" + std::to_string(static_cast<long>(getpid())));
  fs::create_directories(folder);
  fs::copy(fs::path(GOOSEBERRYROCK_SOURCE_DIR) / "config", folder / "config",
           fs::copy_options::recursive);
  std::ofstream(folder / "config/salon/cluster.key") << std::string(32, 'k');
  std::ofstream(folder / "config/salon/operator.token")
      << "operator-token-of-the-test\n";
  for (const char* name : {"cluster.key", "operator.token"}) {
    fs::permissions(folder / "config/salon" / name,
                    fs::perms::owner_read | fs::perms::owner_write);
  }
  return folder;
}

// Returns the standard output and error of `command`, followed by its exit code
// unless that is 0.
std::string RunCommand(const std::string& command,
                       const fs::path& folder,
                       const std::string& address) {
  std::string line = command;
  ReplaceAll(line, "127.0.0.1:8080", address);
  const std::string script =
      "cd '" + folder.string() +
      "' && export PATH='" GOOSEBERRYROCK_PROGRAM_FOLDER
      "':\"$PATH\" GBR_NODE=" +
      address + " GBR_OPERATOR_TOKEN=operator-token-of-the-test && { " + line +
      "\n} >output 2>&1";
  const int status = std::system(script.c_str());
  std::string output = ReadFile(folder / "output");
  ReplaceAll(output, address, "127.0.0.1:8080");
  NormalizeIds(output);
  if (WEXITSTATUS(status) != 0) {
    output += "[exit code " + std::to_string(WEXITSTATUS(status)) + "]\n";
  }
  return output;
}

// Returns `text` with the output of each command replaced by its actual output.
std::string RunCommands(const std::string& text,
                        bool is_page,
                        const fs::path& folder,
                        const std::string& address) {
  std::string actual;
  bool in_block = !is_page;
  bool in_output = false;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (is_page && line.starts_with("```")) {
      in_block = line == "```console";
      in_output = false;
    }
    if (in_block && line.starts_with("$ ")) {
      in_output = true;
      actual += line + "\n" + RunCommand(line.substr(2), folder, address);
    } else if (!in_output) {
      actual += line + "\n";
    }
  }
  return actual;
}

}  // namespace

void ExpectTranscript(const fs::path& file, uint16_t port) {
  const fs::path folder = CreateWorkFolder();
  const std::string text = ReadFile(file);
  EXPECT_NE(text.find("$ gbr"), std::string::npos) << "no command in " << file;
  const std::string actual =
      RunCommands(text, file.extension() == ".md", folder,
                  "127.0.0.1:" + std::to_string(port));
  fs::remove_all(folder);
  if (std::getenv("GBR_UPDATE_EXPECTED") != nullptr) {
    std::ofstream(file) << actual;
    return;
  }
  EXPECT_EQ(actual, text) << file;
}

}  // namespace gooseberryrock::ctl
