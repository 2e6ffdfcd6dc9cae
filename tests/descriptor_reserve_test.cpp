// Tests of the reserve of file descriptors.
#include "util/descriptor_reserve.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace stonebay::test {
namespace {

// Lets this process open no further descriptors until the end of the scope.
class FullDescriptorTable {
 public:
  FullDescriptorTable() {
    getrlimit(RLIMIT_NOFILE, &original_);
    const int next = dup(STDIN_FILENO);
    close(next);
    rlimit limit = original_;
    limit.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  FullDescriptorTable(const FullDescriptorTable&) = delete;
  FullDescriptorTable& operator=(const FullDescriptorTable&) = delete;
  ~FullDescriptorTable() { setrlimit(RLIMIT_NOFILE, &original_); }

 private:
  rlimit original_{};
};

TEST(DescriptorReserve, ReleasedDescriptorsCanBeOpenedWhileTheTableIsFull) {
  DescriptorReserve reserve;
  EXPECT_FALSE(reserve.release());
  reserve.hold(2);
  const FullDescriptorTable full;
  ASSERT_EQ(dup(STDIN_FILENO), -1);
  ASSERT_TRUE(reserve.release());
  const int opened = dup(STDIN_FILENO);
  EXPECT_GE(opened, 0);
  EXPECT_EQ(dup(STDIN_FILENO), -1);
  reserve.hold(2);  // nothing is free
  EXPECT_TRUE(reserve.release());
  EXPECT_FALSE(reserve.release());
  close(opened);
}

TEST(DescriptorReserve, HoldsAsManyAsItIsTold) {
  DescriptorReserve reserve;
  reserve.hold(3);
  reserve.hold(1);
  EXPECT_TRUE(reserve.release());
  EXPECT_FALSE(reserve.release());
}

}  // namespace
}  // namespace stonebay::test
