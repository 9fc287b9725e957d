// Base class of all exceptions of the project. Each kind of failure has its own
// derived type.

#ifndef GOOSEBERRYROCK_BASE_ERROR_H_
#define GOOSEBERRYROCK_BASE_ERROR_H_

#include <exception>
#include <string>

namespace gooseberryrock {

class Error : public std::exception {
 public:
  explicit Error(std::string message);

  const char* what() const noexcept override;

 private:
  std::string message_;
};

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_ERROR_H_
