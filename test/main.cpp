//===- main.cpp - The entry point of the tests ----------------------------===//
//
// Catch2 version 2 is one header; its main is compiled once, here.
//
//===----------------------------------------------------------------------===//

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
