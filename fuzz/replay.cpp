// Runs a fuzz target on a folder of inputs, then on a fixed number of seeded mutations of them: bytes
// changed, cut or doubled, and pieces of one input inserted into another. Every run plays the same inputs.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fuzz/target.hpp"

namespace {

constexpr std::uint64_t kSeed = 20261201;
constexpr std::uint32_t kMaxChanges = 4;      // in one mutation
constexpr std::uint32_t kMaxPiece = 64;       // bytes inserted by one change
constexpr std::uint32_t kMaxErasedPart = 16;  // bytes erased by one change

std::vector<std::string> readInputs(const char* folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  std::vector<std::string> inputs;
  for (const auto& path : files) {
    std::ifstream file(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  return inputs;
}

void runTarget(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

class Mutator {
 public:
  explicit Mutator(const std::vector<std::string>& inputs) : inputs_(inputs) {}

  std::string next() {
    std::string input = inputs_[below(inputs_.size())];
    for (auto changes = 1 + below(kMaxChanges); changes > 0 && !input.empty(); --changes) change(input);
    return input;
  }

 private:
  std::uint32_t below(std::size_t bound) {
    return bound == 0 ? 0 : random_(static_cast<std::uint32_t>(bound));
  }

  void change(std::string& input) {
    switch (below(5)) {
      case 0:
        input[below(input.size())] = static_cast<char>(random_());
        break;
      case 1:
        input.resize(below(input.size()) + 1);
        break;
      case 2:
        input.insert(below(input.size()), input.substr(below(input.size()), below(kMaxPiece)));
        break;
      case 3:
        input.erase(below(input.size()), below(kMaxErasedPart));
        break;
      default: {
        const std::string& other = inputs_[below(inputs_.size())];
        input.insert(below(input.size()), other.substr(below(other.size()), below(kMaxPiece)));
      }
    }
  }

  const std::vector<std::string>& inputs_;
  pcg32 random_{kSeed};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s FOLDER MUTATIONS\n", argv[0]);
    return 2;
  }
  const std::vector<std::string> inputs = readInputs(argv[1]);
  if (inputs.empty()) {
    std::printf("0 inputs, 0 mutations: no fault\n");
    return 1;
  }
  for (const std::string& input : inputs) runTarget(input);
  const long mutations = std::strtol(argv[2], nullptr, 10);
  Mutator mutator(inputs);
  for (long i = 0; i < mutations; ++i) runTarget(mutator.next());
  std::printf("%zu inputs, %ld mutations: no fault\n", inputs.size(), mutations);
  return 0;
}
