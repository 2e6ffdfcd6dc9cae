// Fuzzes the parsers of the registry's HTTP response and of the endpoint lists in it. The first byte of the
// input determines the size of the pieces in which the parsers receive the rest.
#include <string>

#include "codec/http/http.hpp"
#include "discovery/endpoint_list.hpp"
#include "fuzz/target.hpp"

using namespace stonebay;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::size_t pieceSize = 1 + data[0];
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  http::Response response;
  std::string body;
  for (std::size_t offset = 0; offset < text.size(); offset += pieceSize)
    if (!response.feed(text.substr(offset, pieceSize), body)) break;
  if (body.empty()) body = std::string(text);  // the input may also be a list without an HTTP response
  EndpointListReader reader;
  try {
    for (std::size_t offset = 0; offset < body.size(); offset += pieceSize)
      reader.feed(std::string_view(body).substr(offset, pieceSize), [](EndpointListUpdate) {});
  } catch (const InvalidInput&) {
  }
  return 0;
}
