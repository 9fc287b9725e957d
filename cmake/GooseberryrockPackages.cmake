# Finds the external libraries of the project. All are Debian packages, which
# scripts/install_packages.sh installs.

find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(Boost REQUIRED)
find_package(ZLIB REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(zmq REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(log4cplus REQUIRED IMPORTED_TARGET log4cplus)

add_library(gooseberryrock_cxxtools INTERFACE)
target_link_libraries(gooseberryrock_cxxtools INTERFACE cxxtools-http cxxtools)
