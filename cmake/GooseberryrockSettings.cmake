# Compiler settings for all targets.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(GOOSEBERRYROCK_CCACHE ccache)
if(GOOSEBERRYROCK_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${GOOSEBERRYROCK_CCACHE}")
endif()

set(GOOSEBERRYROCK_SANITIZE "" CACHE STRING
  "Sanitizers of the whole build: empty, 'address,undefined' or 'thread'")
if(GOOSEBERRYROCK_SANITIZE)
  add_compile_options(-fsanitize=${GOOSEBERRYROCK_SANITIZE}
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${GOOSEBERRYROCK_SANITIZE})
endif()

# Warnings for the project's own code; generated code is compiled without them.
# -Wno-restrict: GCC 12 falsely reports overlapping copies inside std::string at
# -O3 (GCC bug 105651).
set(GOOSEBERRYROCK_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wno-restrict
  -Werror)
