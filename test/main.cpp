//===- main.cpp - Entry point of the unit tests ---------------------------===//
//
// Catch2 version 2 is header-only. Its main function is compiled only here, to
// keep the build short.
//
//===----------------------------------------------------------------------===//

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
