// Socket addresses: conversion from and to text, conversion from bytes, and equality.
#include "discovery/address.hpp"

#include <gtest/gtest.h>

namespace stonebay {
namespace {

TEST(Address, ParsesAndPrintsBothFamilies) {
  for (const char* text : {"10.1.0.18:5432", "[fe80::1]:5432", "127.0.0.1:0"}) {
    const auto address = Address::parse(text);
    ASSERT_TRUE(address) << text;
    EXPECT_EQ(address->text(), text);
    EXPECT_EQ(Address::fromSocket(address->data()), *address) << text;
  }
  EXPECT_TRUE(Address().isUnset());
  EXPECT_EQ(Address().text(), "");
}

TEST(Address, RejectsMalformedText) {
  for (const char* text :
       {"", "10.1.0.18", "10.1.0.18:", "10.1.0.18:65536", "10.1.0.18:-1", "10.1.0.18:5432x", "host:5432",
        "fe80::1:5432", "[fe80::1]", "[]:5432", "[10.1.0.18]:5432"})
    EXPECT_FALSE(Address::parse(text)) << text;
}

TEST(Address, ConvertsTheBytesOfAnAddressRecord) {
  EXPECT_EQ(Address::fromBytes(std::string("\x0a\x01\x00\x12", 4), 5432), *Address::parse("10.1.0.18:5432"));
  EXPECT_EQ(Address::fromBytes(std::string(15, '\0') + "\1", 5432), *Address::parse("[::1]:5432"));
  EXPECT_TRUE(Address::fromBytes("abc", 5432).isUnset());
}

TEST(Address, DiffersByHostPortAndFamily) {
  const Address address = *Address::parse("10.1.0.18:5432");
  EXPECT_NE(address, *Address::parse("10.1.0.18:5433"));
  EXPECT_NE(address, *Address::parse("10.1.0.19:5432"));
  EXPECT_NE(address, *Address::parse("[::1]:5432"));
  EXPECT_NE(address, Address());
}

}  // namespace
}  // namespace stonebay
