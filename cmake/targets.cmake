# Adds a library for a folder under src/, of every .cc file in it, so that a new
# file needs no edit here.
function(fireflyspar_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.capnp.c++)
  add_library(fireflyspar_${name} STATIC ${sources})
  target_include_directories(fireflyspar_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:include>)
  target_link_libraries(fireflyspar_${name} PUBLIC ${ARGN} Threads::Threads)
  set_source_files_properties(${CMAKE_CURRENT_SOURCE_DIR}/${name}/peer.capnp.c++
    PROPERTIES COMPILE_OPTIONS "-w" SKIP_LINTING ON)
endfunction()

# Sets `result` to Catch2 patterns that exclude the tests of `program` that
# KNOWN-RED.txt lists. It is empty without that file or a line for the program.
function(fireflyspar_known_red program result)
  set(exclusions)
  set(list_file ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  if(EXISTS ${list_file})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${list_file})
    file(STRINGS ${list_file} lines REGEX "^test ${program}: ")
    foreach(line IN LISTS lines)
      string(REGEX REPLACE "^test ${program}: " "~" exclusion "${line}")
      list(APPEND exclusions "${exclusion}")
    endforeach()
  endif()
  set(${result} ${exclusions} PARENT_SCOPE)
endfunction()

# Adds one Catch2 program for each library, of every tests/<name>/*.cc file.
function(fireflyspar_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_test main.cc ${sources})
  target_link_libraries(${name}_test PRIVATE ${ARGN} Catch2::Catch2 rapidcheck)
  target_compile_definitions(${name}_test PRIVATE
    FIREFLYSPAR_SOURCE_DIR="${PROJECT_SOURCE_DIR}" FIREFLYSPAR_BINARY_DIR="${PROJECT_BINARY_DIR}")
  fireflyspar_known_red(${name} excluded_tests)
  add_test(NAME ${name} COMMAND ${name}_test ${excluded_tests})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300
    ENVIRONMENT RC_PARAMS=seed=20)  # The same rapidcheck cases in each run.
endfunction()
