// A reader that accepts only messages whose end is certain (RFC 9112).

#ifndef GOOSEBERRYROCK_TESTS_TRANSPORT_STRICT_READER_H_
#define GOOSEBERRYROCK_TESTS_TRANSPORT_STRICT_READER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryrock::transport {

// Reads messages from the start of `text` and removes them from it.
struct StrictReader {
  std::string_view text;
  // Whether reading ended at a fault, not at the end of the text.
  bool faulty = false;
  // Set by TakeReply(). Servers accept requests with folded lines.
  bool refuses_folded_lines = false;

  // Reads a POST request to "/". Returns false at a fault or if it is cut.
  bool TakeRequest();

  // Returns the body of the final reply to a GET, or nullopt at a fault or if
  // the reply is cut. The peer closes the connection after the text.
  std::optional<std::string> TakeReply();

 private:
  bool Fail();
  bool TakeLine(std::string_view& line);
  // Reads field lines up to the empty one.
  bool TakeFields(std::vector<std::string>& lengths,
                  std::vector<std::string>& codings);
  bool TakeChunks(std::string& body);
  // Whether the fields give at most one length, which is certain.
  static bool IsCertain(const std::vector<std::string>& lengths,
                        const std::vector<std::string>& codings,
                        bool is_old);
  bool TakeBytes(std::string_view length, std::string& body);
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TESTS_TRANSPORT_STRICT_READER_H_
