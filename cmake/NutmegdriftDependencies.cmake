# External libraries, all from the distribution's packages.
find_package(Threads REQUIRED)
find_package(Poco REQUIRED COMPONENTS Foundation Net)
find_package(Boost 1.81 REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(cxxopts REQUIRED)
find_package(log4cplus REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
if(NUTMEGDRIFT_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

add_library(nutmegdrift_options INTERFACE)
# Designated initialisers leave the other fields at their defaults on purpose.
target_compile_options(nutmegdrift_options INTERFACE -Wall -Wextra -Wpedantic -Werror
                                                     -Wno-missing-field-initializers)
if(NUTMEGDRIFT_SANITIZE)
  target_compile_options(nutmegdrift_options INTERFACE -fsanitize=${NUTMEGDRIFT_SANITIZE}
                                                       -fno-omit-frame-pointer)
  target_link_options(nutmegdrift_options INTERFACE -fsanitize=${NUTMEGDRIFT_SANITIZE})
endif()
