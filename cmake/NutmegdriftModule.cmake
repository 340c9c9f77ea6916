# Declares one layered library and its tests.
#
#   nutmegdrift_module(NAME policy LAYER 2 SOURCES a.cpp TESTS a_test.cpp
#                      DEPENDS base wire LIBRARIES PkgConfig::xxhash
#                      TEST_LIBRARIES ${RAPIDCHECK_LIBRARY})
#
# KNOWN_RED is a GoogleTest filter of the module's tests that KNOWN-RED.txt lists.
# They get an entry of their own, which run-tests reports without failing.
#
# DEPENDS names other modules; configuring fails if one of them is not in a
# lower layer, so the direction of dependencies cannot change unnoticed.
function(nutmegdrift_module)
  cmake_parse_arguments(ARG "" "NAME;LAYER;KNOWN_RED" "SOURCES;TESTS;DEPENDS;LIBRARIES;TEST_LIBRARIES" ${ARGN})
  set_property(GLOBAL PROPERTY NUTMEGDRIFT_LAYER_${ARG_NAME} ${ARG_LAYER})
  set(target nutmegdrift_${ARG_NAME})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(nutmegdrift::${ARG_NAME} ALIAS ${target})
  target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR}/include
                                                ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${target} ${scope} nutmegdrift_options ${ARG_LIBRARIES})
  foreach(dependency IN LISTS ARG_DEPENDS)
    get_property(layer GLOBAL PROPERTY NUTMEGDRIFT_LAYER_${dependency})
    if(layer STREQUAL "" OR NOT layer LESS ARG_LAYER)
      message(FATAL_ERROR "module ${ARG_NAME} (layer ${ARG_LAYER}) must not depend on "
                          "${dependency} (layer ${layer})")
    endif()
    target_link_libraries(${target} ${scope} nutmegdrift::${dependency})
  endforeach()
  if(NUTMEGDRIFT_TESTS AND ARG_TESTS)
    add_executable(${ARG_NAME}_test ${ARG_TESTS})
    target_link_libraries(${ARG_NAME}_test PRIVATE ${target} ${ARG_TEST_LIBRARIES} GTest::gtest_main
                                                   GTest::gmock)
    set(names ${ARG_NAME})
    if(ARG_KNOWN_RED)
      add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME}_test --gtest_filter=-${ARG_KNOWN_RED})
      add_test(NAME ${ARG_NAME}_known_red COMMAND ${ARG_NAME}_test --gtest_filter=${ARG_KNOWN_RED})
      set_tests_properties(${ARG_NAME}_known_red PROPERTIES LABELS known-red)
      list(APPEND names ${ARG_NAME}_known_red)
    else()
      add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME}_test)
    endif()
    set_tests_properties(${names} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
