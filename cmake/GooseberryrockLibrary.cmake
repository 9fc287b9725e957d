# gooseberryrock_add_library(<name>
#                            SOURCES <file>...
#                            [DEPENDS <library>...]
#                            [LINK <target>...])
#
# Defines the static library gooseberryrock_<name>. DEPENDS lists libraries of
# this project, which must already be defined; this keeps the dependency graph
# acyclic. LINK lists targets of other projects.
function(gooseberryrock_add_library name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;DEPENDS;LINK")
  set(target gooseberryrock_${name})
  add_library(${target} STATIC ${arg_SOURCES})
  target_include_directories(${target} PUBLIC
    "${CMAKE_CURRENT_SOURCE_DIR}/include")
  target_compile_options(${target} PRIVATE ${GOOSEBERRYROCK_WARNINGS})
  target_link_libraries(${target} PUBLIC Threads::Threads ${arg_LINK})
  foreach(dependency IN LISTS arg_DEPENDS)
    if(NOT TARGET gooseberryrock_${dependency})
      message(FATAL_ERROR
        "Library '${name}' depends on '${dependency}', which is not defined "
        "before it. Libraries must not depend on each other in a cycle.")
    endif()
    target_link_libraries(${target} PUBLIC gooseberryrock_${dependency})
  endforeach()
endfunction()

# gooseberryrock_add_test(<name>
#                         LABEL <unit|fault|bench>
#                         SOURCES <file>...
#                         [DEPENDS <library>...]
#                         [LINK <target>...]
#                         [TIMEOUT <seconds>])
#
# Defines a GoogleTest program and registers it as a single CTest test.
function(gooseberryrock_add_test name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "LABEL;TIMEOUT"
    "SOURCES;DEPENDS;LINK")
  add_executable(${name} ${arg_SOURCES})
  target_compile_options(${name} PRIVATE ${GOOSEBERRYROCK_WARNINGS})
  target_link_libraries(${name} PRIVATE GTest::gmock GTest::gtest_main
    ${arg_LINK})
  foreach(dependency IN LISTS arg_DEPENDS)
    target_link_libraries(${name} PRIVATE gooseberryrock_${dependency})
  endforeach()
  add_test(NAME ${name} COMMAND ${name}
    WORKING_DIRECTORY "${CMAKE_CURRENT_SOURCE_DIR}")
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  if(arg_LABEL STREQUAL "unit")
    add_dependencies(unit_tests ${name})
  endif()
  set_tests_properties(${name} PROPERTIES LABELS "${arg_LABEL}"
    TIMEOUT ${arg_TIMEOUT})
endfunction()
